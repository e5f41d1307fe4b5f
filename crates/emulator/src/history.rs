//! The history of a run: what users, machines and the emulated services
//! saw, one JSON line each, in the order it happened. The checker and the
//! reports read it and nothing else.

use crate::lock;
use finchquay_protocol::user::{JobSpec, Status};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use thiserror::Error;

/// What the checker must know of the site.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Facts {
    /// CPUs and GPUs that a team may use; 0: any number.
    pub limits: BTreeMap<String, (f64, f64)>,
    pub cancel_s: f64,
    /// Controllers by name, and their users' address.
    pub controllers: BTreeMap<String, String>,
}

/// What a user asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Asked {
    Submit,
    Poll,
    #[serde(rename = "withdraw")]
    Cancel,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    Began {
        scenario: String,
        seed: u64,
        facts: Facts,
    },
    /// Written before the first attempt to submit.
    Job {
        spec: JobSpec,
    },
    /// One try of a user, written when it ended.
    Call {
        asked: Asked,
        uid: String,
        controller: String,
        began_s: f64,
        status: Option<u16>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        state: Option<Status>,
        #[serde(default)]
        done: u32,
    },
    MachineUp {
        machine: String,
        #[serde(rename = "build")]
        machine_type: String,
        #[serde(rename = "site")]
        zone: String,
        spot: bool,
    },
    MachineGone {
        machine: String,
        why: String,
    },
    /// A task is on its machine from here.
    Start {
        machine: String,
        job: String,
        index: u32,
        attempt: u64,
    },
    Stop {
        machine: String,
        job: String,
        index: u32,
        attempt: u64,
        cause: String,
    },
    /// A controller was started, or ended by itself (`ended`) or on purpose (`killed`).
    Controller {
        controller: String,
        what: String,
    },
    /// A fault begins or ends.
    Fault {
        name: String,
        on: bool,
    },
    /// The state service did on purpose what it should not.
    Store {
        what: String,
        keys: Vec<String>,
    },
    /// Measured now and then.
    Sample {
        machines_up: u32,
        machines_booting: u32,
        tasks_running: u32,
        store_changes: u64,
        store_requests: u64,
        spent: f64,
        /// Memory in MB and processor time in seconds of each controller.
        controllers: BTreeMap<String, (f64, f64)>,
    },
    /// Nothing follows. `settled`: every job had the time to come to its end.
    Over {
        settled: bool,
    },
}

/// One line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Seconds since the emulator began.
    pub t: f64,
    #[serde(flatten)]
    pub event: Event,
}

#[derive(Debug, Error)]
pub enum HistoryError {
    #[error("{}: {cause}", file.display())]
    Io { file: PathBuf, cause: std::io::Error },
    #[error("{}:{line}: {what}", file.display())]
    Spoilt { file: PathBuf, line: usize, what: String },
}

/// Called with every line, for whoever watches.
pub type Watcher = Box<dyn Fn(&Line) + Send + Sync>;

struct Sink {
    out: BufWriter<File>,
    last: f64,
}

struct Shared {
    sink: Mutex<Sink>,
    began: Instant,
    watcher: Option<Watcher>,
}

/// Writes a history. Clones write to the same one.
#[derive(Clone)]
pub struct Recorder {
    shared: Arc<Shared>,
}

impl Recorder {
    pub fn create(path: &Path, watcher: Option<Watcher>) -> Result<Recorder, HistoryError> {
        let file = File::create(path).map_err(|cause| HistoryError::Io { file: path.into(), cause })?;
        let sink = Mutex::new(Sink { out: BufWriter::new(file), last: 0.0 });
        Ok(Recorder { shared: Arc::new(Shared { sink, began: Instant::now(), watcher }) })
    }

    pub fn now(&self) -> Duration {
        self.shared.began.elapsed()
    }

    /// Seconds of an instant on the history's clock.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.shared.began).as_secs_f64()
    }

    pub fn record(&self, event: Event) {
        let mut sink = lock(&self.shared.sink);
        // Under the lock, so that times never go back from line to line.
        let t = self.now().as_secs_f64().max(sink.last);
        sink.last = t;
        let line = Line { t, event };
        if let Some(w) = &self.shared.watcher {
            w(&line);
        }
        if serde_json::to_writer(&mut sink.out, &line).is_ok() {
            let _ = sink.out.write_all(b"\n");
        }
    }

    pub fn flush(&self) -> std::io::Result<()> {
        lock(&self.shared.sink).out.flush()
    }
}

/// Reads a whole history.
pub fn read(path: &Path) -> Result<Vec<Line>, HistoryError> {
    let io = |cause| HistoryError::Io { file: path.into(), cause };
    let file = BufReader::new(File::open(path).map_err(io)?);
    let mut out = Vec::new();
    for (i, text) in file.lines().enumerate() {
        let text = text.map_err(io)?;
        let line = serde_json::from_str(&text).map_err(|e| HistoryError::Spoilt {
            file: path.into(),
            line: i + 1,
            what: e.to_string(),
        })?;
        out.push(line);
    }
    Ok(out)
}

/// Between the end of one run on a folder and the start of the next, as the
/// joined histories tell it, in seconds.
const BETWEEN_S: f64 = 1.0;

/// Puts the history of a later run on the same state behind an earlier one,
/// whose times come to lie before 0: a rule may be broken across runs.
pub fn join(mut earlier: Vec<Line>, later: Vec<Line>) -> Vec<Line> {
    let agent_epoch = earlier.last().map_or(0.0, |l| l.t + BETWEEN_S);
    earlier.iter_mut().for_each(|l| l.t -= agent_epoch);
    earlier.extend(later);
    earlier
}
