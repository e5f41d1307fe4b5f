//! Machine groups that change their owner: away from controllers that are gone or that their
//! machines cannot reach, from the largest shard to the smallest, and into one shard for a
//! gang that no shard has room for.

use crate::placement::MachineCapacity;
use crate::protocol::user::JobSpec;
use crate::state::ClusterState;
use crate::state::records::MachineGroupRecord;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// A machine group (machines that share one record) that shall go to another controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    pub group: String,
    pub to: String,
}

/// The number of machines that each member owns, by machine type and in total. Members
/// without machines count too; members that are cut off from their machines do not.
struct MachineCounts<'a> {
    by_machine_type: BTreeMap<(&'a str, &'a str), i64>,
    total: BTreeMap<&'a str, i64>,
}

impl<'a> MachineCounts<'a> {
    fn of(view: &'a ClusterState, cut_off: &BTreeSet<&str>) -> MachineCounts<'a> {
        let members = view.members.keys().map(String::as_str);
        let total = members.filter(|member| !cut_off.contains(member)).map(|member| (member, 0)).collect();
        let mut counts = MachineCounts { by_machine_type: BTreeMap::new(), total };
        for group in view.machine_groups.values() {
            counts.add(&group.rec.machine_type, &group.rec.owner, group.rec.machines.len() as i64);
        }
        counts
    }

    /// Machines whose owner is not counted are counted for nobody.
    fn add(&mut self, machine_type: &'a str, member: &'a str, machines: i64) {
        if let Some(total) = self.total.get_mut(member) {
            *total += machines;
            *self.by_machine_type.entry((machine_type, member)).or_default() += machines;
        }
    }

    fn of_machine_type(&self, machine_type: &str, member: &str) -> i64 {
        self.by_machine_type.get(&(machine_type, member)).copied().unwrap_or(0)
    }

    /// The order of members by their machines of this type, then by all their machines.
    fn rank(&self, machine_type: &str, member: &str) -> (i64, i64) {
        (self.of_machine_type(machine_type, member), self.total[member])
    }

    fn smallest(&self, machine_type: &str) -> Option<&'a str> {
        self.total.keys().copied().min_by_key(|member| self.rank(machine_type, member))
    }

    fn largest(&self, machine_type: &str) -> Option<&'a str> {
        self.total.keys().copied().max_by_key(|member| self.rank(machine_type, member))
    }
}

/// At most `limit` moves that give every machine an owner that is alive and that the machine
/// reaches. `deaf` are members that their machines do not reach; `unreached` are pairs of a
/// machine that does not reach its owner and a member that it does reach.
pub fn wanted_moves(
    view: &ClusterState,
    deaf: &BTreeSet<&str>,
    unreached: &[(String, String)],
    limit: usize,
) -> Vec<Move> {
    let Some(mut moves) = moves_from_lost_owners(view, deaf, limit) else { return Vec::new() };
    for (machine, to) in unreached {
        if let Some(host) = view.machines.get(machine).filter(|host| host.rec.owner != *to)
            && view.members.contains_key(to)
            && !moves.iter().any(|m| m.group == host.rec.group)
        {
            moves.push(Move { group: host.rec.group.clone(), to: to.clone() });
        }
    }
    moves.truncate(limit);
    moves
}

/// At most `limit` moves of groups whose owner is gone or cut off, to the smallest shards.
/// `None` if there are such groups, and no member that could take them.
fn moves_from_lost_owners(view: &ClusterState, cut_off: &BTreeSet<&str>, limit: usize) -> Option<Vec<Move>> {
    let mut moves = Vec::new();
    let mut counts = MachineCounts::of(view, cut_off);
    let is_lost = |owner: &str| !view.members.contains_key(owner) || cut_off.contains(owner);
    for (name, group) in view.machine_groups.iter().filter(|(_, group)| is_lost(&group.rec.owner)).take(limit) {
        let to = counts.smallest(&group.rec.machine_type)?;
        counts.add(&group.rec.machine_type, to, group.rec.machines.len() as i64);
        moves.push(Move { group: name.clone(), to: to.to_string() });
    }
    Some(moves)
}

/// Owners for `machines` new machines of one type, in groups of `group` machines: the
/// smallest shard for each group in turn.
pub fn spread<'a>(
    view: &'a ClusterState,
    deaf: &BTreeSet<&str>,
    machine_type: &'a str,
    machines: usize,
    group: usize,
) -> Vec<&'a str> {
    let mut counts = MachineCounts::of(view, deaf);
    let mut owners = Vec::new();
    for _ in 0..machines.div_ceil(group.max(1)) {
        let Some(to) = counts.smallest(machine_type) else { break };
        owners.push(to);
        counts.add(machine_type, to, group as i64);
    }
    owners
}

