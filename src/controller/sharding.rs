//! The leader's grants of machines: blocks levelled, machines of a zone brought
//! together, those that nobody hears moved.

use super::*;
use crate::coordination::log_writer::fitting;
use crate::coordination::shards::{self, wanted_moves};
use crate::protocol::encode;
use crate::protocol::store::{Condition, Op};
use crate::protocol::user::JobKind;
use crate::state::Job;
use records::{MachineGroupRecord, ShardGrantRecord};

/// When the leader next reassigns tasks and machines.
#[derive(Debug, Default)]
pub(super) struct Sharding {
    /// When tasks are next reassigned.
    reassign_next: Instant,
    /// When shards are next rebalanced.
    pub(super) rebalance_next: Instant,
    /// No rebalancing before this time: machines were brought together for a gang.
    pub(super) rebalance_after_gang: Instant,
    /// Machines that did not reach a controller, and until when they are not given to it.
    pub(super) avoid: HashMap<(String, String), Instant>,
}

impl Sharding {
    /// Whether tasks are to be reassigned now; if so, the next time is `interval` later.
    pub(super) fn reassignment_due(&mut self, now: Instant, interval: Duration) -> bool {
        let due = now >= self.reassign_next;
        if due {
            self.reassign_next = now + interval;
        }
        due
    }
}

/// After machines were brought together for a gang, blocks are not levelled for
/// so many report intervals.
const GATHERED_REPORTS: f64 = 3.0;

/// A machine that did not reach a controller is not given to it for so many leases.
const UNREACHED_LEASES: f64 = 4.0;

impl Controller {
    pub(super) fn grant_shards(&mut self) {
        for member in self.state.restarted() {
            let key = records::shard_grant_key(&member);
            if self.transactions.is_locked(&key) || !self.may_write_as(WritePriority::Critical) {
                continue;
            }
            let Some(m) = self.state.members.get(&member) else { continue };
            let (incarnation, version) = (m.rec.incarnation, m.version);
            let rec = ShardGrantRecord { incarnation, term: self.term(), epoch: self.leadership.next_epoch() };
            tracing::debug!(to = %member, "block granted again");
            let txn = Txn {
                conditions: vec![
                    self.leader_condition(),
                    Condition { key: key.clone(), version: self.state.shard_grant_version(&member) },
                    Condition { key: records::member_key(&member), version },
                ],
                ops: vec![Op::Put { key, data: records::to_value(&rec), lease: None }],
            };
            self.txn_keyed(txn, Why::Grant);
        }
        if !self.startup.members_known() {
            return; // whoever comes back gets its block whole
        }
        let now = self.now;
        let ops = self.config.settings.state.txn_ops;
        let spare = ops.min(self.transactions.unspent_writes(self.now) as usize).max(1);
        let known = self.startup.fleet_known();
        let unreached = if known { self.unreached_machines() } else { Vec::new() };
        let deaf: BTreeSet<&str> =
            if known { self.connectivity.unhearing_members(now).collect() } else { BTreeSet::new() };
        let level = known && self.now >= self.sharding.rebalance_next;
        // Machines without an owner that answers them lose their tasks soon.
        let mut moves = wanted_moves(&self.state, &deaf, &unreached, ops);
        let first = !moves.is_empty();
        if moves.is_empty() && level && now >= self.sharding.rebalance_after_gang {
            moves.extend(shards::rebalance(&self.state, &deaf, |machine, to| self.reaches(machine, to)));
        }
        if moves.is_empty() && level {
            moves = self.gather_moves();
            moves.truncate(spare);
            if !moves.is_empty() {
                // Levelling would take them apart before the gang has started.
                self.sharding.rebalance_after_gang = now + self.heartbeat_intervals(GATHERED_REPORTS);
            }
        }
        let may = if first { self.may_write_as(WritePriority::Critical) } else { self.may_write(moves.len() as f64) };
        if moves.is_empty() || !may {
            return;
        }
        self.sharding.rebalance_next = self.now + self.heartbeat_intervals(1.0);
        let sizes = moves.iter().map(|m| self.state.machine_groups.get(&m.group).map_or(0, |p| encode(&p.rec).len()));
        moves.truncate(fitting(sizes));
        let mut txn = Txn { conditions: vec![self.leader_condition()], ops: Vec::new() };
        for m in moves {
            let key = records::machine_group_key(&m.group);
            let (Some(p), Some(to)) = (self.state.machine_groups.get(&m.group), self.state.members.get(&m.to)) else {
                continue;
            };
            if self.transactions.is_locked(&key) {
                continue;
            }
            let rec = MachineGroupRecord {
                owner: m.to.clone(),
                incarnation: to.rec.incarnation,
                term: self.term(),
                epoch: self.leadership.next_epoch(),
                ..p.rec.clone()
            };
            for machine in p.rec.machines.iter().filter(|m| unreached.iter().any(|u| u.0 == **m)) {
                let until = now + self.secs(self.config.settings.workers.lease_s * UNREACHED_LEASES);
                self.sharding.avoid.insert((machine.clone(), p.rec.owner.clone()), until);
            }
            tracing::debug!(group = %m.group, machines = rec.machines.len(), from = %p.rec.owner, to = %m.to, "machine granted");
            // Late, after the block it leaves was granted anew, it would carry a lower
            // token than the machines have seen.
            let shard = self.shard_condition_of(&p.rec.owner);
            if !txn.conditions.contains(&shard) {
                txn.conditions.push(shard);
            }
            txn.conditions.push(Condition { key: key.clone(), version: p.version });
            txn.ops.push(Op::Put { key, data: records::to_value(&rec), lease: None });
        }
        if !txn.ops.is_empty() {
            self.txn_keyed(txn, Why::Grant);
        }
    }

    /// For a gang that waits and fits in no block: machines of one zone are
    /// brought together. One gang at a time.
    fn gather_moves(&self) -> Vec<shards::Move> {
        // Until then machines that were rented for it may still come up together.
        let boot = self.cloud.longest_startup_s();
        let waits = |uid: &String| self.scheduler.waited(uid, self.now).is_some_and(|t| t > self.secs(boot));
        let whole = |j: &Job| j.spec.kind == JobKind::Gang && j.spec.task_count > 1 && j.placed == 0;
        let mut gangs: Vec<&Job> = self
            .state
            .jobs
            .iter()
            .filter(|(uid, j)| whole(j) && j.waiting_count() > 0 && waits(uid))
            .map(|(_, j)| j)
            .collect();
        if gangs.is_empty() {
            return Vec::new();
        }
        gangs.sort_by_key(|j| j.rec.rec.at_ms);
        let capacities = self.capacities(true);
        let found = gangs.into_iter().map(|j| shards::gather_for_gang(&self.state, &capacities, &j.spec));
        found.into_iter().find(|moves| !moves.is_empty()).unwrap_or_default()
    }
}
