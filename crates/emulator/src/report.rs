//! The report on a history: latencies as percentiles, throughput, outcomes, faults, memory
//! and CPU time of the controllers, and the verdict. The same figures are written as JSON,
//! text and HTML.

mod cold_start;
mod html;
mod text;

pub use cold_start::ColdStart;
pub use html::page;
pub use text::{compare, text, verdict_text};

use crate::checker::{Verdict, check};
use crate::history::{Event, HistoryLine, UserOperation};
use cold_start::cold_starts;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Percentiles of a latency in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Number of measured times.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Longest time.
    pub max_ms: f64,
}

impl Latency {
    fn from_histogram(histogram: &Histogram<u64>) -> Latency {
        let quantile = |q| histogram.value_at_quantile(q) as f64;
        Latency {
            count: histogram.len(),
            p50_ms: quantile(0.5),
            p90_ms: quantile(0.9),
            p99_ms: quantile(0.99),
            max_ms: histogram.max() as f64,
        }
    }
}

/// The jobs of one class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Jobs submitted.
    pub jobs: u64,
    /// Tasks of those jobs.
    pub tasks: u64,
    /// Time from the first attempt to submit a job until it is accepted, retries included.
    pub accept: Latency,
    /// Time from the first attempt to submit a job until the first start of each task.
    pub start: Latency,
    /// Time from the first attempt to submit a job until its user is told that it is done.
    pub done: Latency,
}

/// Resources that one controller used.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ControllerUsage {
    /// Most memory in use, in MB.
    #[serde(rename = "most_mb")]
    pub peak_mb: f64,
    /// Share of one core, averaged over the run.
    pub cpu: f64,
    /// Number of times that the controller was started.
    pub starts: u64,
}

/// One point of the curves over time.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Seconds since the run began.
    pub t: f64,
    /// Machines that are up.
    pub machines_up: u32,
    /// Machines that are rented but not up yet.
    pub machines_booting: u32,
    /// Tasks that are running.
    pub tasks_running: u32,
    /// Changes in the state service per second, since the last point.
    pub changes_per_s: f64,
    /// Requests to the state service per second, since the last point.
    pub requests_per_s: f64,
}

/// The report on one history.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the load and the faults.
    pub seed: u64,
    /// Duration of the run.
    pub seconds: f64,
    /// Figures for each class of jobs.
    pub classes: BTreeMap<String, Class>,
    /// Throughput, over the whole run.
    pub tasks_done_per_s: f64,
    /// Number of tasks that left their machines, by cause.
    pub stops: BTreeMap<String, u64>,
    /// Number of answers to users, by status; `none` counts requests without an answer.
    pub answers: BTreeMap<String, u64>,
    /// Time at which each fault began (`true`) or ended, and its name.
    pub faults: Vec<(f64, String, bool)>,
    /// Starts of the whole control plane.
    #[serde(default)]
    pub cold_starts: Vec<ColdStart>,
    /// Resources that each controller used.
    pub controllers: BTreeMap<String, ControllerUsage>,
    /// Cost of the rented machines.
    pub spent: f64,
    /// Samples of the cluster over time.
    pub curve: Vec<Point>,
    /// Verdict of the checker.
    pub verdict: Verdict,
}

fn histogram() -> Histogram<u64> {
    // Two significant digits, up to one hour in milliseconds.
    Histogram::new_with_bounds(1, 3_600_000, 2).expect("the bounds are valid")
}

/// Latencies of one class of jobs, as in [`Class`].
struct ClassLatencies {
    accept: Histogram<u64>,
    start: Histogram<u64>,
    done: Histogram<u64>,
}

impl ClassLatencies {
    fn new() -> ClassLatencies {
        ClassLatencies { accept: histogram(), start: histogram(), done: histogram() }
    }
}

/// Checks a history and computes its report.
pub fn report(lines: &[HistoryLine]) -> Report {
    report_with_verdict(lines, check(lines))
}

