//! What a history comes to: latencies as percentiles, throughput, outcomes,
//! faults, memory and processor time of the controllers, and the verdict. One
//! set of figures feeds JSON, text and HTML.

use crate::checker::{Verdict, check};
use crate::history::{Asked, Event, Line};
use hdrhistogram::Histogram;
use maud::{DOCTYPE, PreEscaped, html};
use plotters::prelude::*;
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

/// One start of controllers after a time in which none ran.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// When the first of them started.
    pub at_s: f64,
    /// Since the last one ended.
    pub down_s: f64,
    /// Until a user got an answer that was no refusal.
    pub first_answer_s: Option<f64>,
    /// In the 30 s after it: machines that controllers returned, and that came up.
    pub returned: u64,
    pub came_up: u64,
    /// Tasks that started, and those that their leases ended, from the last
    /// controller's end on.
    pub starts: u64,
    pub lapsed: u64,
    /// Changes of the state service in its busiest second of those 30.
    pub most_changes_per_s: f64,
}

/// How long after a start what happens is put down to it.
const AFTER_START_S: f64 = 30.0;

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

/// The starts of all controllers, but for the first.
fn cold_starts(lines: &[Line], curve: &[Point]) -> Vec<ColdStart> {
    let mut running: HashSet<&str> = HashSet::new();
    let (mut ended, mut lapsed) = (None, 0);
    let mut out: Vec<ColdStart> = Vec::new();
    for line in lines {
        let t = line.t;
        match &line.event {
            Event::Controller { controller, what } if what == "started" => {
                if running.is_empty()
                    && let Some(since) = ended.take()
                {
                    out.push(ColdStart { at_s: t, down_s: t - since, lapsed, ..ColdStart::default() });
                }
                running.insert(controller);
            }
            Event::Controller { controller, .. } => {
                running.remove(controller.as_str());
                if running.is_empty() {
                    (ended, lapsed) = (Some(t), 0);
                }
            }
            Event::Stop { cause, .. } if cause == "lapsed" && running.is_empty() => lapsed += 1,
            event => {
                let Some(c) = out.last_mut().filter(|c| t < c.at_s + AFTER_START_S) else { continue };
                match event {
                    Event::Call { status: Some(200 | 201), .. } if c.first_answer_s.is_none() => {
                        c.first_answer_s = Some(t - c.at_s);
                    }
                    Event::MachineGone { why, .. } => c.returned += u64::from(why == "released"),
                    Event::MachineUp { .. } => c.came_up += 1,
                    Event::Start { .. } => c.starts += 1,
                    Event::Stop { cause, .. } => c.lapsed += u64::from(cause == "lapsed"),
                    _ => {}
                }
            }
        }
    }
    for c in &mut out {
        let after = curve.iter().filter(|p| p.t >= c.at_s && p.t < c.at_s + AFTER_START_S);
        c.most_changes_per_s = after.map(|p| p.changes_per_s).fold(0.0, f64::max);
    }
    out
}

/// Seconds with as many digits as they deserve.
fn s(ms: f64) -> String {
    if ms < 10_000.0 { format!("{:.2}", ms / 1000.0) } else { format!("{:.1}", ms / 1000.0) }
}

/// The report as lines of text.
pub fn text(r: &Report) -> String {
    let v = &r.verdict;
    let mut out = format!(
        "{} seed {}: {:.0} s, {} jobs submitted, {} accepted, {} told done, {} withdrawn\n",
        r.scenario, r.seed, r.seconds, v.submitted, v.accepted, v.confirmed_done, v.confirmed_cancelled
    );
    out += &format!(
        "tasks: {} starts, {} done ({:.1} a second), {} done again after they were done; stops {:?}\n",
        v.starts, v.tasks_done, r.tasks_done_per_s, v.done_again, r.stops
    );
    for (name, c) in &r.classes {
        let l = |l: &Latency| format!("{}/{}/{}", s(l.p50_ms), s(l.p99_ms), s(l.max_ms));
        out += &format!(
            "{name}: {} jobs, {} tasks; p50/p99/max s: accepted {}, tasks started {}, done {}\n",
            c.jobs,
            c.tasks,
            l(&c.accept),
            l(&c.start),
            l(&c.done)
        );
    }
    for (name, p) in &r.controllers {
        out += &format!("{name}: {:.1} MB at most, {:.3} of a core, started {} times\n", p.most_mb, p.cpu, p.starts);
    }
    let most = r.curve.iter().map(|p| p.changes_per_s).fold(0.0, f64::max);
    out += &format!("state service: {most:.0} changes in its busiest second; answers to users {:?}\n", r.answers);
    if !v.lost.is_empty() {
        out += &format!("writes lost on purpose, by kind of record: {:?}\n", v.lost);
    }
    for c in &r.cold_starts {
        out += &format!(
            "start of all controllers at {:.1} s after {:.1} s: first answer after {:.1} s; in 30 s {} machines returned, {} came up, {} tasks started, {} lapsed, {:.0} changes in the busiest second\n",
            c.at_s,
            c.down_s,
            c.first_answer_s.unwrap_or(f64::INFINITY),
            c.returned,
            c.came_up,
            c.starts,
            c.lapsed,
            c.most_changes_per_s
        );
    }
    for (who, x) in &v.served {
        out += &format!(
            "{who}: {} jobs, {} accepted, {} started, {} served, {} of {} in time\n",
            x.submitted, x.accepted, x.started, x.served, x.in_time, x.with_deadline
        );
    }
    let names: Vec<&str> = r.faults.iter().filter(|(_, _, on)| *on).map(|(_, n, _)| n.as_str()).collect();
    out += &format!("faults: {}\n", if names.is_empty() { "none".to_string() } else { names.join(", ") });
    out + &verdict_text(v)
}

