//! Checks a history against the published rules, and that every accepted job got exactly
//! one final answer. The history is its only input. All times are seconds of the history.

use crate::history::{ClusterFacts, Event, HistoryLine, UserOperation};
use finchquay_protocol::user::{JobKind, JobSpec, Status};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// A job counts as forgotten when its polls have failed for this long while polls of other
/// jobs were answered.
const FAILED_POLLS_S: f64 = 90.0;
/// Longest delay that is tolerated between the end of a task and its line in the history.
const STOP_RECORDING_DELAY_S: f64 = 0.5;

/// Rules that a history is checked against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A task started on a machine while it was on another one.
    RanTwice,
    /// The running tasks of a team used more than its quota.
    Quota,
    /// A task started on a machine that its job does not allow, or its job was never
    /// submitted.
    WrongPlace,
    /// A task of a cancelled job started or still ran after the time allowed for the
    /// cancellation.
    RanCancelled,
    /// An accepted job was rejected as invalid or unknown, or its polls kept failing while
    /// those of other jobs were answered.
    Forgotten,
    /// A job that nobody submitted was answered with 200.
    Invented,
    /// A job was reported as done before all its tasks were.
    NotDone,
    /// The reported status contradicts a final status that was reported before, or a job
    /// was reported as cancelled without a request of its user.
    WentBack,
    /// No task started in the whole run.
    NothingRan,
    /// An accepted job did not end in the time that it had.
    NoFinalAnswer,
    /// Less than half of the jobs that a class or a team submitted were served.
    Unserved,
}

/// One violation of a rule.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// When the rule was broken, in seconds of the history; `t` in the file.
    #[serde(rename = "t")]
    pub at_s: f64,
    /// Rule that was broken.
    pub rule: Rule,
    /// Description of what happened, for people; `what` in the file.
    #[serde(rename = "what")]
    pub description: String,
}

/// Numbers of jobs of one class or team.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobCounts {
    /// Jobs that were submitted.
    pub submitted: u64,
    /// Jobs that were accepted.
    pub accepted: u64,
    /// Jobs of which at least one task started.
    pub started: u64,
    /// Jobs that were reported as done or cancelled, and services that started.
    pub served: u64,
    /// Jobs with a deadline that were reported as done within it.
    pub in_time: u64,
    /// Jobs that have a deadline.
    pub with_deadline: u64,
}

/// Result of a check: the violations, and figures counted on the way.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Violations, in the order they were found.
    pub violations: Vec<Violation>,
    /// Jobs that were submitted.
    pub submitted: u64,
    /// Jobs that were accepted.
    pub accepted: u64,
    /// Accepted jobs that are not services; `finite` in the file.
    #[serde(rename = "finite")]
    pub accepted_finite: u64,
    /// Jobs that were reported as done; `told_done` in the file.
    #[serde(rename = "told_done")]
    pub confirmed_done: u64,
    /// Jobs that were reported as cancelled; `told_withdrawn` in the file.
    #[serde(rename = "told_withdrawn")]
    pub confirmed_cancelled: u64,
    /// Starts of tasks.
    pub starts: u64,
    /// Tasks that completed.
    pub tasks_done: u64,
    /// Completions of tasks that had completed before. Work done twice, one after the
    /// other, breaks no rule.
    pub done_again: u64,
    /// Writes that the state service lost, by kind of record; `lost` in the file.
    #[serde(rename = "lost")]
    pub lost_writes: BTreeMap<String, u64>,
    /// Counts by class and by team, under keys such as `class portal` and `team intake`.
    pub served: BTreeMap<String, JobCounts>,
    /// Whether the run lasted long enough for every job to end.
    pub settled: bool,
}

impl Verdict {
    /// Whether no rule was broken.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }
}

#[derive(Debug, Default)]
struct Job {
    spec: Option<JobSpec>,
    submitted_at: f64,
    started: bool,
    accepted_at: Option<f64>,
    cancel_requested: bool,
    /// First final status that was reported to a user, and when.
    reported_end: Option<(Status, f64)>,
    /// Tasks that completed, by index.
    done: BTreeSet<u32>,
    /// Machines on which each task is, by its index.
    machines: BTreeMap<u32, BTreeSet<String>>,
    /// Time since which every poll has failed.
    polls_failed_since: Option<f64>,
}

struct Machine {
    machine_type: String,
    zone: String,
    spot: bool,
}

#[derive(Default)]
struct Checker {
    facts: ClusterFacts,
    jobs: HashMap<String, Job>,
    machines: HashMap<String, Machine>,
    /// CPUs and GPUs in use by team.
    used: BTreeMap<String, (f64, f64)>,
    /// Polls of the last [`FAILED_POLLS_S`] seconds, oldest first: time, job id, and whether
    /// the poll was answered.
    recent_polls: VecDeque<(f64, String, bool)>,
    verdict: Verdict,
}

