//! Decides which machine groups move to another owner: from controllers that are gone or that
//! their machines cannot reach, and from the largest shard to the smallest. It also chooses the
//! owners of new machines.

#![warn(missing_docs)]

use crate::state::ClusterState;
use crate::state::records::MachineGroupRecord;
use std::collections::{BTreeMap, BTreeSet};

/// The move of a machine group (machines that share one record) to another controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupMove {
    /// The name of the machine group.
    pub group: String,
    /// The controller that becomes its owner.
    pub to: String,
}

/// The number of machines that each member owns, by machine type and in total. Members without
/// machines are included; members that are cut off from their machines are not.
struct MachineCounts<'a> {
    by_machine_type: BTreeMap<(&'a str, &'a str), i64>,
    total: BTreeMap<&'a str, i64>,
}

impl<'a> MachineCounts<'a> {
    /// Counts the machines of all members that are not in `cut_off`.
    fn of(state: &'a ClusterState, cut_off: &BTreeSet<&str>) -> MachineCounts<'a> {
        let members = state.members.keys().map(String::as_str);
        let total = members.filter(|member| !cut_off.contains(member)).map(|member| (member, 0)).collect();
        let mut counts = MachineCounts { by_machine_type: BTreeMap::new(), total };
        for group in state.machine_groups.values() {
            counts.add(&group.rec.machine_type, &group.rec.owner, group.rec.machines.len() as i64);
        }
        counts
    }

    /// Adds machines to a member's numbers. Does nothing if the member is not included.
    fn add(&mut self, machine_type: &'a str, member: &'a str, machines: i64) {
        if let Some(total) = self.total.get_mut(member) {
            *total += machines;
            *self.by_machine_type.entry((machine_type, member)).or_default() += machines;
        }
    }

    /// The number of the member's machines of this type.
    fn of_machine_type(&self, machine_type: &str, member: &str) -> i64 {
        self.by_machine_type.get(&(machine_type, member)).copied().unwrap_or(0)
    }

    /// The key that orders members by their machines of this type, then by all their machines.
    fn rank(&self, machine_type: &str, member: &str) -> (i64, i64) {
        (self.of_machine_type(machine_type, member), self.total[member])
    }

    /// The member with the fewest machines of this type, and of these the one with the fewest
    /// machines in total.
    fn smallest(&self, machine_type: &str) -> Option<&'a str> {
        self.total.keys().copied().min_by_key(|member| self.rank(machine_type, member))
    }

    /// The member with the most machines of this type, and of these the one with the most
    /// machines in total.
    fn largest(&self, machine_type: &str) -> Option<&'a str> {
        self.total.keys().copied().max_by_key(|member| self.rank(machine_type, member))
    }
}

/// At most `limit` of the moves that are needed for every machine to have a live owner that it
/// can reach.
///
/// `cut_off` has the members that their machines cannot reach. `unreached` has pairs of a
/// machine that cannot reach its owner and a member that it can reach. Returns no moves at all
/// if a group has lost its owner and no member can take it.
pub fn required_moves(
    state: &ClusterState,
    cut_off: &BTreeSet<&str>,
    unreached: &[(String, String)],
    limit: usize,
) -> Vec<GroupMove> {
    let Some(mut moves) = moves_from_lost_owners(state, cut_off, limit) else { return Vec::new() };
    for (machine, to) in unreached {
        if let Some(record) = state.machines.get(machine).filter(|record| record.rec.owner != *to)
            && state.members.contains_key(to)
            && !moves.iter().any(|m| m.group == record.rec.group)
        {
            moves.push(GroupMove { group: record.rec.group.clone(), to: to.clone() });
        }
    }
    moves.truncate(limit);
    moves
}

/// At most `limit` moves of groups whose owner is gone or cut off, to the smallest shards.
/// Returns `None` if there are such groups but no member that could take them.
fn moves_from_lost_owners(state: &ClusterState, cut_off: &BTreeSet<&str>, limit: usize) -> Option<Vec<GroupMove>> {
    let mut moves = Vec::new();
    let mut counts = MachineCounts::of(state, cut_off);
    let is_lost = |owner: &str| !state.members.contains_key(owner) || cut_off.contains(owner);
    for (name, group) in state.machine_groups.iter().filter(|(_, group)| is_lost(&group.rec.owner)).take(limit) {
        let to = counts.smallest(&group.rec.machine_type)?;
        counts.add(&group.rec.machine_type, to, group.rec.machines.len() as i64);
        moves.push(GroupMove { group: name.clone(), to: to.to_string() });
    }
    Some(moves)
}

/// The owners for `machines` new machines of one type, one for each group of `group_size`
/// machines. Each group in turn goes to the smallest shard.
pub fn owners_for_new_machines<'a>(
    state: &'a ClusterState,
    cut_off: &BTreeSet<&str>,
    machine_type: &'a str,
    machines: usize,
    group_size: usize,
) -> Vec<&'a str> {
    let mut counts = MachineCounts::of(state, cut_off);
    let mut owners = Vec::new();
    for _ in 0..machines.div_ceil(group_size.max(1)) {
        let Some(to) = counts.smallest(machine_type) else { break };
        owners.push(to);
        counts.add(machine_type, to, group_size as i64);
    }
    owners
}

/// A move of one group from the largest shard to the smallest, if it makes their sizes more
/// equal. `reaches` returns whether a machine can reach a member, as far as is known.
pub fn rebalance(
    state: &ClusterState,
    cut_off: &BTreeSet<&str>,
    reaches: impl Fn(&str, &str) -> bool,
) -> Option<GroupMove> {
    let counts = MachineCounts::of(state, cut_off);
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
        let group = state
            .machine_groups
            .iter()
            .filter(|(_, group)| fits(&group.rec) && state.is_group_held(group))
            .filter(|(_, group)| group.rec.machines.iter().all(|machine| reaches(machine, smallest)))
            .min_by_key(|(_, group)| placed_tasks(state, &group.rec))?;
        Some(GroupMove { group: group.0.clone(), to: smallest.to_string() })
    })
}

/// The number of tasks that are placed on the group's machines.
fn placed_tasks(state: &ClusterState, group: &MachineGroupRecord) -> usize {
    group.machines.iter().map(|machine| state.placed_tasks.get(machine).map_or(0, |placed| placed.len())).sum()
}
