//! Service levels by job class, by team, and of the largest jobs of each class. They count the
//! jobs that ended since this process started; of the live jobs, they show how many have
//! started and how long the others have waited.
//!
//! Shares by class alone are not enough: a team, or all large jobs, may get no resources while
//! each class as a whole is served well.

#![warn(missing_docs)]

use super::Job;
use crate::protocol::user::{JobKind, JobSpec};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// A group of jobs with a share below this counts as hardly served.
pub const HARDLY_SERVED_SHARE: f64 = 0.5;
/// The minimum number of jobs or replicas for which a share is reported.
const MIN_JOBS_FOR_SHARE: u32 = 8;
/// The quantile of the sizes in a class above which jobs count as its largest ones.
const LARGEST_QUANTILE: f64 = 0.9;
/// The quantile with which `LARGEST_QUANTILE` is compared, to tell whether sizes differ at all.
const MEDIAN: f64 = 0.5;
/// The precision of the size histograms, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;

/// A group of jobs for which service levels are reported.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobGroup {
    /// The jobs of a class.
    Class(String),
    /// The jobs of a team.
    Team(String),
    /// The largest jobs of a class.
    Largest(String),
}

/// The class under which jobs count once there are too many classes to tell apart.
const OTHER_CLASSES: &str = "(other classes)";
/// Upper bound of the memory for the sizes of the jobs of one class: three histograms of numbers
/// of up to 64 bits, and a copy of them while the service levels are computed.
const MAX_CLASS_BYTES: usize = 3 * 2 * 64 * 1024;

/// Histograms of the sizes of the jobs of a class: number of tasks, cores and memory, each in
/// thousandths.
#[derive(Debug, Clone)]
struct JobSizes([Histogram<u64>; 3]);

impl JobSizes {
    fn new() -> JobSizes {
        let new_histogram = || Histogram::new(SIGNIFICANT_DIGITS).expect("at most five digits are allowed");
        JobSizes([(); 3].map(|()| new_histogram()))
    }

    /// The size of a job: number of tasks, cores and memory, each in thousandths.
    fn sizes_of(spec: &JobSpec) -> [u64; 3] {
        let total = |per_task: f64| (per_task * f64::from(spec.task_count) * 1000.0) as u64;
        [total(1.0), total(spec.cores), total(spec.mem_gb)]
    }

    /// Adds a job to the histograms.
    fn record(&mut self, spec: &JobSpec) {
        for (histogram, size) in self.0.iter_mut().zip(JobSizes::sizes_of(spec)) {
            histogram.record(size).expect("the histogram resizes itself");
        }
    }

    /// Whether the job is among the largest of its class by tasks, cores or memory. If all jobs
    /// of the class have about the same size, none of them is.
    fn is_large(&self, spec: &JobSpec) -> bool {
        self.0.iter().zip(JobSizes::sizes_of(spec)).any(|(histogram, size)| {
            let threshold = histogram.value_at_quantile(LARGEST_QUANTILE);
            size >= histogram.lowest_equivalent(threshold) && threshold > histogram.value_at_quantile(MEDIAN)
        })
    }
}

/// The counts behind the service level of a group of jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceTally {
    /// The number of jobs with an objective that have ended or have missed it. Each counts once.
    pub judged: u32,
    /// The number of the `judged` jobs that met their objective.
    pub in_time: u32,
    /// The number of live jobs.
    pub live: u32,
    /// The number of live jobs none of whose tasks has started.
    pub not_started: u32,
    /// How long the oldest of the `not_started` jobs has waited, in seconds.
    pub longest_wait_s: u64,
    /// The number of replicas that live services want.
    pub replicas: u32,
    /// The number of replicas of live services that are placed.
    pub placed: u32,
}

impl ServiceTally {
    /// The smallest share of the group: of jobs in time, of live jobs that have started, or of
    /// replicas that are placed. Shares of fewer than `MIN_JOBS_FOR_SHARE` jobs or replicas do
    /// not count; `None` if there is no other.
    pub fn least_share(&self) -> Option<f64> {
        let shares = [
            share(self.in_time, self.judged),
            share(self.live - self.not_started.min(self.live), self.live),
            share(self.placed.min(self.replicas), self.replicas),
        ];
        shares.into_iter().flatten().reduce(f64::min)
    }
}

/// The share of `part` in `total`, unless `total` is too small for a share to be meaningful.
fn share(part: u32, total: u32) -> Option<f64> {
    (total >= MIN_JOBS_FOR_SHARE).then(|| f64::from(part) / f64::from(total))
}

