//! A start of this process: how far it has come, and what was found on the way.
//! What waits for its phases asks `self.startup` where it decides.

use super::*;
use crate::protocol::cloud::Phase as Listing;
use crate::reconciliation::difference::{ObservedState, RecordedState, compare};
use crate::reconciliation::phase::{Facts, Heard, Phase};
use crate::state::PlacedTasks;

/// A report comes at an interval, give or take a quarter; a worker that is not
/// answered tries the next controller once before that counts.
pub(super) const LONGEST_REPORT: f64 = 1.25;
/// A process that stood still for so many report intervals has heard nobody.
const PAUSE_REPORTS: f64 = 2.0;

impl Controller {
    /// Notices that the process stood still while its clocks ran on.
    pub(super) fn pause_tick(&mut self) {
        let since = self.process.record_tick(self.now);
        if since > self.heartbeat_intervals(PAUSE_REPORTS) && self.startup.phase() > Phase::Gathering {
            tracing::info!(stood_ms = since.as_millis() as u64, "process stood still, gathers again");
            self.startup.paused(self.now);
        }
    }

    pub(super) fn start_tick(&mut self) {
        if self.startup.phase() == Phase::Settled && self.startup.all_came() {
            return;
        }
        let facts = if self.startup.phase() == Phase::Settled {
            // Only time matters any more.
            let none = Heard::default();
            Facts { fresh: self.fresh(), members: none, shard: none, fleet: none }
        } else {
            self.start_facts()
        };
        let Some(phase) = self.startup.look(self.now, &facts) else { return };
        let ms = self.now.as_millis() as u64;
        let Facts { members, shard, fleet, .. } = facts;
        tracing::info!(
            ?phase,
            ms,
            members = members.heard,
            of_members = members.all,
            fleet = fleet.heard,
            of_fleet = fleet.all,
            shard = shard.heard,
            of_shard = shard.all,
            "start"
        );
        if phase == Phase::Settled {
            tracing::info!(cases = ?self.startup.cases, "machines squared with the stored state");
        }
    }

    fn start_facts(&self) -> Facts {
        let (mut shard, mut fleet) = (Heard::default(), Heard::default());
        let listed = self.cloud.has_list();
        for (name, h) in &self.state.machines {
            let heard = self.heard_by_any(name);
            // What the cloud lists as booting, or not at all, is not waited for.
            let running = |l: &ListedMachine| l.phase == Listing::Running;
            if !heard && listed && !self.cloud.machines().get(name).is_some_and(running) {
                continue;
            }
            fleet.all += 1;
            fleet.heard += usize::from(heard);
            if self.owns(h) {
                shard.all += 1;
                shard.heard += usize::from(self.agents.machine(name).is_some_and(|m| m.heard_at.is_some()));
            }
        }
        let members = Heard { heard: self.state.members.len(), all: self.config.controllers() };
        Facts { fresh: self.fresh(), members, shard, fleet }
    }

    /// Counts what the first report under our grant differs in.
    pub(super) fn count_differences(&mut self, name: &str, wanted: &PlacedTasks, kept: &PlacedTasks) {
        let Some(m) = self.agents.machine(name).filter(|m| m.answered_at.is_none()) else { return };
        let cases = &mut self.startup.cases;
        for s in &m.tasks {
            let key = (s.task.job.clone(), s.task.index);
            let stored = RecordedState::of(wanted, kept, &key, s.attempt);
            *cases.entry(compare(stored, ObservedState::of(s.state, s.cause), true)).or_default() += 1;
        }
        for ((job, index), attempt) in wanted {
            if m.find(job, *index, *attempt).is_none() {
                *cases.entry(compare(RecordedState::Wanted, ObservedState::Absent, false)).or_default() += 1;
            }
        }
    }
}
