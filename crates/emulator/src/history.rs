//! History of a run: the events that users, machines and the emulated services observed,
//! in the order they happened, one JSON line each. It is the only input of the checker
//! and of the reports.

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

/// Facts about the cluster that the checker needs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClusterFacts {
    /// Most CPUs and GPUs that each team may use; 0 means no limit.
    pub limits: BTreeMap<String, (f64, f64)>,
    /// Seconds that the tasks of a job may run on after its cancellation was reported.
    pub cancel_s: f64,
    /// Address for users of each controller, by its name.
    pub controllers: BTreeMap<String, String>,
}

/// Operation that a user requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UserOperation {
    /// Submission of a job.
    Submit,
    /// Query of a job's status.
    Poll,
    /// Cancellation of a job; `withdraw` in the file.
    #[serde(rename = "withdraw")]
    Cancel,
}

/// Event in a history; its tag is `event` in the file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The run began. The first start of the controllers may precede this line.
    #[serde(rename = "began")]
    RunStarted {
        /// Name of the scenario.
        scenario: String,
        /// Seed of load and faults.
        seed: u64,
        /// Facts for the checker.
        facts: ClusterFacts,
    },
    /// A user is about to submit a job. Written before the first attempt.
    Job {
        /// Specification of the job.
        spec: JobSpec,
    },
    /// An attempt of a user's request has ended.
    #[serde(rename = "call")]
    UserRequest {
        /// Requested operation; `asked` in the file.
        #[serde(rename = "asked")]
        operation: UserOperation,
        /// Id of the job.
        uid: String,
        /// Controller that was called; empty where it is not known.
        controller: String,
        /// When the attempt began, in seconds of the history.
        began_s: f64,
        /// HTTP status of the response; `None` where none arrived.
        status: Option<u16>,
        /// Status of the job in the response.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        state: Option<Status>,
        /// Completed tasks of the job in the response.
        #[serde(default)]
        done: u32,
    },
    /// A machine has booted and reports from now on.
    MachineUp {
        /// Id of the machine.
        machine: String,
        /// Machine type; `build` in the file.
        #[serde(rename = "build")]
        machine_type: String,
        /// Zone of the machine; `site` in the file.
        #[serde(rename = "site")]
        zone: String,
        /// Whether it is a spot machine.
        spot: bool,
    },
    /// A machine and everything on it is gone.
    MachineGone {
        /// Id of the machine.
        machine: String,
        /// Reason, such as `released`, `recalled` or `died`.
        why: String,
    },
    /// A task occupies its machine from now on.
    Start {
        /// Id of the machine.
        machine: String,
        /// Id of the job.
        job: String,
        /// Index of the task within the job.
        index: u32,
        /// Attempt of the task.
        attempt: u64,
    },
    /// A task no longer occupies its machine.
    Stop {
        /// Id of the machine.
        machine: String,
        /// Id of the job.
        job: String,
        /// Index of the task within the job.
        index: u32,
        /// Attempt of the task.
        attempt: u64,
        /// Why it ended.
        cause: String,
    },
    /// The process of a controller was started, exited by itself or was killed.
    Controller {
        /// Name of the controller.
        controller: String,
        /// `started`, `not started`, `ended` (by itself) or `killed` (by a fault).
        what: String,
    },
    /// A fault begins or ends.
    Fault {
        /// Name of the fault in the scenario.
        name: String,
        /// Whether it begins.
        on: bool,
    },
    /// An injected fault made the state service lose or mishandle a write.
    #[serde(rename = "store")]
    StoreFault {
        /// Kind of the fault, such as `lost`; `tail` for a lost tail of the log.
        what: String,
        /// Keys that the write changes.
        keys: Vec<String>,
    },
    /// Periodic measurement.
    Sample {
        /// Machines that are up.
        machines_up: u32,
        /// Machines that are booting.
        machines_booting: u32,
        /// Tasks that run.
        tasks_running: u32,
        /// Changes that the state service has committed.
        store_changes: u64,
        /// Requests that the state service has received.
        store_requests: u64,
        /// Money spent on machines so far.
        spent: f64,
        /// Memory in MB and CPU time in seconds of each controller.
        controllers: BTreeMap<String, (f64, f64)>,
    },
    /// The run is over. Only events of the shutdown follow.
    #[serde(rename = "over")]
    RunEnded {
        /// Whether the run lasted long enough for every job to end.
        settled: bool,
    },
}

