//! Messages between controllers and the workers (agents) on the machines: heartbeats
//! with the state of every task, and commands.

#![warn(missing_docs)]

use crate::optional_number;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::fmt;

/// Id of a task: the job id and the index of the task. On the wire it is one text, for
/// example `run-000412/3`, in a field named `parcel`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Id of the job.
    pub job: String,
    /// Index of the task within the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses `job/index`; `None` if the index is missing or not a number.
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
    /// The machine is pulling the task's image.
    Fetching,
    /// The task is ready and waits for the other tasks of its gang; `gathering` on the wire.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// The task's process runs.
    Running,
    /// The task was told to stop and is writing its checkpoint.
    Saving,
    /// The task has ended. The worker reports it until a [`Command::Forget`].
    Exited,
}

/// Reason why a task has ended or was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The task ran to completion.
    Done,
    /// A [`Command::Kill`] stopped the task.
    Stopped,
    /// Another task of the gang was lost; `peers` on the wire.
    #[serde(rename = "peers")]
    GangMemberLost,
    /// The gang was not complete in time; `alone` on the wire.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// The task failed.
    Error,
    /// The machine lacks the resources that the task needs; `no_room` on the wire.
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

/// State of one task in a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskReport {
    /// Task id, see [`TaskId`]; `parcel` on the wire.
    #[serde(rename = "parcel")]
    pub task: String,
    /// Attempt that is reported; `try` on the wire.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the task.
    pub status: TaskState,
    /// Reason why the task ended; present only with [`TaskState::Exited`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    /// Whether the task saved its progress when it was stopped.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub progress_saved: Option<bool>,
}

/// Heartbeat of a worker with the states of its tasks. The worker sends it to its
/// controller at the configured interval, and returns it to a controller that probes the
/// worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Id of the worker's machine; `perch` on the wire.
    #[serde(rename = "perch")]
    pub machine: String,
    /// Address at which the worker listens.
    pub addr: String,
    /// Type of the machine; `build` on the wire.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone of the machine; `site` on the wire.
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether the machine is a spot instance; `loaners` on the wire.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Epoch of the agent, which increases each time the agent starts; `shift` on the wire.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// Sequence number of the heartbeat within the epoch; `tally` on the wire.
    #[serde(rename = "tally")]
    pub heartbeat_seq: u64,
    /// Highest fencing token that the worker has accepted; `warrant` on the wire.
    #[serde(rename = "warrant")]
    pub fencing_token: u64,
    /// Seconds until the cloud preempts the machine, if it has given notice; `recall_s` on
    /// the wire.
    #[serde(default, deserialize_with = "optional_number")]
    #[serde(rename = "recall_s")]
    pub preemption_notice_s: Option<f64>,
    /// All tasks on the machine; `parcels` on the wire.
    #[serde(rename = "parcels")]
    pub tasks: Vec<TaskReport>,
}

/// Command of a controller to a worker; `verb` on the wire selects the variant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Start an attempt of a task. The worker reads the task from the store.
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
        /// Seconds that the task may take to save its progress; `wind_down_s` on the wire.
        #[serde(rename = "wind_down_s")]
        grace_period_s: f64,
    },
    /// Stop reporting an attempt that has ended, because its end is recorded.
    Forget {
        /// Task id; `parcel` on the wire.
        #[serde(rename = "parcel")]
        task: String,
        /// Attempt to forget; `try` on the wire.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Response to a heartbeat from the controller that owns the machine.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse<'a> {
    /// Fencing token of the controller for this machine; `warrant` on the wire.
    #[serde(rename = "warrant")]
    pub fencing_token: u64,
    /// Commands in the order in which they are carried out; `orders` on the wire.
    #[serde(rename = "orders")]
    pub commands: Cow<'a, [Command]>,
}

/// Request that a controller sends to a worker to deliver commands between heartbeats.
#[derive(Debug, Serialize, Deserialize)]
pub struct CommandRequest<'a> {
    /// Fencing token of the controller for this machine; `warrant` on the wire.
    #[serde(rename = "warrant")]
    pub fencing_token: u64,
    /// Epoch of the agent for which the commands are valid; `shift` on the wire.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// Commands in the order in which they are carried out; `orders` on the wire.
    #[serde(rename = "orders")]
    pub commands: Cow<'a, [Command]>,
}

/// Response (status 421) that redirects a worker to another controller.
#[derive(Debug, Serialize, Deserialize)]
pub struct Redirect<'a> {
    /// Address of the controller to report to, if the sender knows it; `harbor` on the wire.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "harbor")]
    pub controller: Option<Cow<'a, str>>,
}
