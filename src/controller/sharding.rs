//! The leader's grants of machines to controllers.
//!
//! The leader grants a restarted controller its shard again, moves machines away from controllers
//! that are gone or that the machines cannot reach, balances the sizes of shards, and brings
//! machines of one zone together for a gang.

#![warn(missing_docs)]

use super::*;
use crate::coordination::log_writer::count_that_fit;
use crate::coordination::shards::{self, StalledJobs, required_moves};
use crate::protocol::encode;
use crate::protocol::store::{Condition, Op};
use crate::protocol::user::JobKind;
use crate::state::Job;
use records::{MachineGroupRecord, ShardGrantRecord};

/// When the leader next reassigns tasks and machines.
#[derive(Debug, Default)]
pub(super) struct Sharding {
    /// Time of the next reassignment of tasks.
    next_reassignment: Instant,
    /// Earliest time of the next rebalancing of shards.
    pub(super) rebalance_next: Instant,
    /// No rebalancing before this time, since machines were brought together for a gang.
    pub(super) rebalance_after_gang: Instant,
    /// Jobs whose tasks wait beside room that they do not take.
    pub(super) stalled_jobs: StalledJobs,
    /// By machine and controller that the machine did not reach, until when the machine is not
    /// granted to that controller.
    pub(super) avoid_until: HashMap<(String, String), Instant>,
}

impl Sharding {
    /// Whether a reassignment of tasks is due now. If so, the next one is due `interval` later.
    pub(super) fn reassignment_due(&mut self, now: Instant, interval: Duration) -> bool {
        let due = now >= self.next_reassignment;
        if due {
            self.next_reassignment = now + interval;
        }
        due
    }
}

/// A machine group's record as it may be rewritten: under its current grant, on condition that
/// neither the record nor the grant of its owner's shard has changed.
pub(super) struct GroupRewrite {
    /// Key of the record.
    pub(super) key: String,
    /// The record with the current grant.
    pub(super) record: MachineGroupRecord,
    /// The conditions of the write.
    pub(super) conditions: [Condition; 2],
}

/// How long shards are not rebalanced after machines were brought together for a gang, in
/// heartbeat intervals.
const REBALANCE_PAUSE_AFTER_GANG_HEARTBEATS: f64 = 3.0;

/// How long a machine that did not reach a controller is not granted to it, in leases.
const AVOID_UNREACHED_LEASES: f64 = 4.0;

