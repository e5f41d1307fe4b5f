//! Whether tasks fail because of their machine or because of their job.
//!
//! A faulty machine fails tasks that succeed elsewhere; a job that was submitted with a
//! mistake fails wherever it is tried. What happened elsewhere tells the two apart:
//!
//! - A job that failed on several machines and never succeeded is at fault itself, and leads
//!   to no cordon.
//! - A machine that failed tasks of several jobs, or of one that succeeded elsewhere, is
//!   cordoned.
//! - The failures of one job on one machine are undecided: the machine is cordoned briefly, so
//!   that the job is tried elsewhere, which decides.

use std::collections::{BTreeMap, BTreeSet};

/// A job that failed on this many machines, and succeeded on none, fails everywhere.
const MACHINES_THAT_DECIDE: usize = 3;
/// This many failures for which no job is at fault are the machine's.
const FAILURES_TO_CORDON: u32 = 3;

/// The failures on one machine since a task last succeeded there, by job.
#[derive(Debug, Default)]
pub struct Failures {
    by_job: BTreeMap<String, u32>,
}

/// What the failures on a machine say about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No fault of the machine is known.
    Healthy,
    /// Either the machine or the job is at fault.
    Undecided,
    /// The machine is at fault.
    Faulty,
}

impl Failures {
    /// A task of the job failed on the machine.
    pub fn note(&mut self, job: &str) {
        *self.by_job.entry(job.to_string()).or_default() += 1;
    }

    /// A task succeeded on the machine.
    pub fn clear(&mut self) {
        self.by_job.clear();
    }

    /// The machine is cordoned for these failures. Keeps so many of them that one more
    /// failure leads to a cordon again.
    pub fn served(&mut self) {
        let kept = FAILURES_TO_CORDON - 1;
        self.by_job.values_mut().for_each(|failures| *failures = (*failures).min(kept));
        while self.by_job.len() > 1 && self.by_job.values().sum::<u32>() > kept {
            self.by_job.pop_first();
        }
    }

    /// `fails_everywhere` tells whether a job is at fault itself, `succeeded` whether a job
    /// succeeded on some machine.
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
pub struct AttemptHistory {
    /// At most [`MACHINES_THAT_DECIDE`]: more need not be remembered.
    failed_on: BTreeSet<String>,
}

impl AttemptHistory {
    /// A task of the job failed on this machine.
    pub fn failed_on(&mut self, machine: &str) {
        if self.failed_on.len() < MACHINES_THAT_DECIDE {
            self.failed_on.insert(machine.to_string());
        }
    }

    /// Whether the job fails everywhere, provided that no task of it has succeeded.
    pub fn everywhere(&self) -> bool {
        self.failed_on.len() >= MACHINES_THAT_DECIDE
    }
}

#[cfg(test)]
mod tests;
