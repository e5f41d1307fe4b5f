//! A start of this process: how far it has come, and what was found on the way.
//! What waits for its phases asks `self.start` where it decides.

use super::*;
use crate::bookkeeping::Placements;
use crate::protocol::cloud::Phase as Listing;
use crate::recovery::phase::{Facts, Heard, Phase};
use crate::recovery::square::{Shown, Stored, case};

/// A report comes at an interval, give or take a quarter; a worker that is not
/// answered tries the next controller once before that counts.
pub(super) const LONGEST_REPORT: f64 = 1.25;
/// A process that stood still for so many report intervals has heard nobody.
const PAUSE_REPORTS: f64 = 2.0;

impl Controller {
    /// Notices that the process stood still while its clocks ran on.
    pub(super) fn pause_tick(&mut self) {
        let since = self.now.saturating_sub(self.ticked_at);
        self.ticked_at = self.now;
        if since > self.report_s(PAUSE_REPORTS) && self.start.phase() > Phase::Gathering {
            tracing::info!(stood_ms = since.as_millis() as u64, "process stood still, gathers again");
            self.start.paused(self.now);
        }
    }

    pub(super) fn start_tick(&mut self) {
        if self.start.phase() == Phase::Settled && self.start.all_came() {
            return;
        }
        let facts = if self.start.phase() == Phase::Settled {
            // Only time matters any more.
            let none = Heard::default();
            Facts { fresh: self.fresh(), members: none, block: none, fleet: none }
        } else {
            self.start_facts()
        };
        let Some(phase) = self.start.look(self.now, &facts) else { return };
        let ms = self.now.as_millis() as u64;
        let Facts { members, block, fleet, .. } = facts;
        tracing::info!(
            ?phase,
            ms,
            members = members.heard,
            of_members = members.all,
            fleet = fleet.heard,
            of_fleet = fleet.all,
            block = block.heard,
            of_block = block.all,
            "start"
        );
        if phase == Phase::Settled {
            tracing::info!(cases = ?self.start.cases, "machines squared with the stored state");
        }
    }

    fn start_facts(&self) -> Facts {
        let (mut block, mut fleet) = (Heard::default(), Heard::default());
        let listed = self.list_at.is_some();
        for (name, h) in &self.view.hosts {
            let heard = self.heard_by_any(name);
            // What the cloud lists as booting, or not at all, is not waited for.
            let running = |l: &Listed| l.phase == Listing::Running;
            if !heard && listed && !self.list.get(name).is_some_and(running) {
                continue;
            }
            fleet.all += 1;
            fleet.heard += usize::from(heard);
            if self.owns(h) {
                block.all += 1;
                block.heard += usize::from(self.machines.get(name).is_some_and(|m| m.heard_at.is_some()));
            }
        }
        let members = Heard { heard: self.view.members.len(), all: self.set.controllers() };
        Facts { fresh: self.fresh(), members, block, fleet }
    }

    /// Counts what the first report under our grant differs in.
    pub(super) fn note_squared(&mut self, name: &str, wanted: &Placements, kept: &Placements) {
        let Some(m) = self.machines.get(name).filter(|m| m.answered_at.is_none()) else { return };
        let cases = &mut self.start.cases;
        for s in &m.tasks {
            let key = (s.task.job.clone(), s.task.index);
            let stored = Stored::of(wanted, kept, &key, s.attempt);
            *cases.entry(case(stored, Shown::of(s.state, s.cause), true)).or_default() += 1;
        }
        for ((job, index), attempt) in wanted {
            if m.find(job, *index, *attempt).is_none() {
                *cases.entry(case(Stored::Wanted, Shown::Absent, false)).or_default() += 1;
            }
        }
    }
}