/// The verdict as lines of text.
pub fn verdict_text(v: &Verdict) -> String {
    if v.holds() {
        let settled = if v.settled { "every accepted job got one final answer" } else { "the history was cut short" };
        return format!("verdict: no rule broken; {settled}\n");
    }
    let mut by_rule: BTreeMap<String, u64> = BTreeMap::new();
    v.violations.iter().for_each(|x| *by_rule.entry(format!("{:?}", x.rule)).or_default() += 1);
    let mut out = format!("verdict: RULES BROKEN: {by_rule:?}\n");
    for x in v.violations.iter().take(20) {
        out += &format!("  {:.2} s {:?}: {}\n", x.t, x.rule, x.what);
    }
    out
}

/// Two reports side by side.
pub fn compare(a: &Report, b: &Report) -> String {
    let mut rows: Vec<(String, f64, f64)> = vec![
        ("accepted jobs".into(), a.verdict.accepted as f64, b.verdict.accepted as f64),
        ("rules broken".into(), a.verdict.violations.len() as f64, b.verdict.violations.len() as f64),
        ("tasks done a second".into(), a.tasks_done_per_s, b.tasks_done_per_s),
        ("money spent".into(), a.spent, b.spent),
    ];
    let none = Class::default();
    let names: std::collections::BTreeSet<&String> = a.classes.keys().chain(b.classes.keys()).collect();
    for name in names {
        let (x, y) = (a.classes.get(name).unwrap_or(&none), b.classes.get(name).unwrap_or(&none));
        for (what, f) in [
            ("accepted", (|c| &c.accept) as fn(&Class) -> &Latency),
            ("tasks started", |c| &c.start),
            ("done", |c| &c.done),
        ] {
            rows.push((format!("{name}: {what} p50 s"), f(x).p50_ms / 1000.0, f(y).p50_ms / 1000.0));
            rows.push((format!("{name}: {what} p99 s"), f(x).p99_ms / 1000.0, f(y).p99_ms / 1000.0));
        }
    }
    let mut out = format!("{:<44} {:>12} {:>12} {:>12}\n", "", "A", "B", "B - A");
    for (name, x, y) in rows {
        out += &format!("{name:<44} {x:>12.3} {y:>12.3} {:>12.3}\n", y - x);
    }
    out
}

/// One curve as an SVG picture.
fn plot(title: &str, curves: &[(&str, Vec<(f64, f64)>)]) -> String {
    let mut svg = String::new();
    let points = || curves.iter().flat_map(|(_, c)| c.iter());
    let end = points().map(|p| p.0).fold(1.0, f64::max);
    let top = points().map(|p| p.1).fold(1.0, f64::max) * 1.05;
    let drawn = || -> Result<(), Box<dyn std::error::Error>> {
        let root = SVGBackend::with_string(&mut svg, (860, 220)).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 15))
            .margin(6)
            .x_label_area_size(24)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..end, 0.0..top)?;
        chart.configure_mesh().light_line_style(WHITE).x_desc("seconds").draw()?;
        for (i, (name, c)) in curves.iter().enumerate() {
            let color = Palette99::pick(i).to_rgba();
            let line = LineSeries::new(c.iter().copied(), color.stroke_width(2));
            chart
                .draw_series(line)?
                .label(*name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], color.stroke_width(2)));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        root.present()?;
        Ok(())
    }();
    if drawn.is_err() { String::new() } else { svg }
}