/// The numbers of jobs with an objective that have ended or have missed it, and of those that
/// met it.
#[derive(Debug, Clone, Copy, Default)]
struct EndedCount {
    judged: u32,
    in_time: u32,
}

/// The sizes of jobs by class, for a limited number of classes: users name classes as they like.
#[derive(Debug, Clone)]
struct ClassSizes {
    by_class: BTreeMap<String, JobSizes>,
    /// The number of classes that are told apart. Jobs of further classes count as one class.
    max_classes: usize,
}

impl ClassSizes {
    /// The class under which a job of this class counts.
    fn counted_class<'a>(&self, class: &'a str) -> &'a str {
        let is_counted = self.by_class.contains_key(class) || self.by_class.len() < self.max_classes;
        if is_counted { class } else { OTHER_CLASSES }
    }

    /// Adds a job to the sizes of its class.
    fn record(&mut self, spec: &JobSpec) {
        let class = self.counted_class(&spec.class).to_string();
        self.by_class.entry(class).or_insert_with(JobSizes::new).record(spec);
    }

    /// The groups that a job belongs to.
    fn groups(&self, spec: &JobSpec) -> Vec<JobGroup> {
        let class = self.counted_class(&spec.class);
        let mut groups = vec![JobGroup::Class(class.into()), JobGroup::Team(spec.team.clone())];
        if self.by_class.get(class).is_some_and(|sizes| sizes.is_large(spec)) {
            groups.push(JobGroup::Largest(class.into()));
        }
        groups
    }
}

/// Counts of the jobs that ended since this process started, by group.
#[derive(Debug)]
pub struct ServiceLevelCounts {
    ended: BTreeMap<JobGroup, EndedCount>,
    /// The sizes of these jobs.
    sizes: ClassSizes,
}

impl Default for ServiceLevelCounts {
    /// Counts that tell any number of classes apart.
    fn default() -> ServiceLevelCounts {
        ServiceLevelCounts::with_limit([], usize::MAX)
    }
}

impl ServiceLevelCounts {
    /// Counts in at most `max_bytes` of memory, as far as the `known_classes` allow that: these
    /// are always told apart.
    pub fn with_limit<'a>(known_classes: impl IntoIterator<Item = &'a str>, max_bytes: usize) -> ServiceLevelCounts {
        let known = known_classes.into_iter().map(|class| (class.to_string(), JobSizes::new()));
        let sizes = ClassSizes { by_class: known.collect(), max_classes: max_bytes / MAX_CLASS_BYTES };
        ServiceLevelCounts { ended: BTreeMap::new(), sizes }
    }

    /// Records a job with an objective that has ended or has missed it. The caller records each
    /// job once.
    pub fn record(&mut self, spec: &JobSpec, in_time: bool) {
        self.sizes.record(spec);
        for group in self.sizes.groups(spec) {
            let count = self.ended.entry(group).or_default();
            count.judged += 1;
            count.in_time += u32::from(in_time);
        }
    }

    /// The service levels of all groups, from the jobs that ended and from those of `jobs` that
    /// are live. `now_ms` is the current time in milliseconds since the Unix epoch.
    pub fn tallies<'a>(&self, jobs: impl Iterator<Item = &'a Job>, now_ms: u64) -> BTreeMap<JobGroup, ServiceTally> {
        let mut tallies: BTreeMap<JobGroup, ServiceTally> = BTreeMap::new();
        for (group, EndedCount { judged, in_time }) in &self.ended {
            let counts = ServiceTally { judged: *judged, in_time: *in_time, ..ServiceTally::default() };
            tallies.insert(group.clone(), counts);
        }
        let live: Vec<&Job> = jobs.filter(|job| !job.cancelled()).collect();
        let mut sizes = self.sizes.clone();
        for job in &live {
            sizes.record(&job.spec);
        }
        for job in live {
            for group in sizes.groups(&job.spec) {
                add_live_job(tallies.entry(group).or_default(), job, now_ms);
            }
        }
        tallies
    }
}

/// Adds a live job to the counts of a group.
fn add_live_job(counts: &mut ServiceTally, job: &Job, now_ms: u64) {
    counts.live += 1;
    if job.placed == 0 && job.done == 0 {
        let age_s = now_ms.saturating_sub(job.rec.rec.submitted_ms) / 1000;
        counts.not_started += 1;
        counts.longest_wait_s = counts.longest_wait_s.max(age_s);
    }
    if job.spec.kind == JobKind::Service {
        counts.replicas = counts.replicas.saturating_add(job.spec.task_count);
        counts.placed = counts.placed.saturating_add(job.placed);
    }
}

#[cfg(test)]
mod tests;