/// Checks a whole history.
pub fn check(lines: &[HistoryLine]) -> Verdict {
    let mut checker = Checker::default();
    for line in lines {
        checker.apply(line);
    }
    if checker.verdict.starts == 0 {
        let end = lines.last().map_or(0.0, |line| line.at_s);
        checker.add_violation(end, Rule::NothingRan, "no task was started".into());
    }
    checker.verdict
}

impl Checker {
    fn add_violation(&mut self, at_s: f64, rule: Rule, description: String) {
        self.verdict.violations.push(Violation { at_s, rule, description });
    }

    fn apply(&mut self, line: &HistoryLine) {
        let t = line.at_s;
        match &line.event {
            Event::RunStarted { facts, .. } => self.facts = facts.clone(),
            Event::Job { spec } => {
                self.verdict.submitted += 1;
                let job = self.jobs.entry(spec.uid.clone()).or_default();
                (job.spec, job.submitted_at) = (Some(spec.clone()), t);
            }
            Event::UserRequest { operation, uid, began_s, status, state, .. } => {
                self.apply_request(t, *operation, uid, *began_s, *status, *state);
            }
            Event::MachineUp { machine, machine_type, zone, spot } => {
                let added = Machine { machine_type: machine_type.clone(), zone: zone.clone(), spot: *spot };
                self.machines.insert(machine.clone(), added);
            }
            Event::Start { machine, job, index, .. } => self.apply_start(t, machine, job, *index),
            Event::Stop { machine, job, index, cause, .. } => self.apply_stop(t, machine, job, *index, cause),
            Event::StoreFault { what, keys } if what == "lost" || what == "tail" => {
                for key in keys {
                    *self.verdict.lost_writes.entry(record_kind(key)).or_default() += 1;
                }
            }
            Event::RunEnded { settled } => self.apply_end(t, *settled),
            Event::MachineGone { .. }
            | Event::Controller { .. }
            | Event::Fault { .. }
            | Event::StoreFault { .. }
            | Event::Sample { .. } => {}
        }
    }

    fn apply_request(
        &mut self,
        t: f64,
        operation: UserOperation,
        uid: &str,
        began: f64,
        http_status: Option<u16>,
        job_status: Option<Status>,
    ) {
        if operation == UserOperation::Poll {
            self.apply_poll(t, uid, matches!(http_status, Some(200 | 404)));
        }
        let known = self.jobs.get(uid).is_some_and(|job| job.spec.is_some());
        if !known {
            if http_status == Some(200) {
                self.add_violation(t, Rule::Invented, format!("{uid}: answered with 200, but nobody submitted it"));
            }
            return;
        }
        let job = self.jobs.entry(uid.to_string()).or_default();
        let accepted_before = job.accepted_at.is_some_and(|at| at <= began);
        let reported_end = job.reported_end.filter(|(_, at)| *at <= began);
        if operation == UserOperation::Cancel {
            job.cancel_requested = true;
        }
        match (operation, http_status) {
            (UserOperation::Submit, Some(200 | 201)) if job.accepted_at.is_none() => {
                job.accepted_at = Some(t);
                self.verdict.accepted += 1;
                let is_service = job.spec.as_ref().is_some_and(|spec| spec.kind == JobKind::Service);
                self.verdict.accepted_finite += u64::from(!is_service);
            }
            (UserOperation::Submit, Some(code @ (400 | 422))) if accepted_before => {
                let description = format!("{uid}: accepted, but a repeated submission got {code}");
                self.add_violation(t, Rule::Forgotten, description);
            }
            (UserOperation::Poll | UserOperation::Cancel, Some(404)) if accepted_before => {
                self.add_violation(t, Rule::Forgotten, format!("{uid}: accepted, but later answered with 404"));
            }
            _ => {}
        }
        let Some(status) = job_status.filter(|_| matches!(http_status, Some(200 | 201))) else { return };
        self.apply_status(t, uid, status, reported_end);
    }

