//! Judges a history and nothing else: every published rule, and that each
//! accepted job got exactly one final answer. Times in seconds of the history.

use crate::history::{Asked, Event, Facts, Line};
use finchquay_protocol::user::{JobKind, JobSpec, Status};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// A poll that fails for so long while others are answered is forgotten.
const POLL_FAILS_S: f64 = 90.0;
/// What the recording of a stop may lag behind.
const SLACK_S: f64 = 0.5;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    RanTwice,
    Quota,
    WrongPlace,
    RanCancelled,
    Forgotten,
    Invented,
    NotDone,
    WentBack,
    NothingRan,
    /// An accepted job that came to no end in the time it had.
    NoFinalAnswer,
    /// Less than half of what a class or a team submitted was served.
    Unserved,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    pub t: f64,
    pub rule: Rule,
    pub what: String,
}

/// What became of the jobs of one class or team.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Served {
    pub submitted: u64,
    pub accepted: u64,
    /// At least one task of it started.
    pub started: u64,
    /// Told done, cancelled in its course, or a service that started.
    pub served: u64,
    /// Done within its deadline, of those that have one.
    pub in_time: u64,
    pub with_deadline: u64,
}

/// What the checker found, and what it counted on the way.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    pub violations: Vec<Violation>,
    pub submitted: u64,
    pub accepted: u64,
    /// Accepted jobs that are not services.
    pub finite: u64,
    #[serde(rename = "told_done")]
    pub confirmed_done: u64,
    #[serde(rename = "told_withdrawn")]
    pub confirmed_cancelled: u64,
    pub starts: u64,
    pub tasks_done: u64,
    /// Completions of tasks that had completed before: work done twice, one
    /// after the other, which no rule forbids.
    pub done_again: u64,
    /// Writes that the state service lost, by kind of record.
    pub lost: BTreeMap<String, u64>,
    /// By class and by team, `class portal` and `team intake`.
    pub served: BTreeMap<String, Served>,
    pub settled: bool,
}

impl Verdict {
    pub fn holds(&self) -> bool {
        self.violations.is_empty()
    }
}

#[derive(Debug, Default)]
struct Job {
    spec: Option<JobSpec>,
    submitted: f64,
    started: bool,
    accepted: Option<f64>,
    cancel_asked: bool,
    reported_end: Option<(Status, f64)>,
    done: BTreeSet<u32>,
    /// Where its tasks are: index to machines.
    on: BTreeMap<u32, BTreeSet<String>>,
    /// Since when every poll failed.
    unheard: Option<f64>,
}

struct Machine {
    machine_type: String,
    zone: String,
    spot: bool,
}

#[derive(Default)]
struct Checker {
    facts: Facts,
    jobs: HashMap<String, Job>,
    machines: HashMap<String, Machine>,
    /// CPUs and GPUs in use by team.
    used: BTreeMap<String, (f64, f64)>,
    /// Polls of late: when, of which job, whether they were answered.
    polls: VecDeque<(f64, String, bool)>,
    verdict: Verdict,
}

/// Judges a whole history.
pub fn check(lines: &[Line]) -> Verdict {
    let mut c = Checker::default();
    for line in lines {
        c.line(line);
    }
    if c.verdict.starts == 0 {
        c.break_rule(lines.last().map_or(0.0, |l| l.t), Rule::NothingRan, "no task was started".into());
    }
    c.verdict
}

impl Checker {
    fn break_rule(&mut self, t: f64, rule: Rule, what: String) {
        self.verdict.violations.push(Violation { t, rule, what });
    }

