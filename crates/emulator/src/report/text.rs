//! Reports and verdicts as lines of text.

use super::{Class, Latency, Report};
use crate::checker::Verdict;
use std::collections::{BTreeMap, BTreeSet};

/// Seconds with as many digits as they deserve.
pub(super) fn seconds(ms: f64) -> String {
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
        let l = |l: &Latency| format!("{}/{}/{}", seconds(l.p50_ms), seconds(l.p99_ms), seconds(l.max_ms));
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
    let names: BTreeSet<&String> = a.classes.keys().chain(b.classes.keys()).collect();
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
