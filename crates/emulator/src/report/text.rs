//! Writes reports, verdicts and comparisons of reports as text.

use super::{Class, Latency, Report};
use crate::checker::Verdict;
use std::collections::{BTreeMap, BTreeSet};

/// Most violations that a verdict lists one by one.
const MAX_VIOLATIONS: usize = 20;

/// Formats milliseconds as seconds: two decimals below 10 s, one from there on.
pub(super) fn seconds(ms: f64) -> String {
    if ms < 10_000.0 { format!("{:.2}", ms / 1000.0) } else { format!("{:.1}", ms / 1000.0) }
}

/// Writes a report as lines of text.
pub fn text(report: &Report) -> String {
    let verdict = &report.verdict;
    let mut out = format!(
        "{} seed {}: {:.0} s, {} jobs submitted, {} accepted, {} told done, {} withdrawn\n",
        report.scenario,
        report.seed,
        report.seconds,
        verdict.submitted,
        verdict.accepted,
        verdict.confirmed_done,
        verdict.confirmed_cancelled
    );
    out += &format!(
        "tasks: {} starts, {} done ({:.1} a second), {} done again after they were done; stops {:?}\n",
        verdict.starts, verdict.tasks_done, report.tasks_done_per_s, verdict.done_again, report.stops
    );
    for (name, class) in &report.classes {
        let latency = |l: &Latency| format!("{}/{}/{}", seconds(l.p50_ms), seconds(l.p99_ms), seconds(l.max_ms));
        out += &format!(
            "{name}: {} jobs, {} tasks; p50/p99/max s: accepted {}, tasks started {}, done {}\n",
            class.jobs,
            class.tasks,
            latency(&class.accept),
            latency(&class.start),
            latency(&class.done)
        );
    }
    for (name, usage) in &report.controllers {
        out += &format!(
            "{name}: {:.1} MB at most, {:.3} of a core, started {} times\n",
            usage.peak_mb, usage.cpu, usage.starts
        );
    }
    let peak = report.curve.iter().map(|p| p.changes_per_s).fold(0.0, f64::max);
    out += &format!("state service: {peak:.0} changes in its busiest second; answers to users {:?}\n", report.answers);
    if !verdict.lost_writes.is_empty() {
        out += &format!("writes lost on purpose, by kind of record: {:?}\n", verdict.lost_writes);
    }
    for start in &report.cold_starts {
        out += &format!(
            "start of all controllers at {:.1} s after {:.1} s: first answer after {:.1} s; in 30 s {} machines returned, {} came up, {} tasks started, {} lapsed, {:.0} changes in the busiest second\n",
            start.at_s,
            start.down_s,
            start.first_answer_s.unwrap_or(f64::INFINITY),
            start.machines_released,
            start.machines_up,
            start.task_starts,
            start.tasks_lapsed,
            start.peak_changes_per_s
        );
    }
    for (group, jobs) in &verdict.served {
        out += &format!(
            "{group}: {} jobs, {} accepted, {} started, {} served, {} of {} in time\n",
            jobs.submitted, jobs.accepted, jobs.started, jobs.served, jobs.in_time, jobs.with_deadline
        );
    }
    let names: Vec<&str> = report.faults.iter().filter(|(_, _, on)| *on).map(|(_, name, _)| name.as_str()).collect();
    out += &format!("faults: {}\n", if names.is_empty() { "none".to_string() } else { names.join(", ") });
    out + &verdict_text(verdict)
}

/// Writes a verdict as lines of text, with at most `MAX_VIOLATIONS` violations.
pub fn verdict_text(verdict: &Verdict) -> String {
    if verdict.passed() {
        let settled =
            if verdict.settled { "every accepted job got one final answer" } else { "the history was cut short" };
        return format!("verdict: no rule broken; {settled}\n");
    }
    let mut by_rule: BTreeMap<String, u64> = BTreeMap::new();
    verdict.violations.iter().for_each(|violation| *by_rule.entry(format!("{:?}", violation.rule)).or_default() += 1);
    let mut out = format!("verdict: RULES BROKEN: {by_rule:?}\n");
    for violation in verdict.violations.iter().take(MAX_VIOLATIONS) {
        out += &format!("  {:.2} s {:?}: {}\n", violation.at_s, violation.rule, violation.description);
    }
    out
}

/// Writes the figures of two reports side by side, with their differences.
pub fn compare(a: &Report, b: &Report) -> String {
    let mut rows: Vec<(String, f64, f64)> = vec![
        ("accepted jobs".into(), a.verdict.accepted as f64, b.verdict.accepted as f64),
        ("rules broken".into(), a.verdict.violations.len() as f64, b.verdict.violations.len() as f64),
        ("tasks done a second".into(), a.tasks_done_per_s, b.tasks_done_per_s),
        ("money spent".into(), a.spent, b.spent),
    ];
    let none = Class::default();
    let names: BTreeSet<&String> = a.classes.keys().chain(b.classes.keys()).collect();
    for name in names {
        let (class_a, class_b) = (a.classes.get(name).unwrap_or(&none), b.classes.get(name).unwrap_or(&none));
        for (what, latency) in [
            ("accepted", (|class| &class.accept) as fn(&Class) -> &Latency),
            ("tasks started", |class| &class.start),
            ("done", |class| &class.done),
        ] {
            rows.push((
                format!("{name}: {what} p50 s"),
                latency(class_a).p50_ms / 1000.0,
                latency(class_b).p50_ms / 1000.0,
            ));
            rows.push((
                format!("{name}: {what} p99 s"),
                latency(class_a).p99_ms / 1000.0,
                latency(class_b).p99_ms / 1000.0,
            ));
        }
    }
    let mut out = format!("{:<44} {:>12} {:>12} {:>12}\n", "", "A", "B", "B - A");
    for (name, value_a, value_b) in rows {
        out += &format!("{name:<44} {value_a:>12.3} {value_b:>12.3} {:>12.3}\n", value_b - value_a);
    }
    out
}
