//! The queues of the members' shards: how much of the capacity that is free now the tasks may take
//! that already wait there, and how much has to come free for them first.

#![warn(missing_docs)]

use crate::effects::Instant;
use std::collections::HashMap;
use std::time::Duration;

/// What the waiting tasks assigned to one member need, in cores.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ShardQueue {
    /// The need of tasks that may take capacity which is free now.
    pub competing_cores: f64,
    /// The need of all other tasks, which wait until capacity comes free.
    pub backlog_cores: f64,
}

impl ShardQueue {
    /// A queue of which nothing is known but its length: all of it may take free capacity.
    pub fn competing(cores: f64) -> ShardQueue {
        ShardQueue { competing_cores: cores, backlog_cores: 0.0 }
    }

    /// The queue of `waiting` tasks that need `cores` each, of which `startable` could start on
    /// capacity that is free now.
    pub fn of_tasks(waiting: f64, startable: f64, cores: f64) -> ShardQueue {
        let competing = waiting.min(startable);
        ShardQueue { competing_cores: competing * cores, backlog_cores: (waiting - competing) * cores }
    }

    /// Adds the tasks of another queue.
    pub fn add(&mut self, other: ShardQueue) {
        self.competing_cores += other.competing_cores;
        self.backlog_cores += other.backlog_cores;
    }

    /// Removes tasks from the queue.
    pub fn remove(&mut self, other: ShardQueue) {
        self.competing_cores = (self.competing_cores - other.competing_cores).max(0.0);
        self.backlog_cores = (self.backlog_cores - other.backlog_cores).max(0.0);
    }
}

/// A job whose tasks were started this many times, and all of them are gone without a result, is
/// stalled: tasks that fail everywhere take room only for moments.
const FRUITLESS_STARTS: u64 = 4;

/// Recognizes jobs whose tasks wait although their shards have room for them: tasks that fail
/// everywhere and are retried ever more rarely, or tasks that other rules keep from starting. They
/// take none of that room for long, so they must not keep other tasks from it.
#[derive(Debug, Default)]
pub struct StalledJobs {
    by_job: HashMap<String, Observation>,
}

/// A waiting job at one moment.
#[derive(Debug, Clone, Copy)]
pub struct JobProgress {
    /// Whether its shards have room for its tasks.
    pub has_room: bool,
    /// How often tasks of it were started.
    pub starts: u64,
    /// The number of its tasks that are, or may still be, on machines.
    pub placed: u32,
    /// The number of its completed tasks.
    pub done: u32,
}

/// What was seen of one waiting job so far.
#[derive(Debug)]
struct Observation {
    last: JobProgress,
    /// Since when the job has waited beside room without a start.
    idle_since: Option<Instant>,
    /// How often its tasks had been started when one of them last completed, or when the job was
    /// first observed.
    starts_at_completion: u64,
}

impl StalledJobs {
    /// Records how far a waiting job has come.
    pub fn observe(&mut self, uid: &str, progress: JobProgress, now: Instant) {
        if let Some(observation) = self.by_job.get_mut(uid) {
            observation.update(progress, now);
        } else {
            let idle_since = progress.has_room.then_some(now);
            let observation = Observation { last: progress, idle_since, starts_at_completion: progress.starts };
            self.by_job.insert(uid.to_string(), observation);
        }
    }

    /// Whether the job is stalled: it has waited beside room for longer than `limit` without a
    /// start, or all its starts since the last completion have come to nothing.
    pub fn is_stalled(&self, uid: &str, now: Instant, limit: Duration) -> bool {
        self.by_job.get(uid).is_some_and(|observation| {
            let is_idle = observation.idle_since.is_some_and(|since| now.saturating_sub(since) > limit);
            is_idle || observation.fruitless_starts() >= FRUITLESS_STARTS
        })
    }

    /// Drops the jobs that no longer wait.
    pub fn retain(&mut self, is_waiting: impl Fn(&str) -> bool) {
        self.by_job.retain(|uid, _| is_waiting(uid));
    }
}

impl Observation {
    fn update(&mut self, progress: JobProgress, now: Instant) {
        let has_started = progress.starts != self.last.starts;
        self.idle_since = match self.idle_since {
            _ if !progress.has_room => None,
            Some(since) if !has_started => Some(since),
            _ => Some(now),
        };
        if progress.done > self.last.done {
            self.starts_at_completion = progress.starts;
        }
        self.last = progress;
    }

    /// The number of starts since the last completion, if nothing is left of any of them.
    fn fruitless_starts(&self) -> u64 {
        if self.last.placed > 0 { 0 } else { self.last.starts.saturating_sub(self.starts_at_completion) }
    }
}

#[cfg(test)]
mod tests;
