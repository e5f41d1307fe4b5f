//! The kinds of machines in each member's shard, which tell where tasks of a job can run at all.

#![warn(missing_docs)]

use crate::placement::zone_capacity;
use crate::protocol::cloud::MachineType;
use crate::protocol::user::JobSpec;
use crate::state::ClusterState;
use std::collections::{BTreeMap, BTreeSet};

/// The kinds of machines in the shards, whether they are up or still boot. Machines that drain
/// are left out.
#[derive(Debug, Default)]
pub struct ShardMachineKinds<'a> {
    kinds: BTreeSet<MachineKind<'a>>,
}

/// A kind of machine in one member's shard.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MachineKind<'a> {
    member: &'a str,
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
}

impl<'a> ShardMachineKinds<'a> {
    /// The kinds of machines that the members own.
    pub fn of(state: &'a ClusterState) -> ShardMachineKinds<'a> {
        let groups = state.machine_groups.values().map(|group| &group.rec);
        let usable = groups.filter(|group| group.draining.len() < group.machines.len());
        let kinds = usable.map(|group| MachineKind {
            member: &group.owner,
            machine_type: &group.machine_type,
            zone: &group.zone,
            spot: group.spot,
        });
        ShardMachineKinds { kinds: kinds.collect() }
    }

    /// The members with machines that could run tasks of the job if they were empty, given the
    /// job's tasks in each zone.
    pub fn hosts(
        &self,
        spec: &JobSpec,
        machine_types: &[MachineType],
        tasks_by_zone: &BTreeMap<String, u32>,
    ) -> BTreeSet<&'a str> {
        let runnable = machine_types.iter().filter(|machine_type| machine_type.can_run(spec));
        let runnable: BTreeSet<&str> = runnable.map(|machine_type| machine_type.name.as_str()).collect();
        let can_host = |kind: &&MachineKind| {
            runnable.contains(kind.machine_type)
                && spec.zone.as_deref().is_none_or(|zone| zone == kind.zone)
                && (spec.spot_allowed || !kind.spot)
                && zone_capacity(spec, spec.task_count, tasks_by_zone, kind.zone) > 0
        };
        self.kinds.iter().filter(can_host).map(|kind| kind.member).collect()
    }
}
