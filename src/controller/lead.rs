//! Taking and keeping the lead. What the leader does then has files of its own:
//! enrol, blocks, leasing, fleet.
//! Every write is conditional on the lead still being ours.

use super::*;
use crate::protocol::store::{Cond, Op};
use records::{LeadRec, TermRec};

impl Controller {
    pub(super) fn lead_tick(&mut self) {
        let now = self.now;
        // A lead that fell vacant, or a controller that came, waits for no interval.
        if now < self.lead_next && self.lead_seen == self.view.members_changed {
            return;
        }
        self.lead_seen = self.view.members_changed;
        self.lead_next = now + self.report_s(0.1);
        if !self.am_leader() {
            self.claim();
            return;
        }
        self.begin_term();
        if !self.fresh() {
            return;
        }
        self.grant_blocks();
        self.enrol_rentals();
        if now >= self.relet_next {
            self.relet_next = now + self.report_s(0.25);
            self.relet();
            self.upkeep_tick();
        }
        self.fleet_tick();
    }

    /// What the first moment of a term brings, whether the claim was answered or only
    /// the watch shows that it was carried out.
    fn begin_term(&mut self) {
        let term = self.term();
        if std::mem::replace(&mut self.led_term, term) != term {
            self.epoch = 0;
            self.charter = 0;
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
        let lead = self.view.lead.as_ref();
        if lead.is_some_and(|l| self.view.is_live(&l.rec.member, l.rec.incarnation)) {
            return;
        }
        // No limit holds this back but the pause after a refusal: without a leader
        // nothing is granted, rented or leased anew.
        if !self.retry.may(Retry::Write, self.now) {
            return;
        }
        let term = self.view.term.as_ref().map_or(0, |t| t.rec.term) + 1;
        let rec = LeadRec { member: self.me.clone(), incarnation: self.incarnation, term };
        let txn = Txn {
            conds: vec![
                Cond { key: records::LEAD_KEY.into(), entry_no: lead.map_or(0, |l| l.version) },
                Cond { key: records::TERM_KEY.into(), entry_no: self.view.term.as_ref().map_or(0, |t| t.version) },
            ],
            ops: vec![
                Op::Put { key: records::LEAD_KEY.into(), data: records::to_value(&rec), lease: Some(lease) },
                Op::Put {
                    key: records::TERM_KEY.into(),
                    data: records::to_value(&TermRec { term, form: records::FORM }),
                    lease: None,
                },
            ],
        };
        self.txn(txn, Why::Lead);
    }

    pub(super) fn lead_cond(&self) -> Cond {
        let version = self.view.lead.as_ref().map_or(0, |l| l.version);
        Cond { key: records::LEAD_KEY.into(), entry_no: version }
    }

    pub(super) fn term(&self) -> u64 {
        self.view.lead.as_ref().map_or(0, |l| l.rec.term)
    }
}
