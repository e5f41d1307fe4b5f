//! The service-level objectives (SLOs) from the settings, and how well jobs met them recently.

#![warn(missing_docs)]

use crate::config::Objective;
use crate::protocol::user::{JobKind, JobSpec};

/// The number of misses within the averaging window of the running share, when an objective is
/// only just met. It makes the window 20 jobs long for a share of 0.9; over fewer jobs, that
/// share could not be distinguished from 0.95.
const MISSES_PER_WINDOW: f64 = 2.0;
/// Lower bound of the share of misses that an objective is taken to allow, which limits the
/// length of the averaging window.
const MIN_MISSED_SHARE: f64 = 0.01;

/// The kind of an objective for the time from submission to the start, as the settings call it.
const START_WAIT: &str = "wait";
/// The kind of an objective for the time from submission to completion.
const COMPLETION: &str = "finished";
/// The kind of an objective for completion within a multiple of the job's deadline.
const DEADLINE: &str = "deadline";

/// All objectives, and how well each was met recently.
#[derive(Debug)]
pub struct Objectives {
    objectives: Vec<Objective>,
    /// For each objective, the exponential moving average of the share of jobs that met it.
    met_shares: Vec<f64>,
}

impl Objectives {
    /// Creates the state for these objectives. Each counts as met so far.
    pub fn new(objectives: Vec<Objective>) -> Objectives {
        let met_shares = vec![1.0; objectives.len()];
        Objectives { objectives, met_shares }
    }

    /// The objectives of one kind for one class.
    fn matching<'a>(&'a self, kind: &'a str, class: &'a str) -> impl Iterator<Item = &'a Objective> {
        self.objectives
            .iter()
            .filter(move |objective| objective.kind == kind && objective.class.as_deref() == Some(class))
    }

    /// Seconds from submission within which the job should start, by its tightest objective.
    pub fn start_limit_s(&self, spec: &JobSpec) -> Option<f64> {
        self.matching(START_WAIT, &spec.class).filter_map(|objective| objective.within_s).reduce(f64::min)
    }

    /// Seconds from submission within which the job should complete, by its tightest objective
    /// or deadline. `None` for services.
    pub fn completion_limit_s(&self, spec: &JobSpec) -> Option<f64> {
        if spec.kind == JobKind::Service {
            return None;
        }
        let completion = self.matching(COMPLETION, &spec.class).filter_map(|objective| objective.within_s);
        let completion_s = completion.reduce(f64::min);
        let deadline_factor = || {
            let factors = self.matching(DEADLINE, &spec.class).filter_map(|objective| objective.deadline_factor);
            factors.fold(1.0, f64::max)
        };
        let deadline_s = spec.deadline_s.map(|deadline_s| deadline_s * deadline_factor());
        [completion_s, deadline_s].into_iter().flatten().reduce(f64::min)
    }

    /// Seconds from submission to the earliest time limit for completion that a job of age
    /// `age_s` can still meet if it needs `needs_s` more seconds. A job that has missed one
    /// objective thus still has the next one to meet. The last limit if the job is too late for
    /// all of them.
    pub fn next_completion_limit_s(&self, spec: &JobSpec, age_s: f64, needs_s: f64) -> Option<f64> {
        let first = self.completion_limit_s(spec)?;
        let completion = self.matching(COMPLETION, &spec.class).filter_map(|objective| objective.within_s);
        let later = completion.filter(|within_s| *within_s > first);
        let mut limits: Vec<f64> = later.chain([first]).collect();
        limits.sort_by(f64::total_cmp);
        limits.iter().find(|within_s| **within_s - age_s >= needs_s).or(limits.last()).copied()
    }

    /// Records a job that completed `took_s` seconds after its submission.
    pub fn record_completion(&mut self, spec: &JobSpec, took_s: f64) {
        for (objective, met_share) in self.objectives.iter().zip(&mut self.met_shares) {
            if objective.class.as_deref() != Some(&spec.class) {
                continue;
            }
            let Some(within_s) = objective_limit_s(objective, spec) else { continue };
            let met = if took_s <= within_s { 1.0 } else { 0.0 };
            let missed_share = 1.0 - objective.share.unwrap_or(0.0);
            let window_jobs = MISSES_PER_WINDOW / missed_share.max(MIN_MISSED_SHARE);
            *met_share += (met - *met_share) / window_jobs;
        }
    }

    /// Whether the recent share of any objective is below its target, which makes it worthwhile
    /// to keep idle machines.
    pub fn any_missed_recently(&self) -> bool {
        let mut objectives = self.objectives.iter().zip(&self.met_shares);
        objectives.any(|(objective, met_share)| objective.share.is_some_and(|share| *met_share < share))
    }
}

/// Seconds from submission within which the objective requires the job to complete. `None` if
/// the objective says nothing about the completion of this job.
fn objective_limit_s(objective: &Objective, spec: &JobSpec) -> Option<f64> {
    match objective.kind.as_str() {
        COMPLETION => objective.within_s,
        DEADLINE => spec.deadline_s.map(|deadline_s| deadline_s * objective.deadline_factor.unwrap_or(1.0)),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
