//! Messages between controllers and the workers (agents) on the machines: heartbeats
//! with the status of every task, and commands.

use crate::amount_or_null;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::fmt;

/// Id of one task: job id and index, `run-000412/3` on the wire (`parcel`).
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Id of the job.
    pub job: String,
    /// Index of the task within the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses `job/index`; none where the index is missing or not a number.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.rsplit_once('/')?;
        Some(TaskId { job: job.to_string(), index: index.parse().ok()? })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// State of a task on its machine, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Its image is being pulled.
    Fetching,
    /// Ready, and waits until all tasks of its gang are; `gathering` on the wire.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// Its process runs.
    Running,
    /// It was told to stop and writes its checkpoint.
    Saving,
    /// It has ended; reported until a `Forget` command.
    Exited,
}

/// Why a task has ended, or was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It ran to completion.
    Done,
    /// A `Kill` command stopped it.
    Stopped,
    /// Another task of its gang was lost; `peers` on the wire.
    #[serde(rename = "peers")]
    GangMemberLost,
    /// Its gang was not complete in time; `alone` on the wire.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// It failed.
    Error,
    /// The machine has not the resources that it asks for; `no_room` on the wire.
    #[serde(rename = "no_room")]
    NoCapacity,
    /// Another attempt of the task is on the machine; `in_use` on the wire.
    #[serde(rename = "in_use")]
    AlreadyPresent,
    /// The store has no such task; `no_such` on the wire.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// A cause that this version does not know.
    #[serde(other)]
    Other,
}

/// Status of one task in a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskReport {
    /// Task id, see [`TaskId`]; `parcel` on the wire.
    #[serde(rename = "parcel")]
    pub task: String,
    /// Attempt that the status is of; `try` on the wire.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the task.
    pub status: TaskState,
    /// Why it ended; only with [`TaskState::Exited`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    /// Whether its progress was saved as it was stopped.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kept: Option<bool>,
}

/// Heartbeat of a worker with the status of its tasks: sent to its controller at the
/// configured interval, and returned to a controller that probes the worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Machine id; `perch` on the wire.
    #[serde(rename = "perch")]
    pub machine: String,
    /// Address at which the worker listens.
    pub addr: String,
    /// Machine type; `build` on the wire.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone of the machine; `site` on the wire.
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether it is a spot instance; `loaners` on the wire.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Epoch of the agent, which grows with each of its starts; `shift` on the wire.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// Counts the heartbeats of the epoch; `tally` on the wire.
    #[serde(rename = "tally")]
    pub heartbeat_seq: u64,
    /// Highest fencing token that the worker has accepted; `warrant` on the wire.
    #[serde(rename = "warrant")]
    pub fencing_token: u64,
    /// Seconds until the cloud preempts the machine, once it has given notice;
    /// `recall_s` on the wire.
    #[serde(default, deserialize_with = "amount_or_null")]
    #[serde(rename = "recall_s")]
    pub preemption_notice_s: Option<f64>,
    /// All tasks on the machine; `parcels` on the wire.
    #[serde(rename = "parcels")]
    pub tasks: Vec<TaskReport>,
}

/// Command of a controller to a worker; its tag is `verb` on the wire.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Start an attempt of a task; the worker reads the task from the store.
    Run {
        /// Task id; `parcel` on the wire.
        #[serde(rename = "parcel")]
        task: String,
        /// Attempt to start; `try` on the wire.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop an attempt of a task.
    Kill {
        /// Task id; `parcel` on the wire.
        #[serde(rename = "parcel")]
        task: String,
        /// Attempt to stop; `try` on the wire.
        #[serde(rename = "try")]
        attempt: u64,
        /// Seconds that it may take to save its progress; `wind_down_s` on the wire.
        #[serde(rename = "wind_down_s")]
        grace_period_s: f64,
    },
    /// Report an ended attempt no longer: its end is recorded.
    Forget {
        /// Task id; `parcel` on the wire.
        #[serde(rename = "parcel")]
        task: String,
        /// Attempt to forget; `try` on the wire.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Response of the owning controller to a heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse<'a> {
    /// Fencing token of the controller for this machine; `warrant` on the wire.
    #[serde(rename = "warrant")]
    pub fencing_token: u64,
    /// Commands, in order; `orders` on the wire.
    #[serde(rename = "orders")]
    pub commands: Cow<'a, [Command]>,
}

/// Commands that a controller sends to a worker by a call of its own.
#[derive(Debug, Serialize, Deserialize)]
pub struct CommandRequest<'a> {
    /// Fencing token of the controller for this machine; `warrant` on the wire.
    #[serde(rename = "warrant")]
    pub fencing_token: u64,
    /// Epoch of the agent that the commands are for; `shift` on the wire.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// Commands, in order; `orders` on the wire.
    #[serde(rename = "orders")]
    pub commands: Cow<'a, [Command]>,
}

/// Response (status 421) that sends the worker to another controller.
#[derive(Debug, Serialize, Deserialize)]
pub struct Redirect<'a> {
    /// Address to report to, where the sender knows it; `harbor` on the wire.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "harbor")]
    pub controller: Option<Cow<'a, str>>,
}
