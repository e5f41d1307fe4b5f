//! Whether tasks fail because of their machine or because of their job.
//!
//! A faulty machine fails what does well elsewhere; a job that was submitted with a
//! mistake fails wherever it is tried. Each is told by where else: a job that failed on
//! several machines and never did well is to blame itself, and shuts none; a machine that
//! failed tasks of several jobs, or of one that did well elsewhere, is shut. One job's
//! failures on one machine leave it open: the machine rests briefly, so that the job is
//! tried elsewhere, which decides.

use std::collections::{BTreeMap, BTreeSet};

/// A job that failed on so many machines and did well on none fails everywhere.
const EVERYWHERE: usize = 3;
/// So many failures that no job is to blame for are the machine's.
const FAILURES: u32 = 3;

/// What failed on one machine since something did well there, by job.
#[derive(Debug, Default)]
pub struct Failures {
    by_job: BTreeMap<String, u32>,
}

/// What is to be done with a machine after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Well,
    /// It or the job.
    Open,
    Faulty,
}

impl Failures {
    pub fn note(&mut self, job: &str) {
        *self.by_job.entry(job.to_string()).or_default() += 1;
    }

    /// A task completed there.
    pub fn clear(&mut self) {
        self.by_job.clear();
    }

    /// It was shut for it: one more failure shuts it again.
    pub fn served(&mut self) {
        self.by_job.values_mut().for_each(|n| *n = (*n).min(FAILURES - 1));
        while self.by_job.len() > 1 && self.by_job.values().sum::<u32>() >= FAILURES {
            self.by_job.pop_first();
        }
    }

    /// `everywhere` says of a job that it fails everywhere, `well` that it did well
    /// on some machine.
    pub fn verdict(&self, everywhere: impl Fn(&str) -> bool, well: impl Fn(&str) -> bool) -> Verdict {
        let attributed: Vec<(&str, u32)> =
            self.by_job.iter().filter(|(job, _)| !everywhere(job)).map(|(job, n)| (job.as_str(), *n)).collect();
        match attributed.iter().map(|b| b.1).sum::<u32>() {
            n if n < FAILURES => Verdict::Well,
            _ if attributed.len() > 1 || attributed.iter().any(|(job, _)| well(job)) => Verdict::Faulty,
            _ => Verdict::Open,
        }
    }
}

/// Where tasks of one job failed.
#[derive(Debug, Default)]
pub struct Tried {
    machines: BTreeSet<String>,
}

impl Tried {
    pub fn failed_on(&mut self, machine: &str) {
        // More than decide need not be remembered.
        if self.machines.len() < EVERYWHERE {
            self.machines.insert(machine.to_string());
        }
    }

    /// Given that no task of it did well.
    pub fn everywhere(&self) -> bool {
        self.machines.len() >= EVERYWHERE
    }
}

#[cfg(test)]
mod tests;