    fn line(&mut self, line: &Line) {
        let t = line.t;
        match &line.event {
            Event::Began { facts, .. } => self.facts = facts.clone(),
            Event::Job { spec } => {
                self.verdict.submitted += 1;
                let job = self.jobs.entry(spec.uid.clone()).or_default();
                (job.spec, job.submitted) = (Some(spec.clone()), t);
            }
            Event::Call { asked, uid, began_s, status, state, .. } => {
                self.call(t, *asked, uid, *began_s, *status, *state);
            }
            Event::MachineUp { machine, machine_type, zone, spot } => {
                let m = Machine { machine_type: machine_type.clone(), zone: zone.clone(), spot: *spot };
                self.machines.insert(machine.clone(), m);
            }
            Event::Start { machine, job, index, .. } => self.start(t, machine, job, *index),
            Event::Stop { machine, job, index, cause, .. } => self.stop(t, machine, job, *index, cause),
            Event::Store { what, keys } if what == "lost" || what == "tail" => {
                for key in keys {
                    *self.verdict.lost.entry(kind(key)).or_default() += 1;
                }
            }
            Event::Over { settled } => self.over(t, *settled),
            Event::MachineGone { .. }
            | Event::Controller { .. }
            | Event::Fault { .. }
            | Event::Store { .. }
            | Event::Sample { .. } => {}
        }
    }

    fn call(&mut self, t: f64, asked: Asked, uid: &str, began: f64, status: Option<u16>, state: Option<Status>) {
        if asked == Asked::Poll {
            self.poll_answered(t, uid, matches!(status, Some(200 | 404)));
        }
        let known = self.jobs.get(uid).is_some_and(|j| j.spec.is_some());
        if !known {
            if status == Some(200) {
                self.break_rule(t, Rule::Invented, format!("{uid}: nobody submitted it, and it got 200"));
            }
            return;
        }
        let job = self.jobs.entry(uid.to_string()).or_default();
        let before = job.accepted.is_some_and(|a| a <= began);
        let reported_end = job.reported_end.filter(|(_, at)| *at <= began);
        if asked == Asked::Cancel {
            job.cancel_asked = true;
        }
        match (asked, status) {
            (Asked::Submit, Some(200 | 201)) if job.accepted.is_none() => {
                job.accepted = Some(t);
                self.verdict.accepted += 1;
                let standing = job.spec.as_ref().is_some_and(|s| s.kind == JobKind::Service);
                self.verdict.finite += u64::from(!standing);
            }
            (Asked::Submit, Some(s @ (400 | 422))) if before => {
                self.break_rule(t, Rule::Forgotten, format!("{uid}: accepted, and submitted again it got {s}"));
            }
            (Asked::Poll | Asked::Cancel, Some(404)) if before => {
                self.break_rule(t, Rule::Forgotten, format!("{uid}: accepted, and got 404"));
            }
            _ => {}
        }
        let Some(state) = state.filter(|_| matches!(status, Some(200 | 201))) else { return };
        self.state(t, uid, state, reported_end);
    }

    /// A state that was told to a user; `reported_end` is the end told before it asked.
    fn state(&mut self, t: f64, uid: &str, state: Status, reported_end: Option<(Status, f64)>) {
        let job = self.jobs.entry(uid.to_string()).or_default();
        if let Some((end, at)) = reported_end
            && end != state
        {
            let what = format!("{uid}: told {end:?} at {at:.2} s, then {state:?}");
            return self.break_rule(t, Rule::WentBack, what);
        }
        if !matches!(state, Status::Done | Status::Cancelled) {
            return;
        }
        let first = job.reported_end.is_none();
        let other = job.reported_end.filter(|(s, _)| *s != state);
        job.reported_end.get_or_insert((state, t));
        let (asked, finished) = (job.cancel_asked, job.done.len());
        let spec = job.spec.as_ref();
        let tasks = spec.map_or(0, |s| s.task_count as usize);
        if let Some((end, at)) = other {
            let what = format!("{uid}: told {end:?} at {at:.2} s and {state:?} too");
            self.break_rule(t, Rule::WentBack, what);
        }
        if !first {
            return;
        }
        match state {
            Status::Done => {
                self.verdict.confirmed_done += 1;
                if finished < tasks {
                    let what = format!("{uid}: told done with {finished} of {tasks} tasks done");
                    self.break_rule(t, Rule::NotDone, what);
                }
            }
            _ => {
                self.verdict.confirmed_cancelled += 1;
                if !asked {
                    let what = format!("{uid}: told withdrawn, which its user did not ask for");
                    self.break_rule(t, Rule::WentBack, what);
                }
            }
        }
    }

