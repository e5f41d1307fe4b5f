//! Where a task runs: used by task-range checkpoints and by log segments.

use serde::{Deserialize, Serialize};

/// The machine on which one attempt of a task may run. While it is recorded, the task
/// must not be started anywhere else.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    #[serde(rename = "i")]
    pub index: u32,
    #[serde(rename = "m")]
    pub machine: String,
    #[serde(rename = "a")]
    pub attempt: u64,
}
