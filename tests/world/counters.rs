//! What a world counts, for tests to compare at its end.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Counts of what happened in a world so far.
#[derive(Debug, Default)]
pub struct Counters {
    /// Crashes in the middle of an exchange with the store (`Faults::crashes_in_exchanges_until`).
    pub crashes_in_exchanges: u32,
    /// Commands that were delivered late: carried out, and refused.
    pub late_commands: (u32, u32),
    /// When each controller confirmed a submission to a user.
    pub acceptances: Vec<(Duration, usize)>,
    /// Requests of users that got no answer within their time.
    pub unanswered_user_requests: u32,
    /// Held heartbeats that were delivered: those whose answer was still waited for, and the rest.
    pub held_heartbeats: (u32, u32),
    /// Heartbeats that were delivered once more as a term began.
    pub duplicates_for_next_leader: u32,
    /// Answers to close queries that were compared with what had been told before.
    pub close_queries: u32,
    /// Invalid requests that were refused with the right status.
    pub invalid_requests_refused: u32,
    /// Starts of tasks whose job had been confirmed as cancelled.
    pub started_cancelled: u32,
    /// The longest time from the confirmation of a cancellation to a run command of that job, as
    /// it was sent: a command may be delayed, but none may be sent once the watch has shown it.
    pub longest_late_command: Duration,
    /// Late transactions that were carried out and that were refused, by the kind of
    /// the first key that they put.
    pub late_transactions: BTreeMap<String, (u32, u32)>,
    /// Starts of tasks that had completed before.
    pub starts_of_completed_tasks: u32,
    /// Requests that controllers sent: to whom, method and path.
    pub requests_sent: BTreeSet<(&'static str, &'static str, String)>,
    /// Tasks that ran on machines which were returned though some controller
    /// could have heard them.
    pub tasks_lost_on_reachable_machines: usize,
}
