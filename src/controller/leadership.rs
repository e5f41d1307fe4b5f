//! Winning and keeping the leadership. What the leader does then has files of its own:
//! registration, sharding, task ranges, autoscaler. Every write of a leader is
//! conditional on the leadership still being its own.

use super::process::Process;
use super::*;
use crate::protocol::store::{Condition, Op};
use records::{LeaderRecord, TermRecord};

/// The election as this process sees it, and the counters of its own term.
#[derive(Debug, Default)]
pub(super) struct Leadership {
    /// When a leader was first seen.
    first_leader_at: Option<Instant>,
    /// The last term in which this process led.
    own_term: u64,
    /// When the election is looked at next.
    next_check: Instant,
    /// The state of the replica's members at the last look.
    members_seen: u64,
    /// Grants made in this term.
    epoch: u64,
    /// Provisioning requests made in this term.
    request_count: u64,
}

impl Leadership {
    /// Whether the election is to be looked at now: after `interval`, or at once where
    /// members came or went, so that a vacant leadership waits for no interval.
    fn check_due(&mut self, now: Instant, members_changed: u64, interval: Duration) -> bool {
        if now < self.next_check && self.members_seen == members_changed {
            return false;
        }
        self.members_seen = members_changed;
        self.next_check = now + interval;
        true
    }

    /// The next tick looks at the election, however soon it comes.
    pub(super) fn check_at_next_tick(&mut self, now: Instant) {
        self.next_check = now;
    }

    /// Starts the counters of a term; false where this process led it already.
    fn begin_term(&mut self, term: u64) -> bool {
        if self.own_term == term {
            return false;
        }
        self.own_term = term;
        self.epoch = 0;
        self.request_count = 0;
        true
    }

    /// The replica shows a leader.
    pub(super) fn observe_leader(&mut self, now: Instant) {
        self.first_leader_at.get_or_insert(now);
    }

    /// How long ago this process first saw a leader.
    pub(super) fn since_first_leader(&self, now: Instant) -> Option<Duration> {
        self.first_leader_at.map(|at| now.saturating_sub(at))
    }

    /// The epoch of the next grant: within a term, each is higher than those before.
    pub(super) fn next_epoch(&mut self) -> u64 {
        self.epoch += 1;
        self.epoch
    }

    /// The number of the next provisioning request of this term.
    pub(super) fn next_request(&mut self) -> u64 {
        self.request_count += 1;
        self.request_count
    }

    /// Provisioning requests made in this term.
    pub(super) fn request_count(&self) -> u64 {
        self.request_count
    }
}

/// The condition that the leader is still the one that `state` shows.
fn leader_condition(state: &ClusterState) -> Condition {
    let version = state.leader.as_ref().map_or(0, |leader| leader.version);
    Condition { key: records::LEADER_KEY.into(), version }
}

/// The transaction that makes this process the leader, where nobody alive is.
fn election(state: &ClusterState, process: &Process, lease: u64) -> Option<Txn> {
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
    /// Stands for election where the leadership is vacant, and does the leader's
    /// work where it is our own.
    pub(super) fn lead(&mut self) {
        let interval = self.heartbeat_intervals(CHECK_INTERVAL);
        if !self.leadership.check_due(self.now, self.state.members_changed, interval) {
            return;
        }
        if !self.am_leader() {
            self.stand_for_election();
            return;
        }
        self.begin_term();
        if !self.fresh() {
            return;
        }
        self.grant_shards();
        self.enrol_rentals();
        if self.sharding.reassignment_due(self.now, self.heartbeat_intervals(REASSIGN_INTERVAL)) {
            self.reassign_tasks();
            self.advance_maintenance();
        }
        self.scale_fleet();
    }

    /// What the first moment of a term brings, whether the election was answered or only
    /// the watch shows that it was carried out.
    fn begin_term(&mut self) {
        let term = self.term();
        if self.leadership.begin_term(term) {
            self.cloud.require_new_list();
            tracing::info!(term, member = %self.process.member, "leader_elected");
        }
    }

    /// No limit holds this back but the pause after a refusal: without a leader
    /// nothing is granted, rented or reassigned.
    fn stand_for_election(&mut self) {
        let Some(lease) = self.store.session.lease else { return };
        if !self.state.is_live(&self.process.member, self.process.incarnation)
            || self.transactions.is_locked(records::TERM_KEY)
            || !self.retry.may(Retry::Write, self.now)
        {
            return;
        }
        if let Some(txn) = election(&self.state, &self.process, lease) {
            self.txn(txn, Why::Lead);
        }
    }

    /// Whether this process is the leader, by what the replica shows.
    pub(super) fn am_leader(&self) -> bool {
        self.state.leader.as_ref().is_some_and(|leader| self.process.is(&leader.rec.member, leader.rec.incarnation))
    }

    /// The condition that the leader has not changed.
    pub(super) fn leader_condition(&self) -> Condition {
        leader_condition(&self.state)
    }

    /// The term of the leader that the replica shows; 0 without one.
    pub(super) fn term(&self) -> u64 {
        self.state.leader.as_ref().map_or(0, |leader| leader.rec.term)
    }
}

/// Heartbeat intervals between two looks at the election.
const CHECK_INTERVAL: f64 = 0.1;
/// Heartbeat intervals between two reassignments of waiting tasks.
const REASSIGN_INTERVAL: f64 = 0.25;

#[cfg(test)]
mod tests;