/// One group from the largest shard to the smallest, where that makes their sizes more equal.
/// `reaches` tells whether a machine reaches a member, as far as is known.
pub fn rebalance(view: &ClusterState, deaf: &BTreeSet<&str>, reaches: impl Fn(&str, &str) -> bool) -> Option<Move> {
    let counts = MachineCounts::of(view, deaf);
    let machine_types: BTreeSet<&str> = counts.by_machine_type.keys().map(|(machine_type, _)| *machine_type).collect();
    machine_types.into_iter().find_map(|machine_type| {
        let smallest = counts.smallest(machine_type)?;
        let largest = counts.largest(machine_type)?;
        let difference = counts.of_machine_type(machine_type, largest) - counts.of_machine_type(machine_type, smallest);
        if difference < 2 {
            return None;
        }
        let fits = |rec: &MachineGroupRecord| {
            rec.machine_type == machine_type && rec.owner == largest && rec.machines.len() as i64 <= difference / 2
        };
        let group = view
            .machine_groups
            .iter()
            .filter(|(_, group)| fits(&group.rec) && view.held(group))
            .filter(|(_, group)| group.rec.machines.iter().all(|machine| reaches(machine, smallest)))
            .min_by_key(|(_, group)| placed_tasks(view, &group.rec))?;
        Some(Move { group: group.0.clone(), to: smallest.to_string() })
    })
}

/// The number of tasks that are placed on the group's machines.
fn placed_tasks(view: &ClusterState, group: &MachineGroupRecord) -> usize {
    group.machines.iter().map(|machine| view.placed.get(machine).map_or(0, |placed| placed.len())).sum()
}

/// How many tasks of one job each member's shard has room for.
type TasksByMember<'a> = BTreeMap<&'a str, u32>;

/// Moves that bring machines (of one zone, where the gang needs that) into one shard, so that
/// a gang fits there which no shard has room for, although all together do. The shard with
/// the most room gets the machines that are missing. Empty if a shard has room already, or if
/// all together do not.
pub fn gather_for_gang(view: &ClusterState, capacities: &[(String, MachineCapacity)], spec: &JobSpec) -> Vec<Move> {
    let zones = capacity_by_zone(view, capacities, spec);
    let most = |capacity_left: &TasksByMember| capacity_left.values().copied().max().unwrap_or(0);
    if zones.values().any(|capacity_left| most(capacity_left) >= spec.task_count) {
        return Vec::new(); // an assignment of its tasks is enough
    }
    let enough = zones.iter().filter(|(_, capacity_left)| capacity_left.values().sum::<u32>() >= spec.task_count);
    let Some((zone, capacity_left)) = enough.max_by_key(|(_, capacity_left)| most(capacity_left)) else {
        return Vec::new();
    };
    let Some((to, has)) = capacity_left.iter().max_by_key(|(_, tasks)| **tasks) else { return Vec::new() };
    let is_usable = |c: &MachineCapacity| (!spec.zone_affinity || c.zone == *zone) && c.fits(spec) > 0;
    let others = capacities.iter().filter(|(member, c)| member != to && is_usable(c));
    let mut others: Vec<&MachineCapacity> = others.map(|(_, c)| c).collect();
    others.sort_by_key(|c| Reverse(c.fits(spec)));
    moves_for_tasks(view, others, spec, spec.task_count.saturating_sub(*has), to)
}

/// How many of the gang's tasks each member's shard has room for, by zone; all zones count as
/// one where the gang may be spread over them.
fn capacity_by_zone<'a>(
    view: &ClusterState,
    capacities: &'a [(String, MachineCapacity)],
    spec: &JobSpec,
) -> BTreeMap<&'a str, TasksByMember<'a>> {
    let mut zones: BTreeMap<&str, TasksByMember> = BTreeMap::new();
    for (member, capacity) in capacities.iter().filter(|(member, _)| view.members.contains_key(member)) {
        let tasks = capacity.fits(spec).min(spec.task_count);
        let zone = if spec.zone_affinity { capacity.zone.as_str() } else { "" };
        if tasks > 0 {
            *zones.entry(zone).or_default().entry(member).or_default() += tasks;
        }
    }
    zones
}

/// Moves of the groups of these machines, in order, until there is room for `missing` more of
/// the job's tasks.
fn moves_for_tasks(
    view: &ClusterState,
    machines: Vec<&MachineCapacity>,
    spec: &JobSpec,
    mut missing: u32,
    to: &str,
) -> Vec<Move> {
    let mut moves: Vec<Move> = Vec::new();
    for capacity in machines {
        if missing == 0 {
            break;
        }
        let Some(host) = view.machines.get(&capacity.machine).filter(|host| view.owned(&host.rec)) else { continue };
        if !moves.iter().any(|m| m.group == host.rec.group) {
            moves.push(Move { group: host.rec.group.clone(), to: to.to_string() });
        }
        missing = missing.saturating_sub(capacity.fits(spec));
    }
    moves
}
