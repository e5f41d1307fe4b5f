//! How long attempts that shall not run on a machine wait for the proof that they have ended.

#![warn(missing_docs)]

use super::{AttemptKey, Machine, ObservedTask};
use crate::effects::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// What an attempt's proof waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AwaitedProof {
    /// The agent has to show a fencing token.
    Token,
    /// A push in flight or an answer to a heartbeat has to be settled.
    Answer,
    /// The agent's lease has to expire, or the machine to be released.
    Lease,
}

/// The number and durations of waits that have ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WaitTotals {
    /// The number of waits.
    pub count: u64,
    /// The sum of their durations, in milliseconds.
    pub sum_ms: u64,
    /// The longest of them, in milliseconds.
    pub max_ms: u64,
}

impl WaitTotals {
    /// Adds a wait.
    pub fn add(&mut self, duration: Duration) {
        let millis = duration.as_millis() as u64;
        self.count += 1;
        self.sum_ms += millis;
        self.max_ms = self.max_ms.max(millis);
    }
}

/// The attempts on one machine whose proofs are awaited, since when, and for what at last.
#[derive(Debug, Default)]
pub struct ProofWaits(BTreeMap<AttemptKey, (Instant, AwaitedProof)>);

impl ProofWaits {
    /// Records that the attempt's proof still waits for `awaited`.
    pub fn record(&mut self, key: AttemptKey, awaited: AwaitedProof, now: Instant) {
        self.0.entry(key).or_insert((now, awaited)).1 = awaited;
    }

    /// Ends the wait of an attempt that is proved to have ended. Returns what it waited for and
    /// for how long, if it had to wait.
    pub fn finish(&mut self, key: &AttemptKey, now: Instant) -> Option<(AwaitedProof, Duration)> {
        let (since, awaited) = self.0.remove(key)?;
        Some((awaited, now.saturating_sub(since)))
    }

    /// Forgets the attempts for which `is_recorded` is false.
    pub fn retain(&mut self, is_recorded: impl Fn(&AttemptKey) -> bool) {
        self.0.retain(|key, _| is_recorded(key));
    }
}

impl Machine {
    /// What the proof waits for that an attempt has ended which the newest report does not list.
    pub fn awaited_for_absence(&self) -> AwaitedProof {
        if self.push_in_flight.is_none() && !self.confirmed() { AwaitedProof::Token } else { AwaitedProof::Answer }
    }

    /// What the proof waits for that the exit in the newest report is final.
    pub fn awaited_for_exit(&self, observed: &ObservedTask) -> AwaitedProof {
        if self.report_proven && self.outstanding.answer_may_start(&observed.key()) {
            AwaitedProof::Answer
        } else {
            AwaitedProof::Token
        }
    }
}
