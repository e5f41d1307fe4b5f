//! Decides whether tasks fail because of their machine or because of their job.
//!
//! A faulty machine fails tasks that succeed elsewhere; a job that was submitted with a
//! mistake fails on every machine. Its results on other machines tell the two apart:
//!
//! - A job that failed on several machines and never succeeded is at fault itself, so its failures
//!   do not cordon any machine.
//! - A machine on which tasks of several jobs failed, or of one job that succeeded elsewhere,
//!   is at fault and is cordoned.
//! - Failures of a single job on a single machine are undecided. The machine is cordoned
//!   briefly, so that the job is tried elsewhere; the result there decides.

#![warn(missing_docs)]

use std::collections::{BTreeMap, BTreeSet};

/// A job that failed on this many machines, and succeeded on none, is at fault itself.
const FAILED_MACHINES_TO_BLAME_JOB: usize = 3;
/// A machine with this many failures for which no job is at fault is cordoned.
const FAILURES_TO_CORDON: u32 = 3;

/// The failed tasks of each job on one machine, since a task last succeeded there.
#[derive(Debug, Default)]
pub struct MachineFailures {
    by_job: BTreeMap<String, u32>,
}

/// What the failures on a machine say about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// There is no sign that the machine is at fault.
    Healthy,
    /// Either the machine or the job is at fault.
    Undecided,
    /// The machine is at fault.
    Faulty,
}

impl MachineFailures {
    /// Records that a task of the job failed on the machine.
    pub fn record_failure(&mut self, job: &str) {
        *self.by_job.entry(job.to_string()).or_default() += 1;
    }

    /// Records that a task succeeded on the machine, which clears the earlier failures.
    pub fn record_success(&mut self) {
        self.by_job.clear();
    }

    /// Records that the machine is cordoned for these failures. Keeps one failure fewer than
    /// a cordon needs, so that a single new failure cordons the machine again.
    pub fn record_cordon(&mut self) {
        let kept = FAILURES_TO_CORDON - 1;
        self.by_job.values_mut().for_each(|failures| *failures = (*failures).min(kept));
        while self.by_job.len() > 1 && self.by_job.values().sum::<u32>() > kept {
            self.by_job.pop_first();
        }
    }

    /// Judges the machine by its failures.
    ///
    /// `fails_everywhere` returns whether a job is at fault itself, `succeeded` whether a job
    /// has succeeded on any machine.
    pub fn verdict(&self, fails_everywhere: impl Fn(&str) -> bool, succeeded: impl Fn(&str) -> bool) -> Verdict {
        let unexplained: Vec<(&str, u32)> = self
            .by_job
            .iter()
            .filter(|(job, _)| !fails_everywhere(job))
            .map(|(job, failures)| (job.as_str(), *failures))
            .collect();
        let failures: u32 = unexplained.iter().map(|(_, failures)| failures).sum();
        if failures < FAILURES_TO_CORDON {
            Verdict::Healthy
        } else if unexplained.len() > 1 || unexplained.iter().any(|(job, _)| succeeded(job)) {
            Verdict::Faulty
        } else {
            Verdict::Undecided
        }
    }
}

/// The machines on which tasks of one job failed.
#[derive(Debug, Default)]
pub struct JobFailures {
    /// At most [`FAILED_MACHINES_TO_BLAME_JOB`] machines; further ones would change nothing.
    failed_on: BTreeSet<String>,
}

impl JobFailures {
    /// Records that a task of the job failed on this machine.
    pub fn record_failure_on(&mut self, machine: &str) {
        if self.failed_on.len() < FAILED_MACHINES_TO_BLAME_JOB {
            self.failed_on.insert(machine.to_string());
        }
    }

    /// Whether the job failed on so many machines that it is at fault itself, provided that
    /// none of its tasks has succeeded.
    pub fn fails_everywhere(&self) -> bool {
        self.failed_on.len() >= FAILED_MACHINES_TO_BLAME_JOB
    }
}

#[cfg(test)]
mod tests;