impl Controller {
    /// Grants restarted controllers their shards again, and sends one transaction with the moves of
    /// machine groups that are most urgent, if any are due.
    pub(super) fn grant_shards(&mut self) {
        for member in self.state.restarted_members() {
            let key = records::shard_grant_key(&member);
            if self.transactions.is_locked(&key) || !self.may_write_with_priority(WritePriority::Critical) {
                continue;
            }
            let Some(member_record) = self.state.members.get(&member) else { continue };
            let (incarnation, version) = (member_record.rec.incarnation, member_record.version);
            let record = ShardGrantRecord { incarnation, term: self.term(), epoch: self.leadership.next_epoch() };
            tracing::debug!(to = %member, "shard granted again");
            let txn = Txn {
                conditions: vec![
                    self.leader_condition(),
                    Condition { key: key.clone(), version: self.state.shard_grant_version(&member) },
                    Condition { key: records::member_key(&member), version },
                ],
                ops: vec![Op::Put { key, data: records::to_value(&record), lease: None }],
            };
            self.transact_locking_machines(txn, TxnPurpose::Grant);
        }
        if !self.startup.members_known() {
            return; // a controller that restarts meanwhile gets its whole shard back
        }
        let now = self.now;
        let max_ops = self.config.deployment.state.txn_ops;
        let max_moves = max_ops.min(self.transactions.unspent_writes(self.now) as usize).max(1);
        let fleet_known = self.startup.fleet_known();
        let unreached = if fleet_known { self.unreached_machines() } else { Vec::new() };
        let cut_off: BTreeSet<&str> =
            if fleet_known { self.connectivity.cut_off_controllers(now).collect() } else { BTreeSet::new() };
        let rebalance_due = fleet_known && self.now >= self.sharding.rebalance_next;
        // Machines without an owner that answers them come first: they lose their tasks soon.
        let mut moves = required_moves(&self.state, &cut_off, &unreached, max_ops);
        let is_urgent = !moves.is_empty();
        if moves.is_empty() && rebalance_due && now >= self.sharding.rebalance_after_gang {
            moves.extend(shards::rebalance(&self.state, &cut_off, |machine, to| self.reaches(machine, to)));
        }
        if moves.is_empty() && rebalance_due {
            moves = self.moves_for_waiting_gang();
            moves.truncate(max_moves);
            if !moves.is_empty() {
                // Rebalancing would separate them before the gang has started.
                self.sharding.rebalance_after_gang =
                    now + self.heartbeat_intervals(REBALANCE_PAUSE_AFTER_GANG_HEARTBEATS);
            }
        }
        let may_write = if is_urgent {
            self.may_write_with_priority(WritePriority::Critical)
        } else {
            self.may_write(moves.len() as f64)
        };
        if moves.is_empty() || !may_write {
            return;
        }
        self.sharding.rebalance_next = self.now + self.heartbeat_intervals(1.0);
        let record_size = |group: &String| self.state.machine_groups.get(group).map_or(0, |old| encode(&old.rec).len());
        let sizes = moves.iter().map(|wanted| record_size(&wanted.group));
        moves.truncate(count_that_fit(sizes));
        let mut txn = Txn { conditions: vec![self.leader_condition()], ops: Vec::new() };
        for wanted in moves {
            let key = records::machine_group_key(&wanted.group);
            let old = self.state.machine_groups.get(&wanted.group);
            let (Some(old), Some(to)) = (old, self.state.members.get(&wanted.to)) else {
                continue;
            };
            if self.transactions.is_locked(&key) {
                continue;
            }
            let record = MachineGroupRecord {
                owner: wanted.to.clone(),
                incarnation: to.rec.incarnation,
                term: self.term(),
                epoch: self.leadership.next_epoch(),
                ..old.rec.clone()
            };
            let is_unreached = |machine: &&String| unreached.iter().any(|entry| entry.0 == **machine);
            for machine in old.rec.machines.iter().filter(is_unreached) {
                let until = now + self.secs(self.config.deployment.workers.lease_s * AVOID_UNREACHED_LEASES);
                self.sharding.avoid_until.insert((machine.clone(), old.rec.owner.clone()), until);
            }
            tracing::debug!(
                group = %wanted.group,
                machines = record.machines.len(),
                from = %old.rec.owner,
                to = %wanted.to,
                "machine group granted"
            );
            // If this write arrived late, after the shard that the group leaves was granted again,
            // it would carry a lower fencing token than the machines have seen.
            let shard = self.shard_condition_of(&old.rec.owner);
            if !txn.conditions.contains(&shard) {
                txn.conditions.push(shard);
            }
            txn.conditions.push(Condition { key: key.clone(), version: old.version });
            txn.ops.push(Op::Put { key, data: records::to_value(&record), lease: None });
        }
        if !txn.ops.is_empty() {
            self.transact_locking_machines(txn, TxnPurpose::Grant);
        }
    }

    /// The record of a machine group for a rewrite. `None` if the group has no record, or while
    /// another write of its record is in flight.
    pub(super) fn group_rewrite(&self, group: &str) -> Option<GroupRewrite> {
        let key = records::machine_group_key(group);
        let stored = self.state.machine_groups.get(group).filter(|_| !self.transactions.is_locked(&key))?;
        let unchanged = Condition { key: key.clone(), version: stored.version };
        let conditions = [unchanged, self.shard_condition_of(&stored.rec.owner)];
        Some(GroupRewrite { key, record: self.state.with_current_grant(stored), conditions })
    }

    /// Moves that bring machines into one shard, so that a gang fits there that waits and fits into
    /// no shard. They are of one zone if the gang needs that. One gang is served at a time, oldest
    /// first.
    fn moves_for_waiting_gang(&self) -> Vec<shards::GroupMove> {
        // A gang first waits as long as machines that were rented for it may take to boot.
        let startup_s = self.cloud.longest_startup_s();
        let has_waited =
            |uid: &String| self.scheduler.waited(uid, self.now).is_some_and(|waited| waited > self.secs(startup_s));
        let is_unplaced_gang = |job: &Job| job.spec.kind == JobKind::Gang && job.spec.task_count > 1 && job.placed == 0;
        let mut gangs: Vec<&Job> = self
            .state
            .jobs
            .iter()
            .filter(|(uid, job)| is_unplaced_gang(job) && job.waiting_count() > 0 && has_waited(uid))
            .map(|(_, job)| job)
            .collect();
        if gangs.is_empty() {
            return Vec::new();
        }
        gangs.sort_by_key(|job| job.rec.rec.submitted_ms);
        let capacities = self.capacities(true);
        let moves = gangs.into_iter().map(|job| shards::gather_for_gang(&self.state, &capacities, &job.spec));
        moves.into_iter().find(|moves| !moves.is_empty()).unwrap_or_default()
    }
}