    /// Tells an accepted job that nobody answers for from a service that
    /// answers nobody.
    fn poll_answered(&mut self, t: f64, uid: &str, answered: bool) {
        while self.polls.pop_front_if(|(at, ..)| *at <= t - POLL_FAILS_S).is_some() {}
        self.polls.push_back((t, uid.to_string(), answered));
        let Some(job) = self.jobs.get_mut(uid).filter(|j| j.accepted.is_some()) else { return };
        if answered {
            job.unheard = None;
            return;
        }
        let since = *job.unheard.get_or_insert(t);
        if t - since < POLL_FAILS_S {
            return;
        }
        let others = || self.polls.iter().filter(|(_, u, _)| u != uid);
        if others().filter(|(.., a)| *a).count() * 2 > others().count() {
            job.unheard = None;
            self.break_rule(t, Rule::Forgotten, format!("{uid}: every poll failed since {since:.1} s"));
        }
    }

    fn start(&mut self, t: f64, machine: &str, uid: &str, index: u32) {
        self.verdict.starts += 1;
        let job = self.jobs.entry(uid.to_string()).or_default();
        let spec = job.spec.clone();
        let elsewhere = job.on.get(&index).and_then(|m| m.iter().find(|m| *m != machine)).cloned();
        let late = job.reported_end.filter(|(s, at)| *s == Status::Cancelled && t > at + self.facts.cancel_s + SLACK_S);
        job.on.entry(index).or_default().insert(machine.to_string());
        job.started = true;
        let others: Vec<String> =
            job.on.iter().filter(|(i, _)| **i != index).flat_map(|(_, m)| m.iter().cloned()).collect();
        if let Some(other) = elsewhere {
            self.break_rule(t, Rule::RanTwice, format!("{uid}/{index}: starts on {machine} while it is on {other}"));
        }
        if let Some((_, at)) = late {
            let what = format!("{uid}/{index}: starts on {machine}, told withdrawn at {at:.2} s");
            self.break_rule(t, Rule::RanCancelled, what);
        }
        let Some(spec) = spec else {
            let what = format!("{uid}/{index}: starts on {machine} and nobody submitted it");
            return self.break_rule(t, Rule::WrongPlace, what);
        };
        if let Some(what) = self.misplaced(&spec, machine, &others) {
            self.break_rule(t, Rule::WrongPlace, format!("{uid}/{index}: {what}"));
        }
        let used = self.used.entry(spec.team.clone()).or_default();
        *used = (used.0 + spec.cores, used.1 + spec.gpus);
        let (cpus, gpus) = *used;
        let (cpus_max, gpus_max) = self.facts.limits.get(&spec.team).copied().unwrap_or_default();
        let over = |used: f64, most: f64| most > 0.0 && used > most + 1e-6;
        if over(cpus, cpus_max) || over(gpus, gpus_max) {
            let what = format!("{}: uses {cpus} CPUs and {gpus} GPUs of {cpus_max} and {gpus_max}", spec.team);
            self.break_rule(t, Rule::Quota, what);
        }
    }

    /// Why a task may not start on a machine, given the job's other tasks.
    fn misplaced(&self, spec: &JobSpec, machine: &str, others: &[String]) -> Option<String> {
        let Some(m) = self.machines.get(machine) else { return Some(format!("{machine} is not known")) };
        if spec.machine_types.as_ref().is_some_and(|b| !b.contains(&m.machine_type)) {
            return Some(format!("{machine} is of type {}", m.machine_type));
        }
        if spec.zone.as_ref().is_some_and(|s| *s != m.zone) {
            return Some(format!("{machine} is in zone {}", m.zone));
        }
        if m.spot && !spec.spot_allowed {
            return Some(format!("{machine} is a spot machine"));
        }
        let zones: Vec<&str> = others.iter().filter_map(|o| self.machines.get(o)).map(|m| m.zone.as_str()).collect();
        if spec.zone_affinity && zones.iter().any(|s| *s != m.zone) {
            return Some(format!("{machine} is in zone {}, others are elsewhere", m.zone));
        }
        let here = zones.iter().filter(|s| **s == m.zone).count() as u32 + 1;
        if spec.zone_anti_affinity && here > spec.task_count.div_ceil(2) {
            return Some(format!("{here} of {} tasks are in zone {}", spec.task_count, m.zone));
        }
        None
    }

