//! What the stand-ins share: the clock, the record, the jobs that users uploaded, and which task
//! was on which machine at what time.

use crate::cbor::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Instant;

/// The workers' settings of the deployment, in seconds.
#[derive(Clone, Copy)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

#[derive(Clone)]
pub struct Stay {
    pub task: String,
    pub attempt: u64,
    pub machine: String,
    pub from: f64,
    pub to: Option<f64>,
}

pub struct World {
    start: Instant,
    record: Mutex<File>,
    pub workers: Workers,
    /// Controllers by name, with the address for users and workers.
    pub nodes: Vec<(String, SocketAddr)>,
    /// Submitted jobs by id.
    pub jobs: Mutex<HashMap<String, Value>>,
    pub stays: Mutex<Vec<Stay>>,
    /// Broken rules, as found while the case runs.
    pub broken: Mutex<Vec<String>>,
    /// Run time in seconds of tasks of a job, by job id; other tasks run on until they are stopped.
    pub run_s: Mutex<BTreeMap<String, f64>>,
    /// Tasks that completed: their results are kept.
    pub done: Mutex<BTreeSet<String>>,
}

impl World {
    pub fn new(record: File, workers: Workers, nodes: Vec<(String, SocketAddr)>) -> World {
        World {
            start: Instant::now(),
            record: Mutex::new(record),
            workers,
            nodes,
            jobs: Mutex::default(),
            stays: Mutex::default(),
            broken: Mutex::default(),
            run_s: Mutex::default(),
            done: Mutex::default(),
        }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes a line to the record.
    pub fn note(&self, line: impl AsRef<str>) {
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{:9.3} {}", self.now(), line.as_ref());
        let _ = record.flush();
    }

    pub fn break_rule(&self, line: String) {
        self.note(format!("BROKEN {line}"));
        self.broken.lock().unwrap().push(line);
    }

    /// A task is on its machine from now on. This is where `ran_twice` is judged: a task starts
    /// on one machine while it is on another.
    pub fn task_on(&self, task: &str, attempt: u64, machine: &str) {
        let mut stays = self.stays.lock().unwrap();
        let now = self.now();
        self.note(format!("task {task} attempt {attempt} is on {machine}"));
        let other =
            stays.iter().find(|stay| stay.task == task && stay.to.is_none() && stay.machine != machine).cloned();
        stays.push(Stay { task: task.into(), attempt, machine: machine.into(), from: now, to: None });
        drop(stays);
        if let Some(other) = other {
            self.break_rule(format!(
                "ran_twice: {task} attempt {attempt} starts on {machine} while attempt {} is on {} since {:.3}",
                other.attempt, other.machine, other.from
            ));
        }
    }

    pub fn task_off(&self, task: &str, attempt: u64, machine: &str, why: &str) {
        let now = self.now();
        self.note(format!("task {task} attempt {attempt} left {machine}: {why}"));
        for stay in self.stays.lock().unwrap().iter_mut() {
            if stay.to.is_none()
                && (stay.task.as_str(), stay.attempt, stay.machine.as_str()) == (task, attempt, machine)
            {
                stay.to = Some(now);
            }
        }
    }
}
