//! The leader's grants of machines: blocks levelled, machines of a zone brought
//! together, those that nobody hears moved.

use super::*;
use crate::bookkeeping::Job;
use crate::coordination::blocks::{self, wanted_moves};
use crate::protocol::store::{Cond, Op};
use crate::protocol::user::Form;
use records::{BlockRec, PackRec};

/// After machines were brought together for a gang, blocks are not levelled for
/// so many report intervals.
const GATHERED_REPORTS: f64 = 3.0;

impl Controller {
    pub(super) fn grant_blocks(&mut self) {
        for member in self.view.restarted() {
            let key = records::block_key(&member);
            let Some(m) = self.view.members.get(&member).filter(|_| !self.busy.contains(&key)) else { continue };
            self.epoch += 1;
            let rec = BlockRec { incarnation: m.rec.incarnation, term: self.term(), epoch: self.epoch };
            tracing::debug!(to = %member, "block granted again");
            let txn = Txn {
                conds: vec![
                    self.lead_cond(),
                    Cond { key: key.clone(), entry_no: self.view.block_version(&member) },
                    Cond { key: records::member_key(&member), entry_no: m.version },
                ],
                ops: vec![Op::Put { key, data: records::to_value(&rec), lease: None }],
            };
            self.txn_keyed(txn, Why::Grant);
        }
        if !self.start.members_known() {
            return; // whoever comes back gets its block whole
        }
        let now = self.now;
        let limit = self.set.settings.state.txn_ops.min(self.writes.level(self.now) as usize).max(1);
        let known = self.start.fleet_known();
        let deaf = if known { self.deaf_machines() } else { Vec::new() };
        let level = known && self.now >= self.level_next;
        let mut moves = wanted_moves(&self.view, &deaf, level && now >= self.gather_next, limit);
        if moves.is_empty() && level {
            moves = self.gather_moves();
            moves.truncate(limit);
            if !moves.is_empty() {
                // Levelling would take them apart before the gang has started.
                self.gather_next = now + self.report_s(GATHERED_REPORTS);
            }
        }
        if moves.is_empty() || !self.may_write(moves.len() as f64) {
            return;
        }
        self.level_next = self.now + self.report_s(1.0);
        let mut txn = Txn { conds: vec![self.lead_cond()], ops: Vec::new() };
        for m in moves {
            let key = records::pack_key(&m.pack);
            let (Some(p), Some(to)) = (self.view.packs.get(&m.pack), self.view.members.get(&m.to)) else { continue };
            if self.busy.contains(&key) {
                continue;
            }
            self.epoch += 1;
            let rec = PackRec {
                owner: m.to.clone(),
                incarnation: to.rec.incarnation,
                term: self.term(),
                epoch: self.epoch,
                ..p.rec.clone()
            };
            tracing::debug!(pack = %m.pack, machines = rec.machines.len(), from = %p.rec.owner, to = %m.to, "machine granted");
            txn.conds.push(Cond { key: key.clone(), entry_no: p.version });
            txn.ops.push(Op::Put { key, data: records::to_value(&rec), lease: None });
        }
        if !txn.ops.is_empty() {
            self.txn_keyed(txn, Why::Grant);
        }
    }

    /// For a gang that waits and fits in no block: machines of one zone are
    /// brought together. One gang at a time.
    fn gather_moves(&self) -> Vec<blocks::Move> {
        // Until then machines that were rented for it may still come up together.
        let boot = self.types.iter().map(|t| t.startup_s).fold(0.0, f64::max);
        let waits =
            |uid: &String| self.patience.get(uid).and_then(|p| p.waited(self.now)).is_some_and(|t| t > self.secs(boot));
        let whole = |j: &Job| j.spec.form == Form::Ensemble && j.spec.parcels > 1 && j.placed == 0;
        let mut gangs: Vec<&Job> = self
            .view
            .jobs
            .iter()
            .filter(|(uid, j)| whole(j) && j.waiting_count() > 0 && waits(uid))
            .map(|(_, j)| j)
            .collect();
        if gangs.is_empty() {
            return Vec::new();
        }
        gangs.sort_by_key(|j| j.rec.rec.at_ms);
        let rooms = self.rooms(true);
        let found = gangs.into_iter().map(|j| blocks::gather(&self.view, &rooms, &j.spec));
        found.into_iter().find(|moves| !moves.is_empty()).unwrap_or_default()
    }

    /// Machines that reach another controller, but not their owner.
    fn deaf_machines(&mut self) -> Vec<(String, String)> {
        let (deaf, near) = (self.report_s(3.0), self.report_s(1.5));
        let age = |member: &str, machine: &str| -> Option<Duration> {
            if member == self.me {
                return self.heard.get(machine).map(|t| self.now.saturating_sub(*t));
            }
            let p = self.peers.get(member)?;
            let ms = p.heard.get(machine)?;
            Some(Duration::from_millis(*ms) + self.now.saturating_sub(p.at))
        };
        let mut out = Vec::new();
        for (name, h) in self.view.hosts.iter().filter(|(_, h)| self.view.owned(&h.rec)) {
            if !self.is_up(name) {
                continue;
            }
            let current = h.rec.owner == self.me
                || self.peers.get(&h.rec.owner).is_some_and(|p| self.now.saturating_sub(p.at) < near);
            if !current || age(&h.rec.owner, name).is_some_and(|a| a < deaf) {
                continue;
            }
            // Freshly granted machines have had no time to come over.
            if self.view.revision.saturating_sub(h.version) < 1
                || self.machines.get(name).is_some_and(|m| self.now.saturating_sub(m.owned_since) < deaf)
            {
                continue;
            }
            let hears = self.view.members.keys().find(|m| **m != h.rec.owner && age(m, name).is_some_and(|a| a < near));
            if let Some(m) = hears {
                out.push((name.clone(), m.clone()));
            }
        }
        // One that has just come up reports to anybody first, and it takes a
        // beat or two until its owner's word of it is here.
        let now = self.now;
        let before = std::mem::take(&mut self.deaf_since);
        for (name, _) in &out {
            let since = before.get(name).copied().unwrap_or(now);
            self.deaf_since.insert(name.clone(), since);
        }
        out.retain(|(name, _)| self.deaf_since.get(name).is_some_and(|t| now.saturating_sub(*t) > near));
        out
    }
}