    /// Checks a status that was reported to a user. `reported_end` is the final status
    /// that had been reported before the request was sent: a response that was already
    /// under way may be older.
    fn apply_status(&mut self, t: f64, uid: &str, status: Status, reported_end: Option<(Status, f64)>) {
        let job = self.jobs.entry(uid.to_string()).or_default();
        if let Some((end, at)) = reported_end
            && end != status
        {
            let description = format!("{uid}: reported as {end:?} at {at:.2} s, then as {status:?}");
            return self.add_violation(t, Rule::WentBack, description);
        }
        if !matches!(status, Status::Done | Status::Cancelled) {
            return;
        }
        let first = job.reported_end.is_none();
        let conflicting = job.reported_end.filter(|(end, _)| *end != status);
        job.reported_end.get_or_insert((status, t));
        let (cancel_requested, finished) = (job.cancel_requested, job.done.len());
        let spec = job.spec.as_ref();
        let tasks = spec.map_or(0, |spec| spec.task_count as usize);
        if let Some((end, at)) = conflicting {
            let description = format!("{uid}: reported as {end:?} at {at:.2} s, and also as {status:?}");
            self.add_violation(t, Rule::WentBack, description);
        }
        if !first {
            return;
        }
        match status {
            Status::Done => {
                self.verdict.confirmed_done += 1;
                if finished < tasks {
                    let description = format!("{uid}: reported as done with {finished} of {tasks} tasks done");
                    self.add_violation(t, Rule::NotDone, description);
                }
            }
            _ => {
                self.verdict.confirmed_cancelled += 1;
                if !cancel_requested {
                    let description = format!("{uid}: reported as withdrawn, but its user did not cancel it");
                    self.add_violation(t, Rule::WentBack, description);
                }
            }
        }
    }

    /// Finds an accepted job whose polls keep failing, unless most polls of other jobs
    /// fail too: then the whole service is unavailable.
    fn apply_poll(&mut self, t: f64, uid: &str, answered: bool) {
        while self.recent_polls.pop_front_if(|(at, ..)| *at <= t - FAILED_POLLS_S).is_some() {}
        self.recent_polls.push_back((t, uid.to_string(), answered));
        let Some(job) = self.jobs.get_mut(uid).filter(|job| job.accepted_at.is_some()) else { return };
        if answered {
            job.polls_failed_since = None;
            return;
        }
        let since = *job.polls_failed_since.get_or_insert(t);
        if t - since < FAILED_POLLS_S {
            return;
        }
        let others = || self.recent_polls.iter().filter(|(_, other, _)| other != uid);
        if others().filter(|(.., answered)| *answered).count() * 2 > others().count() {
            job.polls_failed_since = None;
            self.add_violation(t, Rule::Forgotten, format!("{uid}: every poll has failed since {since:.1} s"));
        }
    }

    fn apply_start(&mut self, t: f64, machine: &str, uid: &str, index: u32) {
        self.verdict.starts += 1;
        let job = self.jobs.entry(uid.to_string()).or_default();
        let spec = job.spec.clone();
        let elsewhere = job.machines.get(&index).and_then(|names| names.iter().find(|name| *name != machine)).cloned();
        let overdue = job
            .reported_end
            .filter(|(end, at)| *end == Status::Cancelled && t > at + self.facts.cancel_s + STOP_RECORDING_DELAY_S);
        job.machines.entry(index).or_default().insert(machine.to_string());
        job.started = true;
        let others: Vec<String> =
            job.machines.iter().filter(|(i, _)| **i != index).flat_map(|(_, names)| names.iter().cloned()).collect();
        if let Some(other) = elsewhere {
            self.add_violation(t, Rule::RanTwice, format!("{uid}/{index}: starts on {machine} while it is on {other}"));
        }
        if let Some((_, at)) = overdue {
            let description = format!("{uid}/{index}: starts on {machine}, reported as withdrawn at {at:.2} s");
            self.add_violation(t, Rule::RanCancelled, description);
        }
        let Some(spec) = spec else {
            let description = format!("{uid}/{index}: starts on {machine}, but nobody submitted its job");
            return self.add_violation(t, Rule::WrongPlace, description);
        };
        if let Some(description) = self.placement_error(&spec, machine, &others) {
            self.add_violation(t, Rule::WrongPlace, format!("{uid}/{index}: {description}"));
        }
        let used = self.used.entry(spec.team.clone()).or_default();
        *used = (used.0 + spec.cores, used.1 + spec.gpus);
        let (cpus, gpus) = *used;
        let (cpus_max, gpus_max) = self.facts.limits.get(&spec.team).copied().unwrap_or_default();
        let exceeds = |used: f64, limit: f64| limit > 0.0 && used > limit + 1e-6;
        if exceeds(cpus, cpus_max) || exceeds(gpus, gpus_max) {
            let description =
                format!("{}: uses {cpus} CPUs and {gpus} GPUs, limits are {cpus_max} and {gpus_max}", spec.team);
            self.add_violation(t, Rule::Quota, description);
        }
    }

