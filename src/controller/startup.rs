//! The startup of this controller: advances its phases, and counts the differences that the
//! first heartbeats of machines show. Decisions that wait for a phase check `self.startup`
//! themselves.

use super::*;
use crate::protocol::cloud::Phase as Listing;
use crate::reconciliation::difference::{ObservedState, RecordedState, compare};
use crate::reconciliation::phase::{HeardCount, Phase, StartupObservations};
use crate::state::PlacedTasks;

/// The longest time between two heartbeats of a worker, in heartbeat intervals: they vary by
/// a quarter. A worker that is not answered tries the next controller once before that counts
/// as silence.
pub(super) const MAX_HEARTBEAT_INTERVALS: f64 = 1.25;
/// A process that was suspended for more than this many heartbeat intervals has missed
/// heartbeats of all machines.
const PAUSE_INTERVALS: f64 = 2.0;

impl Controller {
    /// Acts on the end of a suspension of this process, before anything that arrived meanwhile is
    /// handled.
    pub(super) fn resume(&mut self, suspended: Duration) {
        let suspended_ms = suspended.as_millis() as u64;
        tracing::debug!(suspended_ms, "process resumed, earlier reads prove nothing");
        self.answer_requests(RequestEvent::Resumed);
        if suspended > self.heartbeat_intervals(PAUSE_INTERVALS) && self.startup.phase() > Phase::Gathering {
            tracing::info!(stood_ms = suspended_ms, "process was suspended, gathering heartbeats again");
            self.startup.record_pause(self.now);
        }
    }

    /// Advances the startup phase according to what is observed now.
    pub(super) fn update_startup(&mut self) {
        if self.startup.phase() == Phase::Settled && self.startup.all_agents_had_time() {
            return;
        }
        let observations = if self.startup.phase() == Phase::Settled {
            // The phase is final; only the elapsed time still counts.
            let unused = HeardCount::default();
            StartupObservations { fresh: self.is_replica_fresh(), members: unused, shard: unused, fleet: unused }
        } else {
            self.observe_startup()
        };
        let Some(phase) = self.startup.update(self.now, &observations) else { return };
        let ms = self.now.as_millis() as u64;
        let StartupObservations { members, shard, fleet, .. } = observations;
        tracing::info!(
            ?phase,
            ms,
            members = members.heard,
            of_members = members.all,
            fleet = fleet.heard,
            of_fleet = fleet.all,
            shard = shard.heard,
            of_shard = shard.all,
            "startup phase reached"
        );
        if phase == Phase::Settled {
            tracing::info!(cases = ?self.startup.differences, "machines reconciled with the stored state");
        }
    }

    /// Counts the machines and controllers that have been heard so far.
    fn observe_startup(&self) -> StartupObservations {
        let (mut shard, mut fleet) = (HeardCount::default(), HeardCount::default());
        let has_list = self.cloud.has_list();
        for (name, machine) in &self.state.machines {
            let heard = self.reaches_any_controller(name);
            // Machines that the cloud does not list as running are not expected.
            let is_running = |listed: &ListedMachine| listed.phase == Listing::Running;
            if !heard && has_list && !self.cloud.machines().get(name).is_some_and(is_running) {
                continue;
            }
            fleet.all += 1;
            fleet.heard += usize::from(heard);
            if self.owns(machine) {
                shard.all += 1;
                shard.heard += usize::from(self.agents.machine(name).is_some_and(|agent| agent.heard_at.is_some()));
            }
        }
        let members = HeardCount { heard: self.state.members.len(), all: self.config.controllers() };
        StartupObservations { fresh: self.is_replica_fresh(), members, shard, fleet }
    }

    /// Counts the differences between the stored state and a machine's first heartbeat to this
    /// controller as its owner.
    pub(super) fn count_differences(&mut self, name: &str, wanted: &PlacedTasks, kept: &PlacedTasks) {
        let Some(machine) = self.agents.machine(name).filter(|machine| machine.answered_at.is_none()) else { return };
        let differences = &mut self.startup.differences;
        for task in &machine.tasks {
            let key = (task.task.job.clone(), task.task.index);
            let stored = RecordedState::of(wanted, kept, &key, task.attempt);
            *differences.entry(compare(stored, ObservedState::of(task.state, task.cause), true)).or_default() += 1;
        }
        for ((job, index), attempt) in wanted {
            if machine.find(job, *index, *attempt).is_none() {
                *differences.entry(compare(RecordedState::Wanted, ObservedState::Absent, false)).or_default() += 1;
            }
        }
    }
}