    fn stop(&mut self, t: f64, machine: &str, uid: &str, index: u32, cause: &str) {
        let job = self.jobs.entry(uid.to_string()).or_default();
        let was_on = job.on.get_mut(&index).is_some_and(|m| m.remove(machine));
        job.on.retain(|_, m| !m.is_empty());
        if cause == "done" {
            let new = job.done.insert(index);
            self.verdict.tasks_done += u64::from(new);
            self.verdict.done_again += u64::from(!new);
        }
        let late = job.reported_end.filter(|(s, at)| *s == Status::Cancelled && t > at + self.facts.cancel_s + SLACK_S);
        if let (Some(spec), true) = (job.spec.as_ref(), was_on) {
            let used = self.used.entry(spec.team.clone()).or_default();
            *used = (used.0 - spec.cores, used.1 - spec.gpus);
        }
        if let Some((_, at)) = late {
            let what = format!("{uid}/{index}: still on {machine}, told withdrawn at {at:.2} s");
            self.break_rule(t, Rule::RanCancelled, what);
        }
    }

    fn over(&mut self, t: f64, settled: bool) {
        self.verdict.settled = settled;
        self.count_served();
        let mut found = Vec::new();
        for (who, s) in self.verdict.served.iter().filter(|(_, s)| settled && s.served * 2 < s.submitted) {
            found.push((Rule::Unserved, format!("{who}: {} of {} jobs served", s.served, s.submitted)));
        }
        for (uid, job) in &self.jobs {
            let Some(spec) = job.spec.as_ref().filter(|_| job.accepted.is_some()) else { continue };
            if let Some((Status::Cancelled, at)) = job.reported_end
                && !job.on.is_empty()
                && t > at + self.facts.cancel_s + SLACK_S
            {
                found.push((Rule::RanCancelled, format!("{uid}: tasks are still on machines at the end")));
            }
            let finite = spec.kind != JobKind::Service || job.cancel_asked;
            if settled && finite && job.reported_end.is_none() {
                let what =
                    format!("{uid}: accepted, {} of {} tasks done, no end told", job.done.len(), spec.task_count);
                found.push((Rule::NoFinalAnswer, what));
            }
        }
        found.sort_by(|a, b| a.1.cmp(&b.1));
        for (rule, what) in found {
            self.break_rule(t, rule, what);
        }
    }
}

impl Checker {
    fn count_served(&mut self) {
        for job in self.jobs.values() {
            let Some(spec) = &job.spec else { continue };
            let done = job.reported_end.filter(|(s, _)| *s == Status::Done);
            let standing = spec.kind == JobKind::Service && job.started;
            for who in [format!("class {}", spec.class), format!("team {}", spec.team)] {
                let s = self.verdict.served.entry(who).or_default();
                s.submitted += 1;
                s.accepted += u64::from(job.accepted.is_some());
                s.started += u64::from(job.started);
                s.served += u64::from(job.reported_end.is_some() || standing);
                s.with_deadline += u64::from(spec.deadline_s.is_some());
                let in_time = spec.deadline_s.zip(done).is_some_and(|(due, (_, at))| at - job.submitted <= due);
                s.in_time += u64::from(in_time);
            }
        }
    }
}

/// Kind of record that a key of the service holds: its first two parts.
fn kind(key: &str) -> String {
    let parts: Vec<&str> = key.split('/').take(2).collect();
    parts.join("/")
}

#[cfg(test)]
mod tests;