    /// Why a task may not start on a machine, if so. `others` are the machines of the other
    /// tasks of the job.
    fn placement_error(&self, spec: &JobSpec, name: &str, others: &[String]) -> Option<String> {
        let Some(machine) = self.machines.get(name) else { return Some(format!("{name} is not known")) };
        if spec.machine_types.as_ref().is_some_and(|allowed| !allowed.contains(&machine.machine_type)) {
            return Some(format!("{name} is of type {}", machine.machine_type));
        }
        if spec.zone.as_ref().is_some_and(|zone| *zone != machine.zone) {
            return Some(format!("{name} is in zone {}", machine.zone));
        }
        if machine.spot && !spec.spot_allowed {
            return Some(format!("{name} is a spot machine"));
        }
        let zones: Vec<&str> =
            others.iter().filter_map(|other| self.machines.get(other)).map(|other| other.zone.as_str()).collect();
        if spec.zone_affinity && zones.iter().any(|zone| *zone != machine.zone) {
            return Some(format!("{name} is in zone {}, other tasks are in another zone", machine.zone));
        }
        let in_zone = zones.iter().filter(|zone| **zone == machine.zone).count() as u32 + 1;
        if spec.zone_anti_affinity && in_zone > spec.task_count.div_ceil(2) {
            return Some(format!("{in_zone} of {} tasks are in zone {}", spec.task_count, machine.zone));
        }
        None
    }

    fn apply_stop(&mut self, t: f64, machine: &str, uid: &str, index: u32, cause: &str) {
        let job = self.jobs.entry(uid.to_string()).or_default();
        let was_on_machine = job.machines.get_mut(&index).is_some_and(|names| names.remove(machine));
        job.machines.retain(|_, names| !names.is_empty());
        if cause == "done" {
            let new = job.done.insert(index);
            self.verdict.tasks_done += u64::from(new);
            self.verdict.done_again += u64::from(!new);
        }
        let overdue = job
            .reported_end
            .filter(|(end, at)| *end == Status::Cancelled && t > at + self.facts.cancel_s + STOP_RECORDING_DELAY_S);
        if let (Some(spec), true) = (job.spec.as_ref(), was_on_machine) {
            let used = self.used.entry(spec.team.clone()).or_default();
            *used = (used.0 - spec.cores, used.1 - spec.gpus);
        }
        if let Some((_, at)) = overdue {
            let description = format!("{uid}/{index}: still on {machine}, reported as withdrawn at {at:.2} s");
            self.add_violation(t, Rule::RanCancelled, description);
        }
    }

    /// Checks what can only be known at the end of the run.
    fn apply_end(&mut self, t: f64, settled: bool) {
        self.verdict.settled = settled;
        self.count_served();
        let mut found = Vec::new();
        for (who, counts) in
            self.verdict.served.iter().filter(|(_, counts)| settled && counts.served * 2 < counts.submitted)
        {
            found.push((Rule::Unserved, format!("{who}: {} of {} jobs served", counts.served, counts.submitted)));
        }
        for (uid, job) in &self.jobs {
            let Some(spec) = job.spec.as_ref().filter(|_| job.accepted_at.is_some()) else { continue };
            if let Some((Status::Cancelled, at)) = job.reported_end
                && !job.machines.is_empty()
                && t > at + self.facts.cancel_s + STOP_RECORDING_DELAY_S
            {
                found.push((Rule::RanCancelled, format!("{uid}: tasks are still on machines at the end")));
            }
            let must_end = spec.kind != JobKind::Service || job.cancel_requested;
            if settled && must_end && job.reported_end.is_none() {
                let description = format!(
                    "{uid}: accepted, {} of {} tasks done, no final status reported",
                    job.done.len(),
                    spec.task_count
                );
                found.push((Rule::NoFinalAnswer, description));
            }
        }
        found.sort_by(|a, b| a.1.cmp(&b.1));
        for (rule, description) in found {
            self.add_violation(t, rule, description);
        }
    }
}

impl Checker {
    /// Counts the jobs of every class and team.
    fn count_served(&mut self) {
        for job in self.jobs.values() {
            let Some(spec) = &job.spec else { continue };
            let done = job.reported_end.filter(|(end, _)| *end == Status::Done);
            let started_service = spec.kind == JobKind::Service && job.started;
            for who in [format!("class {}", spec.class), format!("team {}", spec.team)] {
                let counts = self.verdict.served.entry(who).or_default();
                counts.submitted += 1;
                counts.accepted += u64::from(job.accepted_at.is_some());
                counts.started += u64::from(job.started);
                counts.served += u64::from(job.reported_end.is_some() || started_service);
                counts.with_deadline += u64::from(spec.deadline_s.is_some());
                let in_time = spec.deadline_s.zip(done).is_some_and(|(due, (_, at))| at - job.submitted_at <= due);
                counts.in_time += u64::from(in_time);
            }
        }
    }
}

/// Kind of the record under a key of the state service: the first two segments of the key.
fn record_kind(key: &str) -> String {
    let segments: Vec<&str> = key.split('/').take(2).collect();
    segments.join("/")
}

#[cfg(test)]
mod tests;
