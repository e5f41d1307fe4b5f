//! Taking and keeping the lead. What the leader does then has files of its own:
//! enrol, blocks, leasing, fleet.
//! Every write is conditional on the lead still being ours.

use super::*;
use crate::protocol::store::{Condition, Op};
use records::{LeaderRecord, TermRecord};

impl Controller {
    pub(super) fn lead_tick(&mut self) {
        let now = self.now;
        // A lead that fell vacant, or a controller that came, waits for no interval.
        if now < self.lead_next && self.lead_seen == self.view.members_changed {
            return;
        }
        self.lead_seen = self.view.members_changed;
        self.lead_next = now + self.heartbeat_intervals(0.1);
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
        if now >= self.reassign_next {
            self.reassign_next = now + self.heartbeat_intervals(0.25);
            self.reassign_tasks();
            self.advance_maintenance();
        }
        self.fleet_tick();
    }

    /// What the first moment of a term brings, whether the claim was answered or only
    /// the watch shows that it was carried out.
    fn begin_term(&mut self) {
        let term = self.term();
        if std::mem::replace(&mut self.led_term, term) != term {
            self.epoch = 0;
            self.request_id = 0;
            self.list_at = None;
            self.list_stalled = None;
            tracing::info!(term, member = %self.me, "took the lead");
        }
    }

    /// Takes the lead where nobody alive holds it.
    fn claim(&mut self) {
        let Some(lease) = self.ses.lease else { return };
        if !self.view.is_live(&self.me, self.incarnation) || self.busy.contains(records::TERM_KEY) {
            return;
        }
        let leader = self.view.leader.as_ref();
        if leader.is_some_and(|l| self.view.is_live(&l.rec.member, l.rec.incarnation)) {
            return;
        }
        // No limit holds this back but the pause after a refusal: without a leader
        // nothing is granted, rented or reassigned.
        if !self.retry.may(Retry::Write, self.now) {
            return;
        }
        let term = self.view.term.as_ref().map_or(0, |t| t.rec.term) + 1;
        let rec = LeaderRecord { member: self.me.clone(), incarnation: self.incarnation, term };
        let txn = Txn {
            conditions: vec![
                Condition { key: records::LEADER_KEY.into(), version: leader.map_or(0, |l| l.version) },
                Condition { key: records::TERM_KEY.into(), version: self.view.term.as_ref().map_or(0, |t| t.version) },
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
        let version = self.view.leader.as_ref().map_or(0, |l| l.version);
        Condition { key: records::LEADER_KEY.into(), version }
    }

    pub(super) fn term(&self) -> u64 {
        self.view.leader.as_ref().map_or(0, |l| l.rec.term)
    }
}
