//! Service levels by job class, by team and of the largest jobs of each class: the jobs
//! that ended since this process started, and of the live jobs how much of them runs and
//! how long those wait that have not started.
//!
//! Shares by class do not show whose jobs they are: a team, or all large jobs, may get no
//! resources while each class as a whole does well.

use super::Job;
use crate::protocol::user::{JobKind, JobSpec};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// A class or team with a share below this counts as hardly served.
pub const HARDLY_SERVED_SHARE: f64 = 0.5;
/// The least number of jobs for which a share is reported.
const FEWEST_JOBS: u32 = 8;
/// The quantile of a class above which its jobs count as the largest.
const LARGEST_QUANTILE: f64 = 0.9;
const MEDIAN: f64 = 0.5;
/// The precision of the size histograms.
const SIGNIFICANT_DIGITS: u8 = 2;

/// A class, a team, or the largest jobs of a class.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobGroup {
    Class(String),
    Team(String),
    Largest(String),
}

/// The sizes of the jobs of a class in thousandths: number of tasks, cores and memory.
#[derive(Debug, Clone)]
struct JobSizes([Histogram<u64>; 3]);

impl JobSizes {
    fn new() -> JobSizes {
        let new_histogram = || Histogram::new(SIGNIFICANT_DIGITS).expect("at most five digits are allowed");
        JobSizes([(); 3].map(|()| new_histogram()))
    }

    fn of(spec: &JobSpec) -> [u64; 3] {
        let total = |each: f64| (each * f64::from(spec.task_count) * 1000.0) as u64;
        [total(1.0), total(spec.cores), total(spec.mem_gb)]
    }

    fn record(&mut self, spec: &JobSpec) {
        for (histogram, size) in self.0.iter_mut().zip(JobSizes::of(spec)) {
            histogram.record(size).expect("the histogram resizes itself");
        }
    }

    /// Whether the job is among the largest of its class by tasks, cores or memory. Where
    /// all jobs have about the same size none is.
    fn is_large(&self, spec: &JobSpec) -> bool {
        self.0.iter().zip(JobSizes::of(spec)).any(|(histogram, size)| {
            let bound = histogram.value_at_quantile(LARGEST_QUANTILE);
            size >= histogram.lowest_equivalent(bound) && bound > histogram.value_at_quantile(MEDIAN)
        })
    }
}

/// The service level of a group of jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceTally {
    /// Jobs with an objective that ended or missed it; each counts once.
    pub judged: u32,
    /// Those of them that met it.
    pub in_time: u32,
    /// Live jobs.
    pub live: u32,
    /// Those of them without any started task.
    pub untouched: u32,
    /// How long the oldest of these has waited, in seconds.
    pub waits_s: u64,
    /// The replicas of live services.
    pub replicas: u32,
    /// Those of them that are placed.
    pub placed: u32,
}

impl ServiceTally {
    /// The least of the shares that at least `FEWEST_JOBS` jobs or replicas contribute to.
    pub fn least_share(&self) -> Option<f64> {
        let shares = [
            share(self.in_time, self.judged),
            share(self.live - self.untouched.min(self.live), self.live),
            share(self.placed.min(self.replicas), self.replicas),
        ];
        shares.into_iter().flatten().reduce(f64::min)
    }
}

fn share(part: u32, all: u32) -> Option<f64> {
    (all >= FEWEST_JOBS).then(|| f64::from(part) / f64::from(all))
}

/// Jobs with an objective that ended or missed it.
#[derive(Debug, Clone, Copy, Default)]
struct EndedCount {
    judged: u32,
    in_time: u32,
}

/// The jobs that ended since this process started.
#[derive(Debug, Default)]
pub struct Served {
    ended: BTreeMap<JobGroup, EndedCount>,
    /// By class.
    sizes: BTreeMap<String, JobSizes>,
}

impl Served {
    /// The groups that a job belongs to.
    fn groups(sizes: &BTreeMap<String, JobSizes>, spec: &JobSpec) -> Vec<JobGroup> {
        let mut groups = vec![JobGroup::Class(spec.class.clone()), JobGroup::Team(spec.team.clone())];
        if sizes.get(&spec.class).is_some_and(|class_sizes| class_sizes.is_large(spec)) {
            groups.push(JobGroup::Largest(spec.class.clone()));
        }
        groups
    }

    /// Records a job with an objective that has ended or has missed it.
    pub fn note(&mut self, spec: &JobSpec, in_time: bool) {
        self.sizes.entry(spec.class.clone()).or_insert_with(JobSizes::new).record(spec);
        for group in Served::groups(&self.sizes, spec) {
            let count = self.ended.entry(group).or_default();
            count.judged += 1;
            count.in_time += u32::from(in_time);
        }
    }

    /// The service levels of all groups, from the jobs that ended and the live `jobs`, at
    /// `now_ms` milliseconds since the Unix epoch.
    pub fn tallies<'a>(&self, jobs: impl Iterator<Item = &'a Job>, now_ms: u64) -> BTreeMap<JobGroup, ServiceTally> {
        let mut tallies: BTreeMap<JobGroup, ServiceTally> = BTreeMap::new();
        for (group, EndedCount { judged, in_time }) in &self.ended {
            let counts = ServiceTally { judged: *judged, in_time: *in_time, ..ServiceTally::default() };
            tallies.insert(group.clone(), counts);
        }
        let live: Vec<&Job> = jobs.filter(|job| !job.cancelled()).collect();
        let mut sizes = self.sizes.clone();
        for job in &live {
            sizes.entry(job.spec.class.clone()).or_insert_with(JobSizes::new).record(&job.spec);
        }
        for job in live {
            for group in Served::groups(&sizes, &job.spec) {
                add_live_job(tallies.entry(group).or_default(), job, now_ms);
            }
        }
        tallies
    }
}

fn add_live_job(counts: &mut ServiceTally, job: &Job, now_ms: u64) {
    counts.live += 1;
    if job.placed == 0 && job.done == 0 {
        let age_s = now_ms.saturating_sub(job.rec.rec.at_ms) / 1000;
        counts.untouched += 1;
        counts.waits_s = counts.waits_s.max(age_s);
    }
    if job.spec.kind == JobKind::Service {
        counts.replicas += job.spec.task_count;
        counts.placed += job.placed;
    }
}

#[cfg(test)]
mod tests;
