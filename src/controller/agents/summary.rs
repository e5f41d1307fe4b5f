//! Periodic figures about commands, fencing tokens and proofs, for the log.

use super::Agents;
use crate::coordination::machine::{AwaitedProof, TokenRaise, WaitTotals};
use std::collections::BTreeMap;
use std::time::Duration;

/// What happened since the last summary.
#[derive(Debug, Default)]
pub(super) struct AgentsSummary {
    /// How long attempts waited for the proof that they had ended, by what it waited for last.
    waits: BTreeMap<AwaitedProof, WaitTotals>,
    /// Messages pushed to agents.
    pub(super) pushes: u64,
    /// Times that commands were not pushed at once because a push was in flight or the agent had
    /// not shown the token.
    pub(super) pushes_held_back: u64,
    /// Heartbeats answered.
    pub(super) answers: u64,
}

impl AgentsSummary {
    /// Counts a wait for a proof.
    pub(super) fn record_wait(&mut self, awaited: AwaitedProof, duration: Duration) {
        self.waits.entry(awaited).or_default().add(duration);
    }
}

impl Agents {
    /// Logs the figures since the last summary, and resets them.
    pub(in crate::controller) fn log_summary(&mut self) {
        let mut raises: BTreeMap<TokenRaise, u64> = BTreeMap::new();
        for (reason, count) in self.machines.values_mut().flat_map(|machine| machine.take_raises()) {
            *raises.entry(reason).or_default() += count;
        }
        let AgentsSummary { waits, pushes, pushes_held_back, answers } = std::mem::take(&mut self.summary);
        let machines = self.machines.len();
        tracing::debug!(machines, answers, pushes, pushes_held_back, ?raises, ?waits, "commands and proofs");
    }
}
