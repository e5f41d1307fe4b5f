//! The service-level objectives from the settings, and how well they were met recently.

use crate::config::Objective;
use crate::protocol::user::{JobKind, JobSpec};

/// Misses that the running share remembers when an objective is just met: a share of 0.9
/// can be distinguished from one of 0.95 only over some twenty jobs.
const REMEMBERED_MISSES: f64 = 2.0;
/// The least part of misses that an objective is taken to allow.
const LEAST_MISSED_SHARE: f64 = 0.01;

/// The kinds of objectives in the settings.
const START_WAIT: &str = "wait";
const COMPLETION: &str = "finished";
const DEADLINE: &str = "deadline";

/// All objectives, and how well each was met recently.
#[derive(Debug)]
pub struct Objectives {
    objectives: Vec<Objective>,
    /// The running share of jobs that met each objective.
    met_shares: Vec<f64>,
}

impl Objectives {
    /// These objectives, counted as met so far.
    pub fn new(objectives: Vec<Objective>) -> Objectives {
        let met_shares = vec![1.0; objectives.len()];
        Objectives { objectives, met_shares }
    }

    fn of<'a>(&'a self, kind: &'a str, class: &'a str) -> impl Iterator<Item = &'a Objective> {
        self.objectives
            .iter()
            .filter(move |objective| objective.kind == kind && objective.class.as_deref() == Some(class))
    }

    /// Seconds from submission within which the job should have started.
    pub fn start_within(&self, spec: &JobSpec) -> Option<f64> {
        self.of(START_WAIT, &spec.class).filter_map(|objective| objective.within_s).reduce(f64::min)
    }

    /// Seconds from submission within which the job should have completed; `None` for
    /// services.
    pub fn end_within(&self, spec: &JobSpec) -> Option<f64> {
        if spec.kind == JobKind::Service {
            return None;
        }
        let completion = self.of(COMPLETION, &spec.class).filter_map(|objective| objective.within_s);
        let completion_s = completion.reduce(f64::min);
        let deadline_factor = || {
            let factors = self.of(DEADLINE, &spec.class).filter_map(|objective| objective.times);
            factors.fold(1.0, f64::max)
        };
        let deadline_s = spec.deadline_s.map(|deadline_s| deadline_s * deadline_factor());
        [completion_s, deadline_s].into_iter().flatten().reduce(f64::min)
    }

    /// The first such time that a job of age `age_s` can still meet if it needs `needs_s`
    /// more seconds. The last one if it is too late for all of them, so that a job that has
    /// missed one objective still has the next one to meet.
    pub fn end_from(&self, spec: &JobSpec, age_s: f64, needs_s: f64) -> Option<f64> {
        let first = self.end_within(spec)?;
        let completion = self.of(COMPLETION, &spec.class).filter_map(|objective| objective.within_s);
        let later = completion.filter(|within_s| *within_s > first);
        let mut all: Vec<f64> = later.chain([first]).collect();
        all.sort_by(f64::total_cmp);
        all.iter().find(|within_s| **within_s - age_s >= needs_s).or(all.last()).copied()
    }

    /// Records a job that completed `took_s` seconds after its submission.
    pub fn note_end(&mut self, spec: &JobSpec, took_s: f64) {
        for (objective, met_share) in self.objectives.iter().zip(&mut self.met_shares) {
            if objective.class.as_deref() != Some(&spec.class) {
                continue;
            }
            let Some(within_s) = completion_limit_s(objective, spec) else { continue };
            let met = if took_s <= within_s { 1.0 } else { 0.0 };
            let missed_share = 1.0 - objective.share.unwrap_or(0.0);
            let memory = REMEMBERED_MISSES / missed_share.max(LEAST_MISSED_SHARE);
            *met_share += (met - *met_share) / memory;
        }
    }

    /// Whether any objective has been missed recently, which makes it worthwhile to keep
    /// machines.
    pub fn behind(&self) -> bool {
        let mut objectives = self.objectives.iter().zip(&self.met_shares);
        objectives.any(|(objective, met_share)| objective.share.is_some_and(|share| *met_share < share))
    }
}

/// Seconds from submission within which the objective wants the job to complete.
fn completion_limit_s(objective: &Objective, spec: &JobSpec) -> Option<f64> {
    match objective.kind.as_str() {
        COMPLETION => objective.within_s,
        DEADLINE => spec.deadline_s.map(|deadline_s| deadline_s * objective.times.unwrap_or(1.0)),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
