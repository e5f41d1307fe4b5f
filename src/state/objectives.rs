//! The aims that the settings repeat, and how well they are met of late.

use crate::protocol::user::{JobKind, JobSpec};
use crate::settings::Objective;

/// Misses that the running share remembers when an aim is just kept: a share
/// of 0.9 is told from one of 0.95 only over some twenty ends.
const MISSES: f64 = 2.0;

#[derive(Debug)]
pub struct Aims {
    list: Vec<Objective>,
    /// Running share of jobs that met each aim.
    met: Vec<f64>,
}

impl Aims {
    pub fn new(list: Vec<Objective>) -> Aims {
        let met = vec![1.0; list.len()];
        Aims { list, met }
    }

    fn of<'a>(&'a self, kind: &'a str, class: &'a str) -> impl Iterator<Item = &'a Objective> {
        self.list.iter().filter(move |o| o.kind == kind && o.class.as_deref() == Some(class))
    }

    /// Seconds from submission within which the job should have started.
    pub fn start_within(&self, spec: &JobSpec) -> Option<f64> {
        self.of("wait", &spec.class).filter_map(|o| o.within_s).reduce(f64::min)
    }

    /// Seconds from submission within which the job should be over.
    pub fn end_within(&self, spec: &JobSpec) -> Option<f64> {
        if spec.kind == JobKind::Service {
            return None;
        }
        let finished = self.of("finished", &spec.class).filter_map(|o| o.within_s).reduce(f64::min);
        let due =
            spec.deadline_s.map(|d| d * self.of("deadline", &spec.class).filter_map(|o| o.times).fold(1.0, f64::max));
        [finished, due].into_iter().flatten().reduce(f64::min)
    }

    /// The first such time that a job of this age can still meet if it needs so
    /// much longer; the last one where it is too late for all: one missed aim
    /// is no reason to miss the next.
    pub fn end_from(&self, spec: &JobSpec, age_s: f64, needs_s: f64) -> Option<f64> {
        let first = self.end_within(spec)?;
        let later = self.of("finished", &spec.class).filter_map(|o| o.within_s).filter(|a| *a > first);
        let mut all: Vec<f64> = later.chain([first]).collect();
        all.sort_by(f64::total_cmp);
        all.iter().find(|a| **a - age_s >= needs_s).or(all.last()).copied()
    }

    /// Notes a job that is done, this long after its submission.
    pub fn note_end(&mut self, spec: &JobSpec, took_s: f64) {
        for (o, met) in self.list.iter().zip(&mut self.met) {
            let within = match o.kind.as_str() {
                "finished" => o.within_s,
                "deadline" => spec.deadline_s.map(|d| d * o.times.unwrap_or(1.0)),
                _ => None,
            };
            if let Some(w) = within
                && o.class.as_deref() == Some(&spec.class)
            {
                let hit = if took_s <= w { 1.0 } else { 0.0 };
                let memory = MISSES / (1.0 - o.share.unwrap_or(0.0)).max(0.01);
                *met += (hit - *met) / memory;
            }
        }
    }

    /// Whether some aim is missed of late: machines are worth keeping then.
    pub fn behind(&self) -> bool {
        self.list.iter().zip(&self.met).any(|(o, met)| o.share.is_some_and(|s| *met < s))
    }
}

#[cfg(test)]
mod tests;
