//! What a world counts while it runs. Tests compare the counts at its end.

#![warn(missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Counts of what happened in a world so far.
#[derive(Debug, Default)]
pub struct Counters {
    /// Crashes in the middle of an exchange with the store (`Faults::crashes_in_exchanges_until`).
    pub crashes_in_exchanges: u32,
    /// Pushes of commands that were delivered late: the numbers of accepted and refused ones.
    pub late_commands: (u32, u32),
    /// Copies of answered commands that arrived: the numbers of accepted and refused ones.
    pub duplicated_commands: (u32, u32),
    /// Copies of answered commands that were left out, as a restarted agent had seen no token yet.
    pub unfenced_copies: u32,
    /// Heartbeats that were refused because they exceed the limit on bodies.
    pub oversized_heartbeats: u32,
    /// When each controller confirmed a submission to a user.
    pub acceptances: Vec<(Duration, usize)>,
    /// Requests of users that got no answer within their time.
    pub unanswered_user_requests: u32,
    /// Held heartbeats that were delivered: the number of those whose agent still waited for the
    /// answer, and of those whose agent had given up.
    pub held_heartbeats: (u32, u32),
    /// Heartbeats that were delivered again as a term began.
    pub duplicates_for_next_leader: u32,
    /// Answers to close queries that were compared with earlier answers about the same job.
    pub close_queries: u32,
    /// Invalid requests that were refused with the right status.
    pub invalid_requests_refused: u32,
    /// Starts of tasks whose job had been confirmed as cancelled.
    pub started_cancelled: u32,
    /// The longest time from the confirmation of a cancellation to the sending of a run command of
    /// that job. Commands may arrive late, but a controller must not send any once its watch of
    /// the store has shown the cancellation.
    pub longest_late_command: Duration,
    /// The numbers of late transactions that were applied and that were refused, by the prefix of
    /// the first key that they put.
    pub late_transactions: BTreeMap<String, (u32, u32)>,
    /// The same for copies of transactions that had been carried out and answered.
    pub duplicated_transactions: BTreeMap<String, (u32, u32)>,
    /// Starts of tasks that had completed before.
    pub starts_of_completed_tasks: u32,
    /// Requests that controllers sent: to whom, method and path.
    pub requests_sent: BTreeSet<(&'static str, &'static str, String)>,
    /// Running tasks that were lost because their machine was returned to the cloud although
    /// its heartbeats could reach a controller.
    pub tasks_lost_on_reachable_machines: usize,
}
