//! Decides which machine groups move into one shard for a gang that fits into no single shard,
//! although all shards together have room for it.

#![warn(missing_docs)]

use super::machine_moves::GroupMove;
use crate::placement::{MachineCapacity, zone_capacity};
use crate::protocol::user::JobSpec;
use crate::state::ClusterState;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A machine with room for tasks of the gang.
struct Candidate<'a> {
    /// The member whose shard the machine belongs to.
    member: &'a str,
    /// Name of the machine.
    machine: &'a str,
    /// Zone of the machine.
    zone: &'a str,
    /// The number of the gang's tasks that fit there.
    tasks: u32,
}

/// The number of a gang's tasks that a set of machines holds together, in each zone. A gang that is
/// spread over zones can use only so much room in each of them.
struct GangCapacity<'a> {
    spec: &'a JobSpec,
    tasks_by_zone: BTreeMap<String, u32>,
}

impl<'a> GangCapacity<'a> {
    /// No machine yet.
    fn empty(spec: &'a JobSpec) -> GangCapacity<'a> {
        GangCapacity { spec, tasks_by_zone: BTreeMap::new() }
    }

    /// Adds a machine. Returns how many more tasks of the gang the machines hold with it.
    fn add(&mut self, candidate: &Candidate) -> u32 {
        let in_zone = zone_capacity(self.spec, self.spec.task_count, &self.tasks_by_zone, candidate.zone);
        let added = candidate.tasks.min(in_zone).min(self.missing());
        *self.tasks_by_zone.entry(candidate.zone.to_string()).or_default() += added;
        added
    }

    /// The number of tasks that the machines hold, at most that of the gang.
    fn tasks(&self) -> u32 {
        self.tasks_by_zone.values().sum()
    }

    /// The number of tasks that the machines do not hold.
    fn missing(&self) -> u32 {
        self.spec.task_count.saturating_sub(self.tasks())
    }
}

/// The shards that could run the gang together, and what each of them holds.
struct ShardCapacities<'a> {
    candidates: Vec<Candidate<'a>>,
    by_member: BTreeMap<&'a str, GangCapacity<'a>>,
}

impl<'a> ShardCapacities<'a> {
    /// The capacities of the shards of these machines.
    fn of(candidates: Vec<Candidate<'a>>, spec: &'a JobSpec) -> ShardCapacities<'a> {
        let mut by_member: BTreeMap<&str, GangCapacity> = BTreeMap::new();
        for candidate in &candidates {
            by_member.entry(candidate.member).or_insert_with(|| GangCapacity::empty(spec)).add(candidate);
        }
        ShardCapacities { candidates, by_member }
    }

    /// The most tasks that one shard holds.
    fn most_tasks(&self) -> u32 {
        self.by_member.values().map(GangCapacity::tasks).max().unwrap_or(0)
    }

    /// Whether all shards together hold the gang.
    fn hold_together(&self, spec: &JobSpec) -> bool {
        let mut all = GangCapacity::empty(spec);
        for candidate in &self.candidates {
            all.add(candidate);
        }
        all.missing() == 0
    }

    /// The moves of machine groups into the shard that holds the most tasks, machines with the most
    /// room first, until that shard holds the gang.
    fn moves_to_largest(mut self, state: &ClusterState) -> Vec<GroupMove> {
        let Some(to) = self.by_member.iter().max_by_key(|(_, held)| held.tasks()).map(|(member, _)| *member) else {
            return Vec::new();
        };
        let Some(mut held) = self.by_member.remove(to) else { return Vec::new() };
        let mut others: Vec<&Candidate> = self.candidates.iter().filter(|candidate| candidate.member != to).collect();
        others.sort_by_key(|candidate| Reverse(candidate.tasks));
        let mut moves: Vec<GroupMove> = Vec::new();
        for candidate in others {
            if held.missing() == 0 {
                break;
            }
            let Some(record) =
                state.machines.get(candidate.machine).filter(|record| state.is_machine_held(&record.rec))
            else {
                continue;
            };
            if held.add(candidate) > 0 && !moves.iter().any(|m| m.group == record.rec.group) {
                moves.push(GroupMove { group: record.rec.group.clone(), to: to.to_string() });
            }
        }
        moves
    }
}

/// The moves that bring enough machines into one shard for a gang that fits into no single shard,
/// although all shards together have room for it.
///
/// If the gang must run in one zone, only machines of one zone are used; if it must be spread over
/// zones, room beyond its limit for a zone does not count. The shard with the most room gets the
/// missing machines. Returns no moves if a shard already has room, or if all shards together do
/// not.
pub fn gather_for_gang(
    state: &ClusterState,
    capacities: &[(String, MachineCapacity)],
    spec: &JobSpec,
) -> Vec<GroupMove> {
    let alternatives = alternatives(state, capacities, spec);
    if alternatives.iter().any(|shards| shards.most_tasks() >= spec.task_count) {
        return Vec::new(); // assigning the tasks to that shard is enough
    }
    let enough = alternatives.into_iter().filter(|shards| shards.hold_together(spec));
    enough.max_by_key(ShardCapacities::most_tasks).map_or(Vec::new(), |shards| shards.moves_to_largest(state))
}

/// The sets of machines of which one has to hold the gang: those of each zone if it must run in
/// one zone, otherwise all machines.
fn alternatives<'a>(
    state: &ClusterState,
    capacities: &'a [(String, MachineCapacity)],
    spec: &'a JobSpec,
) -> Vec<ShardCapacities<'a>> {
    let mut sets: BTreeMap<&str, Vec<Candidate>> = BTreeMap::new();
    for (member, capacity) in capacities.iter().filter(|(member, _)| state.members.contains_key(member)) {
        let tasks = capacity.fitting_tasks(spec).min(spec.task_count);
        let set = if spec.zone_affinity { capacity.zone.as_str() } else { "" };
        if tasks > 0 {
            let candidate = Candidate { member, machine: &capacity.machine, zone: &capacity.zone, tasks };
            sets.entry(set).or_default().push(candidate);
        }
    }
    sets.into_values().map(|candidates| ShardCapacities::of(candidates, spec)).collect()
}
