//! The fencing token of a machine within one grant: when it is raised, and which token the agent
//! must have seen.

#![warn(missing_docs)]

use super::commands::named_attempt;
use super::{AttemptKey, Machine};
use crate::coordination::fencing_token::{FencingToken, MAX_COUNTER};
use crate::effects::Instant;
use crate::protocol::worker::Command;
use std::collections::BTreeMap;
use std::time::Duration;

/// Why the token was raised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TokenRaise {
    /// A push got no answer.
    PushLost,
    /// The agent was found to be restarted.
    AgentRestarted,
    /// A report does not show the token of the newest answer, and may be from before a restart.
    AnswerMissed,
    /// Reports came late, or the agent's lease expired.
    ReportsLate,
    /// An attempt is forgotten whose pushed start may arrive once more.
    AttemptForgotten,
}

impl Machine {
    /// The fencing token in force for this machine.
    pub fn token(&self) -> u64 {
        FencingToken::new(self.term, self.epoch, self.counter).0
    }

    /// Whether the agent has seen a token that makes it refuse all other controllers, and what
    /// this one pushed without an answer.
    pub fn has_shown_required_token(&self) -> bool {
        let required = self.required_counter.map(|counter| FencingToken::new(self.term, self.epoch, counter).0);
        required.is_some_and(|required| (required..=self.token()).contains(&self.fencing_token))
    }

    /// Whether the agent was given the required token `patience` ago by an answer that may have
    /// reached it, and has not shown it. An agent reports a new token at once only if it has not
    /// done so within half a lease.
    pub fn awaits_token(&self, now: Instant, patience: Duration) -> bool {
        !self.has_shown_required_token()
            && self.push_in_flight.is_none()
            && self.missed_answers == 0
            && self.answered_token == self.token()
            && self.answered_at.is_some_and(|at| now.saturating_sub(at) >= patience)
    }

    /// Whether the token could not be raised when it had to be: the machine needs another grant.
    pub fn needs_new_grant(&self) -> bool {
        self.counter_exhausted
    }

    /// How often the token was raised since the last call, by reason.
    pub fn take_raises(&mut self) -> BTreeMap<TokenRaise, u64> {
        std::mem::take(&mut self.raises)
    }

    /// Raises the token. Until the agent has shown the new one, its reports prove nothing, and
    /// nothing is pushed.
    pub(super) fn raise_required_token(&mut self, reason: TokenRaise) {
        self.required_counter = self.raise_token(reason).then_some(self.counter);
    }

    /// Raises the token if these commands, which answer a heartbeat, forget an attempt that a message
    /// pushed under the token may still start. The agent refuses that message from then on.
    ///
    /// The answer carries the new token first. A push that did so could overtake an earlier answer,
    /// which the agent would then drop. If the token cannot be raised, nothing is forgotten.
    pub fn raise_token_to_forget(&mut self, commands: &mut Vec<Command>) {
        let token = self.token();
        let outstanding = &self.outstanding;
        let needs_raise = |command: &Command| {
            forgotten_attempt(command).is_some_and(|key| outstanding.pushed_under(&key) == Some(token))
        };
        if commands.iter().any(needs_raise) && !self.raise_token(TokenRaise::AttemptForgotten) {
            commands.retain(|command| forgotten_attempt(command).is_none());
        }
    }

    /// Raises the counter, the lowest part of the token. Returns whether it could be raised.
    fn raise_token(&mut self, reason: TokenRaise) -> bool {
        if self.counter >= MAX_COUNTER {
            self.counter_exhausted = true;
            return false;
        }
        self.counter += 1;
        *self.raises.entry(reason).or_default() += 1;
        tracing::debug!(addr = %self.addr, token = self.token(), ?reason, "fencing token raised");
        true
    }
}

/// The attempt that the command tells the agent to forget, if it does.
fn forgotten_attempt(command: &Command) -> Option<AttemptKey> {
    let Command::Forget { task, attempt } = command else { return None };
    named_attempt(task, *attempt)
}
