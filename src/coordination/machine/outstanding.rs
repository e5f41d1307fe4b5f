//! The messages sent to an agent that may still start tasks, however late or often they arrive.
//!
//! - Pushed commands may arrive once more long after they were carried out and answered. Only
//!   the agent ends that: it refuses them once it has seen a higher fencing token, or in another
//!   epoch.
//! - The answer to a heartbeat takes effect only while the agent waits for it. It is settled by
//!   the next heartbeat that the agent sends by itself.
//!
//! An agent ignores the start of an attempt that it lists, exited ones included. So a message
//! can start an attempt here that has ended only after the agent was told to forget it.

#![warn(missing_docs)]

use super::AttemptKey;
use super::commands::named_attempt;
use crate::protocol::worker::Command;
use std::collections::{BTreeMap, BTreeSet};

/// The attempts that messages may still start, whether or not these were answered.
#[derive(Debug, Default)]
pub(super) struct OutstandingStarts {
    /// Attempts in answers to heartbeats that may still reach the agent.
    by_answers: BTreeSet<AttemptKey>,
    /// Attempts in pushed commands, each with the highest fencing token under which it was pushed.
    by_pushes: BTreeMap<AttemptKey, u64>,
}

impl OutstandingStarts {
    /// Records that a heartbeat is answered with these commands.
    pub(super) fn record_answer(&mut self, commands: &[Command]) {
        self.by_answers.extend(started_attempts(commands));
    }

    /// Records that these commands are pushed under this fencing token.
    pub(super) fn record_push(&mut self, commands: &[Command], token: u64) {
        self.by_pushes.extend(started_attempts(commands).map(|key| (key, token)));
    }

    /// Records that every answer to a heartbeat has arrived or was dropped.
    pub(super) fn settle_answers(&mut self) {
        self.by_answers.clear();
    }

    /// Records that the agent has seen this fencing token: it refuses what was pushed under lower
    /// ones.
    pub(super) fn settle_pushes_below(&mut self, seen_token: u64) {
        self.by_pushes.retain(|_, token| *token >= seen_token);
    }

    /// Records that the agent has begun another epoch: it refuses what was pushed to earlier ones.
    pub(super) fn settle_pushes(&mut self) {
        self.by_pushes.clear();
    }

    /// Whether an answer to a heartbeat may still start the attempt.
    pub(super) fn answer_may_start(&self, key: &AttemptKey) -> bool {
        self.by_answers.contains(key)
    }

    /// Whether a pushed message may still start the attempt.
    pub(super) fn push_may_start(&self, key: &AttemptKey) -> bool {
        self.pushed_under(key).is_some()
    }

    /// Whether any message may still start the attempt.
    pub(super) fn may_start(&self, key: &AttemptKey) -> bool {
        self.answer_may_start(key) || self.push_may_start(key)
    }

    /// The highest fencing token of the pushed messages that may still start the attempt.
    pub(super) fn pushed_under(&self, key: &AttemptKey) -> Option<u64> {
        self.by_pushes.get(key).copied()
    }
}

/// The attempts that the commands start.
fn started_attempts(commands: &[Command]) -> impl Iterator<Item = AttemptKey> {
    commands.iter().filter_map(|command| {
        let Command::Run { task, attempt } = command else { return None };
        named_attempt(task, *attempt)
    })
}