/// The report as a page that needs nothing else.
pub fn page(r: &Report) -> String {
    let curve = |f: fn(&Point) -> f64| r.curve.iter().map(|p| (p.t, f(p))).collect::<Vec<_>>();
    let machines = plot(
        "machines and tasks",
        &[
            ("machines up", curve(|p| f64::from(p.machines_up))),
            ("booting", curve(|p| f64::from(p.machines_booting))),
            ("tasks running", curve(|p| f64::from(p.tasks_running))),
        ],
    );
    let store = plot(
        "state service, a second",
        &[("changes", curve(|p| p.changes_per_s)), ("requests", curve(|p| p.requests_per_s))],
    );
    let row = |l: &Latency| html! { @for x in [l.p50_ms, l.p90_ms, l.p99_ms, l.max_ms] { td { (s(x)) } } };
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { "Emulator run of " (r.scenario) }
                style { "body{font:15px sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em .7em;text-align:right}th:first-child,td:first-child{text-align:left}pre{white-space:pre-wrap}" }
            }
            body {
                h1 { "Emulator run of " (r.scenario) ", seed " (r.seed) }
                p { "Simulated machines on one host; the controllers are real processes." }
                pre { (text(r)) }
                (PreEscaped(machines))
                (PreEscaped(store))
                h2 { "Times in seconds: p50, p90, p99, longest" }
                table {
                    tr { th { "class" } th { "" } th { "p50" } th { "p90" } th { "p99" } th { "max" } }
                    @for (name, c) in &r.classes {
                        tr { td { (name) } td { "accepted" } (row(&c.accept)) }
                        tr { td { } td { "tasks started" } (row(&c.start)) }
                        tr { td { } td { "done" } (row(&c.done)) }
                    }
                }
                h2 { "Faults" }
                table { @for (t, name, on) in &r.faults {
                    tr { td { (name) } td { (format!("{t:.1} s")) } td { @if *on { "begins" } @else { "ends" } } }
                } }
            }
        }
    };
    page.into_string()
}

#[cfg(test)]
mod tests {
    use super::*;
    use finchquay_protocol::user::{JobSpec, Status};

    fn lines() -> Vec<Line> {
        let call = |asked, status, state| Event::Call {
            asked,
            uid: "run-1".into(),
            controller: "c".into(),
            began_s: 0.0,
            status,
            state,
            done: 0,
        };
        let start = |index| Event::Start { machine: "m".into(), job: "run-1".into(), index, attempt: 1 };
        let stop =
            |index| Event::Stop { machine: "m".into(), job: "run-1".into(), index, attempt: 1, cause: "done".into() };
        let sample = |changes, cpu| Event::Sample {
            machines_up: 1,
            machines_booting: 0,
            tasks_running: 1,
            store_changes: changes,
            store_requests: changes * 2,
            spent: 1.0,
            controllers: BTreeMap::from([("c".to_string(), (5.0, cpu))]),
        };
        let controller = |what: &str| Event::Controller { controller: "c".into(), what: what.into() };
        let up = Event::MachineUp { machine: "m".into(), machine_type: "std".into(), zone: "a".into(), spot: false };
        [
            (0.0, controller("started")),
            (0.5, up),
            (1.0, Event::Job { spec: JobSpec::example("run-1") }),
            (1.5, call(Asked::Submit, None, None)),
            (3.0, call(Asked::Submit, Some(201), Some(Status::Queued))),
            (4.0, start(0)),
            (5.0, sample(10, 1.0)),
            (5.5, controller("killed")),
            (6.0, start(1)),
            (7.0, sample(50, 0.5)),
            (8.0, stop(0)),
            (8.0, stop(1)),
            (9.0, call(Asked::Poll, Some(200), Some(Status::Done))),
            (10.0, Event::Over { settled: true }),
        ]
        .map(|(t, event)| Line { t, event })
        .into()
    }

    #[test]
    fn figures_follow_from_the_history() {
        let r = report(&lines());
        let c = &r.classes["c"];
        assert!((c.accept.max_ms - 2000.0).abs() < 20.0 && (c.done.p50_ms - 8000.0).abs() < 80.0);
        assert_eq!((c.start.count, c.jobs, c.tasks), (2, 1, 2));
        assert_eq!((r.answers["none"], r.stops["done"], r.tasks_done_per_s), (1, 2, 0.2));
        assert!((r.curve[1].changes_per_s - 20.0).abs() < 0.01);
        let p = &r.controllers["c"];
        assert!((p.cpu - 0.15).abs() < 1e-9 && p.starts == 1, "{p:?}");
        assert!(r.verdict.holds());
        let html = page(&r);
        assert!(html.contains("<svg") && html.contains("tasks running"));
        let back: Report = serde_json::from_str(&serde_json::to_string(&r).unwrap()).unwrap();
        assert_eq!(back, r);
        assert!(compare(&r, &r).lines().all(|l| !l.contains("tasks done a second") || l.ends_with("0.000")));
    }
}
