//! Taking and keeping the lead. What the leader does then has files of its own:
//! enrol, blocks, leasing, fleet.
//! Every write is conditional on the lead still being ours.

use super::*;
use crate::protocol::store::{Condition, Op};
use records::{LeaderRecord, TermRecord};

/// The election as this process sees it, and the counters of its own term.
#[derive(Debug, Default)]
pub(super) struct Leadership {
    /// When a leader was first seen.
    pub(super) led_since: Option<Instant>,
    /// The last term in which this process led.
    pub(super) led_term: u64,
    /// When the election is looked at next.
    pub(super) check_next: Instant,
    /// The state of the replica's members at the last look.
    pub(super) members_seen: u64,
    /// Grants made in this term.
    pub(super) epoch: u64,
    /// Rental requests made in this term.
    pub(super) request_count: u64,
}

impl Controller {
    pub(super) fn lead_tick(&mut self) {
        let now = self.now;
        // A lead that fell vacant, or a controller that came, waits for no interval.
        if now < self.leadership.check_next && self.leadership.members_seen == self.state.members_changed {
            return;
        }
        self.leadership.members_seen = self.state.members_changed;
        self.leadership.check_next = now + self.heartbeat_intervals(0.1);
        if !self.am_leader() {
            self.claim();
            return;
        }
        self.begin_term();
        if !self.fresh() {
            return;
        }
        self.grant_shards();
        self.enrol_rentals();
        if now >= self.sharding.reassign_next {
            self.sharding.reassign_next = now + self.heartbeat_intervals(0.25);
            self.reassign_tasks();
            self.advance_maintenance();
        }
        self.scale_fleet();
    }

    /// What the first moment of a term brings, whether the claim was answered or only
    /// the watch shows that it was carried out.
    fn begin_term(&mut self) {
        let term = self.term();
        if std::mem::replace(&mut self.leadership.led_term, term) != term {
            self.leadership.epoch = 0;
            self.leadership.request_count = 0;
            self.cloud.require_new_list();
            tracing::info!(term, member = %self.process.member, "took the lead");
        }
    }

    /// Takes the lead where nobody alive holds it.
    fn claim(&mut self) {
        let Some(lease) = self.store.session.lease else { return };
        if !self.state.is_live(&self.process.member, self.process.incarnation)
            || self.transactions.locked_keys.contains(records::TERM_KEY)
        {
            return;
        }
        let leader = self.state.leader.as_ref();
        if leader.is_some_and(|l| self.state.is_live(&l.rec.member, l.rec.incarnation)) {
            return;
        }
        // No limit holds this back but the pause after a refusal: without a leader
        // nothing is granted, rented or reassigned.
        if !self.retry.may(Retry::Write, self.now) {
            return;
        }
        let term = self.state.term.as_ref().map_or(0, |t| t.rec.term) + 1;
        let rec = LeaderRecord { member: self.process.member.clone(), incarnation: self.process.incarnation, term };
        let txn = Txn {
            conditions: vec![
                Condition { key: records::LEADER_KEY.into(), version: leader.map_or(0, |l| l.version) },
                Condition { key: records::TERM_KEY.into(), version: self.state.term.as_ref().map_or(0, |t| t.version) },
            ],
            ops: vec![
                Op::Put { key: records::LEADER_KEY.into(), data: records::to_value(&rec), lease: Some(lease) },
                Op::Put {
                    key: records::TERM_KEY.into(),
                    data: records::to_value(&TermRecord { term, format_version: records::FORMAT_VERSION }),
                    lease: None,
                },
            ],
        };
        self.txn(txn, Why::Lead);
    }

    pub(super) fn leader_condition(&self) -> Condition {
        let version = self.state.leader.as_ref().map_or(0, |l| l.version);
        Condition { key: records::LEADER_KEY.into(), version }
    }

    pub(super) fn term(&self) -> u64 {
        self.state.leader.as_ref().map_or(0, |l| l.rec.term)
    }
}
