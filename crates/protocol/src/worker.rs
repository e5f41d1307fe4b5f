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
    Gathering,
    Running,
    Saving,
    Exited,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    Done,
    Stopped,
    Peers,
    Alone,
    Error,
    NoRoom,
    InUse,
    NoSuch,
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskReport {
    pub parcel: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    pub status: TaskState,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kept: Option<bool>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    #[serde(rename = "perch")]
    pub machine: String,
    pub addr: String,
    pub build: String,
    pub site: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    pub shift: u64,
    pub tally: u64,
    pub warrant: u64,
    #[serde(default, deserialize_with = "amount_or_null")]
    pub recall_s: Option<f64>,
    #[serde(rename = "parcels")]
    pub tasks: Vec<TaskReport>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Order {
    Run {
        parcel: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    Kill {
        parcel: String,
        #[serde(rename = "try")]
        attempt: u64,
        wind_down_s: f64,
    },
    Forget {
        parcel: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Answer to a report.
#[derive(Debug, Serialize, Deserialize)]
pub struct Answer<'a> {
    pub warrant: u64,
    pub orders: Cow<'a, [Order]>,
}

/// Orders sent straight to a worker.
#[derive(Debug, Serialize, Deserialize)]
pub struct Push<'a> {
    pub warrant: u64,
    pub shift: u64,
    pub orders: Cow<'a, [Order]>,
}

/// Answer that sends the worker to another controller.
#[derive(Debug, Serialize, Deserialize)]
pub struct Redirect<'a> {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub harbor: Option<Cow<'a, str>>,
}
