//! What goes into the log first.

use super::Scheduler;
use super::round::SchedulingRound;
use crate::controller::journal::PendingExits;
use crate::coordination::rate_limiter::WritePriority;
use crate::placement::Start;
use crate::state::Job;
use std::collections::{BTreeMap, BTreeSet};

/// The jobs with starts or exits to write down, most important first.
#[derive(Debug)]
pub(super) struct WriteOrder {
    pub(super) jobs: Vec<String>,
    /// Some of the starts are needed soon.
    pub(super) urgent: bool,
    /// The priority of the transaction that holds all of it.
    pub(super) priority: WritePriority,
}

/// How soon a job's starts and exits have to be stored; earlier ones go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// The job has ended: its exits are dropped.
    Ended,
    /// Tasks have to start soon.
    Start,
    /// Its user, or the controllers with the rest of it, wait for our part.
    End,
    CanWait,
}

impl Scheduler {
    /// Orders the jobs that have something to write down. Exits alone lose little by
    /// waiting, since agents report them until they are stored; the last ones of a job
    /// are waited for by its user.
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

    /// How urgent a job's starts and exits are, and their weight among equally urgent ones.
    fn urgency(&self, round: &SchedulingRound, uid: &str, job: &Job, starts: usize) -> (Urgency, f64) {
        let exits = round.journal.exits_of(uid);
        let exited = exits.map_or(0, |e| e.done.len() + e.gone.len());
        let since = exits.map_or(round.now, |e| e.since);
        let waited = self.queue.get(uid).and_then(|queued| queued.waited(round.now)).unwrap_or_default();
        let waited = waited.max(round.now.saturating_sub(since));
        let weight = (starts + exited) as f64 * (waited + round.heartbeat_intervals(1.0)).as_secs_f64();
        // Objectives on the start of arrays are long: no reason for a batch of their own.
        let urgency = if starts > 0 && round.starts_soon(&job.spec) {
            Urgency::Start
        } else if job.cancelled() || exits.is_some_and(|e| ends_own_part(round, job, e)) {
            Urgency::End
        } else {
            Urgency::CanWait
        };
        (urgency, weight)
    }
}

/// Whether nothing of the job waits or is left on this controller's machines.
fn ends_own_part(round: &SchedulingRound, job: &Job, exits: &PendingExits) -> bool {
    job.waiting_count() == 0
        && job.chunks.values().flat_map(|chunk| &chunk.rec.on).all(|place| {
            exits.done.contains(&place.index)
                || exits.gone.contains(&(place.index, place.attempt))
                || round.agents.machine(&place.machine).is_none()
        })
}