/// One line of a history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryLine {
    /// Seconds since the run began; `t` in the file.
    #[serde(rename = "t")]
    pub at_s: f64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// Why a history cannot be read or written.
#[derive(Debug, Error)]
pub enum HistoryError {
    /// The file cannot be created, opened or read.
    #[error("{}: {cause}", file.display())]
    Io {
        /// File of the history.
        file: PathBuf,
        /// Error of the file system.
        cause: std::io::Error,
    },
    /// A line is not a valid event.
    #[error("{}:{line}: {reason}", file.display())]
    InvalidLine {
        /// File of the history.
        file: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// Error of the JSON parser.
        reason: String,
    },
}

/// Callback that gets every line as it is recorded.
pub type LineCallback = Box<dyn Fn(&HistoryLine) + Send + Sync>;

struct Output {
    writer: BufWriter<File>,
    /// Time of the last line, in seconds.
    last_at_s: f64,
}

struct Shared {
    output: Mutex<Output>,
    began: Instant,
    callback: Option<LineCallback>,
}

/// Writes a history. Clones write to the same file.
#[derive(Clone)]
pub struct Recorder {
    shared: Arc<Shared>,
}

impl Recorder {
    /// Creates the file of a history, whose clock starts now.
    pub fn create(path: &Path, callback: Option<LineCallback>) -> Result<Recorder, HistoryError> {
        let file = File::create(path).map_err(|cause| HistoryError::Io { file: path.into(), cause })?;
        let output = Mutex::new(Output { writer: BufWriter::new(file), last_at_s: 0.0 });
        Ok(Recorder { shared: Arc::new(Shared { output, began: Instant::now(), callback }) })
    }

    /// Time since the history was created.
    pub fn now(&self) -> Duration {
        self.shared.began.elapsed()
    }

    /// Converts an instant to seconds on the clock of the history.
    pub fn seconds_at(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.shared.began).as_secs_f64()
    }

    /// Appends an event with the current time and passes it to the callback.
    pub fn record(&self, event: Event) {
        let mut output = lock(&self.shared.output);
        // The time is read under the lock, so that it never decreases from line to line.
        let at_s = self.now().as_secs_f64().max(output.last_at_s);
        output.last_at_s = at_s;
        let line = HistoryLine { at_s, event };
        if let Some(callback) = &self.shared.callback {
            callback(&line);
        }
        if serde_json::to_writer(&mut output.writer, &line).is_ok() {
            let _ = output.writer.write_all(b"\n");
        }
    }

    /// Writes buffered lines to the file.
    pub fn flush(&self) -> std::io::Result<()> {
        lock(&self.shared.output).writer.flush()
    }
}

/// Reads a whole history.
pub fn read(path: &Path) -> Result<Vec<HistoryLine>, HistoryError> {
    let io_error = |cause| HistoryError::Io { file: path.into(), cause };
    let file = BufReader::new(File::open(path).map_err(io_error)?);
    let mut lines = Vec::new();
    for (i, text) in file.lines().enumerate() {
        let text = text.map_err(io_error)?;
        let line = serde_json::from_str(&text).map_err(|e| HistoryError::InvalidLine {
            file: path.into(),
            line: i + 1,
            reason: e.to_string(),
        })?;
        lines.push(line);
    }
    Ok(lines)
}

/// Gap in a joined history between the last line of one run and the start of the next,
/// in seconds.
const RUN_GAP_S: f64 = 1.0;

/// Joins the history of a later run on the same state to that of earlier ones, whose
/// times are shifted below 0. Checking them together finds rules that are broken across
/// runs.
pub fn join_runs(mut earlier: Vec<HistoryLine>, later: Vec<HistoryLine>) -> Vec<HistoryLine> {
    let shift_s = earlier.last().map_or(0.0, |line| line.at_s + RUN_GAP_S);
    earlier.iter_mut().for_each(|line| line.at_s -= shift_s);
    earlier.extend(later);
    earlier
}
