//! The order in which starts and exits of jobs are written to the log.

#![warn(missing_docs)]

use super::Scheduler;
use super::round::SchedulingRound;
use crate::controller::journal::PendingExits;
use crate::coordination::rate_limiter::WritePriority;
use crate::placement::Start;
use crate::state::Job;
use std::collections::{BTreeMap, BTreeSet};

/// The jobs with starts or exits to write, and how urgent the write is.
#[derive(Debug)]
pub(super) struct WriteOrder {
    /// Identifiers of the jobs, most urgent first.
    pub(super) jobs: Vec<String>,
    /// Whether some of the tasks must start soon.
    pub(super) urgent: bool,
    /// Priority of the transaction that writes the segment.
    pub(super) priority: WritePriority,
}

/// How soon a job's starts and exits have to be stored. Earlier variants are written first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// The job has ended, so that its exits are dropped.
    Ended,
    /// Tasks of the job must start soon.
    Start,
    /// The job was cancelled, or this controller's part of it is complete: its user, or the
    /// controllers with the other parts, wait for that.
    End,
    /// Nobody waits for the job's entries.
    CanWait,
}

impl Scheduler {
    /// Orders the jobs that have something to write. Exits lose little by waiting, since agents
    /// report them until they are stored, except for the last ones of a job, which its user waits
    /// for.
    pub(super) fn write_order(&self, round: &SchedulingRound, starts: &BTreeMap<String, Vec<Start>>) -> WriteOrder {
        let uids: BTreeSet<&String> = starts.keys().chain(round.journal.jobs_with_exits()).collect();
        let mut order: Vec<(Urgency, f64, &String)> = Vec::new();
        for uid in uids {
            let (urgency, weight) = match round.state.jobs.get(uid) {
                Some(job) => self.urgency(round, uid, job, starts.get(uid).map_or(0, Vec::len)),
                None => (Urgency::Ended, 0.0),
            };
            order.push((urgency, -weight, uid));
        }
        order.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(b.2)));
        let any = |urgency: Urgency| order.iter().any(|entry| entry.0 == urgency);
        let urgent = any(Urgency::Start);
        let priority = if urgent || any(Urgency::End) { WritePriority::Services } else { WritePriority::Arrays };
        WriteOrder { urgent, priority, jobs: order.into_iter().map(|entry| entry.2.clone()).collect() }
    }

    /// The urgency of a job's starts and exits, and their weight among equally urgent ones: their
    /// number times the waiting time.
    fn urgency(&self, round: &SchedulingRound, uid: &str, job: &Job, starts: usize) -> (Urgency, f64) {
        let exits = round.journal.exits_of(uid);
        let exited = exits.map_or(0, |exits| exits.done.len() + exits.gone.len());
        let since = exits.map_or(round.now, |exits| exits.since);
        let waited = self.queue.get(uid).and_then(|queued| queued.waited(round.now)).unwrap_or_default();
        let waited = waited.max(round.now.saturating_sub(since));
        let weight = (starts + exited) as f64 * (waited + round.heartbeat_intervals(1.0)).as_secs_f64();
        // Arrays may have objectives for their start as well, but long ones, which do not justify
        // a segment of their own.
        let urgency = if starts > 0 && round.must_start_soon(&job.spec) {
            Urgency::Start
        } else if job.cancelled() || exits.is_some_and(|exits| completes_own_part(round, job, exits)) {
            Urgency::End
        } else {
            Urgency::CanWait
        };
        (urgency, weight)
    }
}

/// Whether, with these exits, no task of the job waits or is left on this controller's machines.
fn completes_own_part(round: &SchedulingRound, job: &Job, exits: &PendingExits) -> bool {
    job.waiting_count() == 0
        && job.task_states.values().flat_map(|chunk| &chunk.rec.placements).all(|place| {
            exits.done.contains(&place.index)
                || exits.gone.contains(&(place.index, place.attempt))
                || round.agents.machine(&place.machine).is_none()
        })
}
