//! The size of heartbeats in JSON, the form in which the protocol counts the limit on bodies.
//!
//! A heartbeat lists every task on its machine. One that exceeds the limit is refused, so the
//! number of tasks that a machine can run is limited by the size of its heartbeat as well.

#![warn(missing_docs)]

use crate::MAX_BODY_BYTES;

/// An upper bound of the size of a heartbeat without its tasks, in bytes.
const HEADER_BYTES: usize = 2 * 1024;

/// The part of a heartbeat that its tasks may use, in bytes.
pub const TASKS_BYTES: usize = MAX_BODY_BYTES - HEADER_BYTES;

/// The largest report of a task whose id is empty, with its attempt left out and the comma that
/// separates it from the next one.
const LARGEST_REPORT: &str = r#"{"parcel":"","try":,"status":"exited","cause":"stopped","kept":false},"#;

/// The largest number of digits of an attempt. Attempts count the starts of one job.
const MAX_ATTEMPT_DIGITS: usize = 10;

/// An upper bound of the bytes that each task of a job takes in a heartbeat, whatever its state.
pub fn task_bytes(job: &str, task_count: u32) -> usize {
    let last_index = task_count.saturating_sub(1);
    let index_digits = last_index.checked_ilog10().unwrap_or(0) as usize + 1;
    LARGEST_REPORT.len() + MAX_ATTEMPT_DIGITS + job.len() + "/".len() + index_digits
}

#[cfg(test)]
mod tests;
