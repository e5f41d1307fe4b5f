//! What passes between controllers and the workers on the machines.

use crate::amount_or_null;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::fmt;

/// Name of one task: job id and number, `run-000412/3` on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    pub job: String,
    pub index: u32,
}

impl TaskId {
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

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    Fetching,
    #[serde(rename = "gathering")]
    WaitingForGang,
    Running,
    Saving,
    Exited,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    Done,
    Stopped,
    #[serde(rename = "peers")]
    GangMemberLost,
    #[serde(rename = "alone")]
    GangIncomplete,
    Error,
    #[serde(rename = "no_room")]
    NoCapacity,
    #[serde(rename = "in_use")]
    AlreadyPresent,
    #[serde(rename = "no_such")]
    UnknownTask,
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskReport {
    #[serde(rename = "parcel")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    pub status: TaskState,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kept: Option<bool>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "perch")]
    pub machine: String,
    pub addr: String,
    #[serde(rename = "build")]
    pub machine_type: String,
    #[serde(rename = "site")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    #[serde(rename = "tally")]
    pub heartbeat_seq: u64,
    #[serde(rename = "warrant")]
    pub fencing_token: u64,
    #[serde(default, deserialize_with = "amount_or_null")]
    #[serde(rename = "recall_s")]
    pub preemption_notice_s: Option<f64>,
    #[serde(rename = "parcels")]
    pub tasks: Vec<TaskReport>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    Run {
        #[serde(rename = "parcel")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    Kill {
        #[serde(rename = "parcel")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "wind_down_s")]
        grace_period_s: f64,
    },
    Forget {
        #[serde(rename = "parcel")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Response to a heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse<'a> {
    #[serde(rename = "warrant")]
    pub fencing_token: u64,
    #[serde(rename = "orders")]
    pub commands: Cow<'a, [Command]>,
}

/// Commands sent straight to a worker.
#[derive(Debug, Serialize, Deserialize)]
pub struct CommandRequest<'a> {
    #[serde(rename = "warrant")]
    pub fencing_token: u64,
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    #[serde(rename = "orders")]
    pub commands: Cow<'a, [Command]>,
}

/// Response that sends the worker to another controller.
#[derive(Debug, Serialize, Deserialize)]
pub struct Redirect<'a> {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "harbor")]
    pub controller: Option<Cow<'a, str>>,
}
