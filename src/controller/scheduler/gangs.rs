//! Gangs that are placed in part: those that wait for replacements of lost tasks, and
//! those wider than a log segment, whose places are stored one after the other.

use super::Scheduler;
use super::round::SchedulingRound;
use crate::config::Settings;
use crate::controller::agents::MAX_HEARTBEAT_GAP;
use crate::controller::journal::is_wide_gang;
use crate::coordination::machine::Machine;
use crate::effects::Instant;
use crate::state::Job;
use crate::state::records::Placement;
use std::time::Duration;

/// Whether only some places of a wide gang are stored: none of its tasks is ordered yet.
pub(in crate::controller) fn is_partly_placed(job: &Job, settings: &Settings) -> bool {
    job.placed < job.spec.task_count && is_wide_gang(&job.spec, settings)
}

impl Scheduler {
    /// Whether a wide gang has been partly placed for longer than a lease: whoever should
    /// have stored the rest does not, or has no room any more. Each owner then withdraws
    /// its places, by proof, and the gang is placed again.
    pub(in crate::controller) fn gang_placement_expired(&self, job: &Job, settings: &Settings, now: Instant) -> bool {
        let lease = Duration::from_secs_f64(settings.settings.workers.lease_s.max(0.0));
        let since = self.queue.get(&job.spec.uid).and_then(|queued| queued.partly_placed_since());
        is_partly_placed(job, settings) && since.is_some_and(|t| now.saturating_sub(t) > lease)
    }

    /// Whether the gang is to be completed: it lost tasks before it started, and all others
    /// are seen on our machines, waiting for replacements; or it is a wide one of which
    /// no task was ordered yet.
    pub(super) fn gang_is_assembling(&self, round: &SchedulingRound, job: &Job) -> bool {
        let uid = &job.spec.uid;
        let waits = |machine: &Machine, place: &Placement| machine.gathers(uid, place.index, place.attempt);
        let was_not_ordered = |machine: &Machine, place: &Placement| {
            machine.confirmed() && machine.find(uid, place.index, place.attempt).is_none()
        };
        let may_be_completed =
            || is_wide_gang(&job.spec, round.settings) && !self.gang_placement_expired(job, round.settings, round.now);
        job.done == 0
            && job.placed > 0
            && (all_places(round, job, waits) || may_be_completed() && all_places(round, job, was_not_ordered))
    }
}

/// Whether all places of the job are on machines of ours that were heard of late and
/// satisfy `condition`.
fn all_places(round: &SchedulingRound, job: &Job, condition: impl Fn(&Machine, &Placement) -> bool) -> bool {
    let recent = round.heartbeat_intervals(MAX_HEARTBEAT_GAP);
    let is_recent = |machine: &Machine| machine.heard_at.is_some_and(|t| round.now.saturating_sub(t) < recent);
    job.chunks.values().flat_map(|chunk| &chunk.rec.on).all(|place| {
        round.agents.machine(&place.machine).is_some_and(|machine| is_recent(machine) && condition(machine, place))
    })
}
