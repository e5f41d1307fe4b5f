//! What became of the jobs of each class, of each team and of the largest jobs of each
//! class, as this process saw it: ends since it started, and from the live jobs of the
//! moment how much of them runs, and how long those wait that have not begun.
//!
//! An operator looks at shares by class; whose work it was shows only by team, and a
//! team, or all large jobs, may be shut out while each class as a whole does well.

use super::Job;
use crate::protocol::user::{JobKind, JobSpec};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Below this share a class or team counts as hardly served.
pub const HALF: f64 = 0.5;
/// Jobs that a share has to rest on before it is told as one.
const ENOUGH: u32 = 8;

/// The largest jobs of a class are those above this part of it.
const LARGEST: f64 = 0.9;

/// A class, a team, or the largest jobs of a class.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Who {
    Class(String),
    Team(String),
    Largest(String),
}

/// How wide the jobs of a class are, and how much they take, in thousandths.
#[derive(Debug, Clone)]
struct Sizes([Histogram<u64>; 3]);

impl Sizes {
    fn new() -> Sizes {
        Sizes([(); 3].map(|()| Histogram::new(2).expect("two digits are few enough")))
    }

    fn of(spec: &JobSpec) -> [u64; 3] {
        let all = |each: f64| (each * f64::from(spec.task_count) * 1000.0) as u64;
        [all(1.0), all(spec.cores), all(spec.mem_gb)]
    }

    fn note(&mut self, spec: &JobSpec) {
        for (h, size) in self.0.iter_mut().zip(Sizes::of(spec)) {
            h.record(size).expect("it grows by itself");
        }
    }

    /// Among the widest of its class, or the greatest by cores or memory. Where all are
    /// alike none is large.
    fn large(&self, spec: &JobSpec) -> bool {
        let above = |(h, size): (&Histogram<u64>, u64)| {
            let bound = h.value_at_quantile(LARGEST);
            size >= h.lowest_equivalent(bound) && bound > h.value_at_quantile(0.5)
        };
        self.0.iter().zip(Sizes::of(spec)).any(above)
    }
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceTally {
    /// Jobs that ended or missed their aim, of those that have an aim; each once.
    pub judged: u32,
    /// Of them, those that were over in time.
    pub in_time: u32,
    /// Live jobs, and those of which no task is placed.
    pub live: u32,
    pub untouched: u32,
    /// How long the oldest of these has waited, in seconds.
    pub waits_s: u64,
    /// Replicas that live services want, and those that are placed.
    pub replicas: u32,
    pub placed: u32,
}

impl ServiceTally {
    /// The least of its shares that rests on enough jobs; none where none does.
    pub fn least_share(&self) -> Option<f64> {
        let share = |part: u32, all: u32| (all >= ENOUGH).then(|| f64::from(part) / f64::from(all));
        let task_ranges = [
            share(self.in_time, self.judged),
            share(self.live - self.untouched.min(self.live), self.live),
            share(self.placed.min(self.replicas), self.replicas),
        ];
        task_ranges.into_iter().flatten().reduce(f64::min)
    }
}

#[derive(Debug, Default)]
pub struct Served {
    ends: BTreeMap<Who, (u32, u32)>,
    /// Of the jobs that ended, by class.
    sizes: BTreeMap<String, Sizes>,
}

impl Served {
    fn who(sizes: &BTreeMap<String, Sizes>, spec: &JobSpec) -> Vec<Who> {
        let mut all = vec![Who::Class(spec.class.clone()), Who::Team(spec.team.clone())];
        if sizes.get(&spec.class).is_some_and(|s| s.large(spec)) {
            all.push(Who::Largest(spec.class.clone()));
        }
        all
    }

    /// A job with an aim is over, or its aim has passed.
    pub fn note(&mut self, spec: &JobSpec, in_time: bool) {
        self.sizes.entry(spec.class.clone()).or_insert_with(Sizes::new).note(spec);
        for who in Served::who(&self.sizes, spec) {
            let (judged, met) = self.ends.entry(who).or_default();
            *judged += 1;
            *met += u32::from(in_time);
        }
    }

    /// The tallies of all that have ended or live.
    pub fn tallies<'a>(&self, jobs: impl Iterator<Item = &'a Job>, now_ms: u64) -> BTreeMap<Who, ServiceTally> {
        let ended = |(who, (judged, in_time)): (&Who, &(u32, u32))| {
            (who.clone(), ServiceTally { judged: *judged, in_time: *in_time, ..ServiceTally::default() })
        };
        let mut out: BTreeMap<Who, ServiceTally> = self.ends.iter().map(ended).collect();
        let live: Vec<&Job> = jobs.filter(|j| !j.cancelled()).collect();
        let mut sizes = self.sizes.clone();
        for j in &live {
            sizes.entry(j.spec.class.clone()).or_insert_with(Sizes::new).note(&j.spec);
        }
        for j in live {
            let untouched = j.placed == 0 && j.done == 0;
            let age_s = now_ms.saturating_sub(j.rec.rec.at_ms) / 1000;
            for who in Served::who(&sizes, &j.spec) {
                let t = out.entry(who).or_default();
                t.live += 1;
                t.untouched += u32::from(untouched);
                t.waits_s = t.waits_s.max(if untouched { age_s } else { 0 });
                if j.spec.kind == JobKind::Service {
                    t.replicas += j.spec.task_count;
                    t.placed += j.placed;
                }
            }
        }
        out
    }
}

#[cfg(test)]
mod tests;