/// Computes the report on a history whose verdict is known; the verdict may also cover
/// earlier histories.
pub fn report_with_verdict(lines: &[HistoryLine], verdict: Verdict) -> Report {
    let mut report = Report { verdict, ..Report::default() };
    // Time of the first attempt to submit each job, and the job's class.
    let mut submitted: HashMap<&str, (f64, &str)> = HashMap::new();
    let mut latencies: BTreeMap<&str, ClassLatencies> = BTreeMap::new();
    let (mut accepted, mut done, mut started) = (HashSet::new(), HashSet::new(), HashSet::new());
    // Time, changes and requests of the last sample.
    let mut last: Option<(f64, u64, u64)> = None;
    // CPU time of each controller's ended processes, and of its current process.
    let mut cpu: BTreeMap<String, (f64, f64)> = BTreeMap::new();
    for line in lines {
        let t = line.at_s;
        report.seconds = t;
        let ms = |since: f64| ((t - since) * 1000.0).max(1.0) as u64;
        match &line.event {
            Event::RunStarted { scenario, seed, .. } => (report.scenario, report.seed) = (scenario.clone(), *seed),
            Event::Job { spec } => {
                submitted.insert(&spec.uid, (t, &spec.class));
                let class = report.classes.entry(spec.class.clone()).or_default();
                class.jobs += 1;
                class.tasks += u64::from(spec.task_count);
            }
            Event::UserRequest { operation, uid, status, state, .. } => {
                let status_name = status.map_or("none".to_string(), |s| s.to_string());
                *report.answers.entry(status_name).or_default() += 1;
                let Some((since, class)) = submitted.get(uid.as_str()) else { continue };
                let latencies = latencies.entry(class).or_insert_with(ClassLatencies::new);
                if *operation == UserOperation::Submit
                    && matches!(status, Some(200 | 201))
                    && accepted.insert(uid.as_str())
                {
                    latencies.accept.saturating_record(ms(*since));
                }
                if *state == Some(finchquay_protocol::user::Status::Done) && done.insert(uid.as_str()) {
                    latencies.done.saturating_record(ms(*since));
                }
            }
            Event::Start { job, index, .. } => {
                if started.insert((job.as_str(), *index))
                    && let Some((since, class)) = submitted.get(job.as_str())
                {
                    latencies.entry(class).or_insert_with(ClassLatencies::new).start.saturating_record(ms(*since));
                }
            }
            Event::Stop { cause, .. } => *report.stops.entry(cause.clone()).or_default() += 1,
            Event::Fault { name, on } => report.faults.push((t, name.clone(), *on)),
            Event::Controller { controller, what } => {
                let usage = report.controllers.entry(controller.clone()).or_default();
                usage.starts += u64::from(what == "started");
                let used = cpu.entry(controller.clone()).or_default();
                *used = (used.0 + used.1, 0.0);
            }
            Event::Sample {
                machines_up,
                machines_booting,
                tasks_running,
                store_changes,
                store_requests,
                spent,
                controllers,
            } => {
                let (since, changes, requests) = last.unwrap_or((t - 1.0, 0, 0));
                let per_s = |now: u64, before: u64| now.saturating_sub(before) as f64 / (t - since).max(0.001);
                report.curve.push(Point {
                    t,
                    machines_up: *machines_up,
                    machines_booting: *machines_booting,
                    tasks_running: *tasks_running,
                    changes_per_s: per_s(*store_changes, changes),
                    requests_per_s: per_s(*store_requests, requests),
                });
                last = Some((t, *store_changes, *store_requests));
                report.spent = *spent;
                for (name, (mb, used)) in controllers {
                    let usage = report.controllers.entry(name.clone()).or_default();
                    usage.peak_mb = usage.peak_mb.max(*mb);
                    cpu.entry(name.clone()).or_default().1 = *used;
                }
            }
            Event::MachineUp { .. } | Event::MachineGone { .. } | Event::StoreFault { .. } | Event::RunEnded { .. } => {
            }
        }
    }
    for (name, latencies) in latencies {
        if let Some(class) = report.classes.get_mut(name) {
            class.accept = Latency::from_histogram(&latencies.accept);
            class.start = Latency::from_histogram(&latencies.start);
            class.done = Latency::from_histogram(&latencies.done);
        }
    }
    for (name, (ended, current)) in cpu {
        report.controllers.entry(name).or_default().cpu = (ended + current) / report.seconds.max(1.0);
    }
    report.cold_starts = cold_starts(lines, &report.curve);
    report.tasks_done_per_s = report.verdict.tasks_done as f64 / report.seconds.max(1.0);
    report
}

#[cfg(test)]
mod tests;
