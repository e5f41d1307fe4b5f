//! Leader election: how a controller becomes the leader, and what it does as the leader.
//!
//! The leader's duties are implemented in the modules `registration`, `sharding`,
//! `task_ranges` and `autoscaler`. Every write of the leader is conditional on the
//! leadership still being its own.

use super::process::Process;
use super::*;
use crate::protocol::store::{Condition, Op};
use records::{LeaderRecord, TermRecord};

/// Heartbeat intervals between two checks of the election.
const CHECK_INTERVALS: f64 = 0.1;
/// Heartbeat intervals between two reassignments of waiting tasks.
const REASSIGN_INTERVALS: f64 = 0.25;

/// What this process knows of the election, and the counters of its own term.
#[derive(Debug, Default)]
pub(super) struct Leadership {
    /// When this process first saw a leader.
    first_leader_at: Option<Instant>,
    /// The last term in which this process was the leader.
    own_term: u64,
    /// When the election is checked next.
    next_check: Instant,
    /// The replica's count of member changes at the last check.
    members_seen: u64,
    /// The epoch of the last grant of this term.
    epoch: u64,
    /// The number of provisioning requests made in this term.
    request_count: u64,
}

impl Leadership {
    /// Whether the election is to be checked now: `interval` after the last check, or at once
    /// if members have changed, so that a vacant leadership is noticed without delay.
    fn check_due(&mut self, now: Instant, members_changed: u64, interval: Duration) -> bool {
        if now < self.next_check && self.members_seen == members_changed {
            return false;
        }
        self.members_seen = members_changed;
        self.next_check = now + interval;
        true
    }

    /// Makes the next tick check the election, however soon it comes.
    pub(super) fn check_at_next_tick(&mut self, now: Instant) {
        self.next_check = now;
    }

    /// Resets the counters for a new term; returns false if the term has begun before.
    fn begin_term(&mut self, term: u64) -> bool {
        if self.own_term == term {
            return false;
        }
        self.own_term = term;
        self.epoch = 0;
        self.request_count = 0;
        true
    }

    /// Notes that the replica shows a leader.
    pub(super) fn observe_leader(&mut self, now: Instant) {
        self.first_leader_at.get_or_insert(now);
    }

    /// Time since this process first saw a leader; `None` if it has seen none.
    pub(super) fn since_first_leader(&self, now: Instant) -> Option<Duration> {
        self.first_leader_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the epoch for a new grant: within a term, each is higher than all before it.
    pub(super) fn next_epoch(&mut self) -> u64 {
        self.epoch += 1;
        self.epoch
    }

    /// Returns the number for a new provisioning request of this term.
    pub(super) fn next_request(&mut self) -> u64 {
        self.request_count += 1;
        self.request_count
    }

    /// The number of provisioning requests made in this term.
    pub(super) fn request_count(&self) -> u64 {
        self.request_count
    }
}

/// The condition that the leader record is still the one that `state` shows.
fn leader_condition(state: &ClusterState) -> Condition {
    let version = state.leader.as_ref().map_or(0, |leader| leader.version);
    Condition { key: records::LEADER_KEY.into(), version }
}

/// The transaction that makes this process the leader; `None` if a live controller is the
/// leader.
fn election_txn(state: &ClusterState, process: &Process, lease: u64) -> Option<Txn> {
    let leader = state.leader.as_ref();
    if leader.is_some_and(|leader| state.is_live(&leader.rec.member, leader.rec.incarnation)) {
        return None;
    }
    let term = state.term.as_ref().map_or(0, |term| term.rec.term) + 1;
    let term_version = state.term.as_ref().map_or(0, |term| term.version);
    let leader_record = LeaderRecord { member: process.member.clone(), incarnation: process.incarnation, term };
    let term_record = TermRecord { term, format_version: records::FORMAT_VERSION };
    Some(Txn {
        conditions: vec![leader_condition(state), Condition { key: records::TERM_KEY.into(), version: term_version }],
        ops: vec![
            Op::Put { key: records::LEADER_KEY.into(), data: records::to_value(&leader_record), lease: Some(lease) },
            Op::Put { key: records::TERM_KEY.into(), data: records::to_value(&term_record), lease: None },
        ],
    })
}

impl Controller {
    /// Does the leader's work if this process is the leader; otherwise stands for election
    /// if the leadership is vacant.
    pub(super) fn update_leadership(&mut self) {
        let interval = self.heartbeat_intervals(CHECK_INTERVALS);
        if !self.leadership.check_due(self.now, self.state.member_changes, interval) {
            return;
        }
        if !self.is_leader() {
            self.stand_for_election();
            return;
        }
        self.begin_term();
        if !self.may_decide() {
            return;
        }
        self.grant_shards();
        self.register_rented_machines();
        if self.sharding.reassignment_due(self.now, self.heartbeat_intervals(REASSIGN_INTERVALS)) {
            self.reassign_tasks();
            self.advance_maintenance();
        }
        self.scale_fleet();
    }

    /// Begins this process's term when the replica first shows it, be it because the election
    /// was answered or because the watch has shown that it was carried out.
    fn begin_term(&mut self) {
        let term = self.term();
        if self.leadership.begin_term(term) {
            self.cloud.invalidate_list();
            tracing::info!(term, member = %self.process.member, "leader elected");
        }
    }

    /// Sends the election's transaction if the leadership is vacant. Only the retry policy
    /// limits this write: without a leader, machines are neither granted nor provisioned, and
    /// no tasks are reassigned.
    fn stand_for_election(&mut self) {
        let Some(lease) = self.store.session.lease else { return };
        if !self.state.is_live(&self.process.member, self.process.incarnation)
            || self.transactions.is_locked(records::TERM_KEY)
            || !self.retry.allows(RetryPurpose::Write, self.now)
        {
            return;
        }
        if let Some(txn) = election_txn(&self.state, &self.process, lease) {
            self.transact(txn, TxnPurpose::Election);
        }
    }

    /// Whether the replica shows this process as the leader.
    pub(super) fn is_leader(&self) -> bool {
        self.state.leader.as_ref().is_some_and(|leader| self.process.is(&leader.rec.member, leader.rec.incarnation))
    }

    /// The condition that the leader record is still the one that the replica shows.
    pub(super) fn leader_condition(&self) -> Condition {
        leader_condition(&self.state)
    }

    /// The term of the leader that the replica shows; 0 if it shows none.
    pub(super) fn term(&self) -> u64 {
        self.state.leader.as_ref().map_or(0, |leader| leader.rec.term)
    }
}

#[cfg(test)]
mod tests;
