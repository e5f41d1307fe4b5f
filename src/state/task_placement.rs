//! The placement of a task on a machine, as task-range checkpoints and log segments contain it.

#![warn(missing_docs)]

use serde::{Deserialize, Serialize};

/// The placement of one attempt of a task: the machine on which it may run. While a placement
/// is recorded, the task must not be started on any other machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The index of the task in its job; `i` in the store.
    #[serde(rename = "i")]
    pub index: u32,
    /// The name of the machine; `m` in the store.
    #[serde(rename = "m")]
    pub machine: String,
    /// The number of the attempt; `a` in the store.
    #[serde(rename = "a")]
    pub attempt: u64,
}
