//! What a history comes to: latencies as percentiles, throughput, outcomes,
//! faults, memory and processor time of the controllers, and the verdict. One
//! set of figures feeds JSON, text and HTML.

mod cold_start;
mod html;
mod text;

pub use cold_start::ColdStart;
pub use html::page;
pub use text::{compare, text, verdict_text};

use crate::checker::{Verdict, check};
use crate::history::{Asked, Event, Line};
use cold_start::cold_starts;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Percentiles of times in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    pub count: u64,
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    pub max_ms: f64,
}

impl Latency {
    fn of(h: &Histogram<u64>) -> Latency {
        let at = |q| h.value_at_quantile(q) as f64;
        Latency { count: h.len(), p50_ms: at(0.5), p90_ms: at(0.9), p99_ms: at(0.99), max_ms: h.max() as f64 }
    }
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Class {
    pub jobs: u64,
    pub tasks: u64,
    /// First attempt to submit until it was accepted, all retries included.
    pub accept: Latency,
    /// First attempt until the first start of each task.
    pub start: Latency,
    /// First attempt until the user was told done.
    pub done: Latency,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Process {
    pub most_mb: f64,
    /// Share of one core, mean over its life.
    pub cpu: f64,
    pub starts: u64,
}

/// One point of the curves.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Point {
    pub t: f64,
    pub machines_up: u32,
    pub machines_booting: u32,
    pub tasks_running: u32,
    pub changes_per_s: f64,
    pub requests_per_s: f64,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub scenario: String,
    pub seed: u64,
    pub seconds: f64,
    pub classes: BTreeMap<String, Class>,
    pub tasks_done_per_s: f64,
    /// Why tasks left their machines.
    pub stops: BTreeMap<String, u64>,
    /// Answers that users got, by status; `none` is no answer.
    pub answers: BTreeMap<String, u64>,
    pub faults: Vec<(f64, String, bool)>,
    #[serde(default)]
    pub cold_starts: Vec<ColdStart>,
    pub controllers: BTreeMap<String, Process>,
    pub spent: f64,
    pub curve: Vec<Point>,
    pub verdict: Verdict,
}

fn histogram() -> Histogram<u64> {
    // Two digits, up to an hour in milliseconds.
    Histogram::new_with_bounds(1, 3_600_000, 2).expect("the bounds are sound")
}

struct Times {
    accept: Histogram<u64>,
    start: Histogram<u64>,
    done: Histogram<u64>,
}

impl Times {
    fn new() -> Times {
        Times { accept: histogram(), start: histogram(), done: histogram() }
    }
}

/// Works out the report of a history.
pub fn report(lines: &[Line]) -> Report {
    judged(lines, check(lines))
}

/// The same, where more than these lines was judged.
pub fn judged(lines: &[Line], verdict: Verdict) -> Report {
    let mut r = Report { verdict, ..Report::default() };
    let mut first: HashMap<&str, (f64, &str)> = HashMap::new();
    let mut times: BTreeMap<&str, Times> = BTreeMap::new();
    let (mut accepted, mut done, mut started) = (HashSet::new(), HashSet::new(), HashSet::new());
    let mut last: Option<(f64, u64, u64)> = None;
    // Processor time of lives that are over, and of the one that runs.
    let mut cpu: BTreeMap<String, (f64, f64)> = BTreeMap::new();
    for line in lines {
        let t = line.t;
        r.seconds = t;
        let ms = |since: f64| ((t - since) * 1000.0).max(1.0) as u64;
        match &line.event {
            Event::Began { scenario, seed, .. } => (r.scenario, r.seed) = (scenario.clone(), *seed),
            Event::Job { spec } => {
                first.insert(&spec.uid, (t, &spec.class));
                let class = r.classes.entry(spec.class.clone()).or_default();
                class.jobs += 1;
                class.tasks += u64::from(spec.task_count);
            }
            Event::Call { asked, uid, status, state, .. } => {
                let name = status.map_or("none".to_string(), |s| s.to_string());
                *r.answers.entry(name).or_default() += 1;
                let Some((since, class)) = first.get(uid.as_str()) else { continue };
                let times = times.entry(class).or_insert_with(Times::new);
                if *asked == Asked::Submit && matches!(status, Some(200 | 201)) && accepted.insert(uid.as_str()) {
                    times.accept.saturating_record(ms(*since));
                }
                if *state == Some(finchquay_protocol::user::Status::Done) && done.insert(uid.as_str()) {
                    times.done.saturating_record(ms(*since));
                }
            }
            Event::Start { job, index, .. } => {
                if started.insert((job.as_str(), *index))
                    && let Some((since, class)) = first.get(job.as_str())
                {
                    times.entry(class).or_insert_with(Times::new).start.saturating_record(ms(*since));
                }
            }
            Event::Stop { cause, .. } => *r.stops.entry(cause.clone()).or_default() += 1,
            Event::Fault { name, on } => r.faults.push((t, name.clone(), *on)),
            Event::Controller { controller, what } => {
                let process = r.controllers.entry(controller.clone()).or_default();
                process.starts += u64::from(what == "started");
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
                let per_s = |now: u64, then: u64| now.saturating_sub(then) as f64 / (t - since).max(0.001);
                r.curve.push(Point {
                    t,
                    machines_up: *machines_up,
                    machines_booting: *machines_booting,
                    tasks_running: *tasks_running,
                    changes_per_s: per_s(*store_changes, changes),
                    requests_per_s: per_s(*store_requests, requests),
                });
                last = Some((t, *store_changes, *store_requests));
                r.spent = *spent;
                for (name, (mb, used)) in controllers {
                    let process = r.controllers.entry(name.clone()).or_default();
                    process.most_mb = process.most_mb.max(*mb);
                    cpu.entry(name.clone()).or_default().1 = *used;
                }
            }
            Event::MachineUp { .. } | Event::MachineGone { .. } | Event::Store { .. } | Event::Over { .. } => {}
        }
    }
    for (class, t) in times {
        if let Some(c) = r.classes.get_mut(class) {
            (c.accept, c.start, c.done) = (Latency::of(&t.accept), Latency::of(&t.start), Latency::of(&t.done));
        }
    }
    for (name, (before, now)) in cpu {
        r.controllers.entry(name).or_default().cpu = (before + now) / r.seconds.max(1.0);
    }
    r.cold_starts = cold_starts(lines, &r.curve);
    r.tasks_done_per_s = r.verdict.tasks_done as f64 / r.seconds.max(1.0);
    r
}

#[cfg(test)]
mod tests;
