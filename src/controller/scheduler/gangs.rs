//! Gangs that are placed in part.
//!
//! A gang is in this state if it lost tasks before it started and waits for their replacements,
//! or if it is wider than a log segment, so that its placements are stored in several steps.

#![warn(missing_docs)]

use super::Scheduler;
use super::round::SchedulingRound;
use crate::config::Settings;
use crate::controller::agents::MAX_HEARTBEAT_GAP_INTERVALS;
use crate::controller::journal::is_wide_gang;
use crate::coordination::machine::Machine;
use crate::effects::Instant;
use crate::protocol::time::duration_from_secs;
use crate::state::Job;
use crate::state::records::Placement;

/// Whether the job is a wide gang of which only some placements are stored. None of its tasks
/// has been ordered from an agent then.
pub(in crate::controller) fn is_partly_placed(job: &Job, settings: &Settings) -> bool {
    job.placed < job.spec.task_count && is_wide_gang(&job.spec, settings)
}

impl Scheduler {
    /// Whether a wide gang has been partly placed for longer than a lease: the controller that
    /// should have stored the rest does not, or has no room any more. Each owner of a machine
    /// then withdraws its placements, with proof that the tasks do not run, and the gang is
    /// placed again.
    pub(in crate::controller) fn gang_placement_expired(&self, job: &Job, settings: &Settings, now: Instant) -> bool {
        let lease = duration_from_secs(settings.deployment.workers.lease_s);
        let since = self.queue.get(&job.spec.uid).and_then(|queued| queued.partly_placed_since());
        is_partly_placed(job, settings) && since.is_some_and(|since| now.saturating_sub(since) > lease)
    }

    /// Whether the missing tasks of a partly placed gang are to be started. That is so if the
    /// gang lost tasks before it started and all others are on this controller's machines,
    /// waiting for replacements, or if it is a wide gang of which no task was ordered yet.
    pub(super) fn gang_is_assembling(&self, round: &SchedulingRound, job: &Job) -> bool {
        let uid = &job.spec.uid;
        let waits_for_others =
            |machine: &Machine, place: &Placement| machine.is_waiting_for_gang(uid, place.index, place.attempt);
        let was_not_ordered =
            |machine: &Machine, place: &Placement| machine.is_absent(&(uid.clone(), place.index, place.attempt));
        let may_be_completed =
            || is_wide_gang(&job.spec, round.settings) && !self.gang_placement_expired(job, round.settings, round.now);
        job.done == 0
            && job.placed > 0
            && (all_placements(round, job, waits_for_others)
                || may_be_completed() && all_placements(round, job, was_not_ordered))
    }
}

/// Whether all placements of the job satisfy `condition` and are on machines of this controller
/// with a recent heartbeat.
fn all_placements(round: &SchedulingRound, job: &Job, condition: impl Fn(&Machine, &Placement) -> bool) -> bool {
    let recent = round.heartbeat_intervals(MAX_HEARTBEAT_GAP_INTERVALS);
    let is_recent =
        |machine: &Machine| machine.heard_at.is_some_and(|heard_at| round.now.saturating_sub(heard_at) < recent);
    job.task_states.values().flat_map(|chunk| &chunk.rec.placements).all(|place| {
        round.agents.machine(&place.machine).is_some_and(|machine| is_recent(machine) && condition(machine, place))
    })
}
