//! What reports and answers prove about an agent: whether a report is from its present
//! incarnation, whether answers reach it, and when its lease has expired.

#![warn(missing_docs)]

use super::{Machine, TokenRaise};
use crate::effects::Instant;
use crate::protocol::worker::Command;
use std::time::Duration;

/// Answers count as lost once this many in a row did not reach the agent. A single one may be
/// lost by chance.
const MISSED_ANSWERS_UNTIL_LOST: u32 = 2;

impl Machine {
    /// Draws the conclusions from a report that the agent sent in a call of its own and that was
    /// just applied. `is_newest` tells whether the report was newer than all earlier ones.
    ///
    /// The agent has only one call in flight, so no answer to an earlier call can reach it any
    /// more. If the report does not show the token of an answer, that answer never arrived and
    /// did not renew the agent's lease.
    ///
    /// There is an exception. A delayed copy of a report from before a restart may be newer than
    /// every report known from the restarted agent, and may show the same token as the present
    /// incarnation did at first. But it never shows the token in force. Therefore, until the
    /// agent has shown that token, a missing token proves nothing about the lease; it is only a
    /// reason to wait (`must_await_lease_expiry`).
    pub fn observe_report(&mut self, is_newest: bool, now: Instant) {
        self.set_report_proven(self.confirmed() || is_newest && self.token_confirmed);
        if self.report_proven {
            // Every earlier answer has either arrived or been dropped.
            self.outstanding.settle_answers();
        }
        if self.answered_token <= self.fencing_token {
            self.missed_answers = 0;
            self.answer_confirmed_at = Some(now);
        } else if self.report_proven || is_newest {
            self.record_missed_answer();
        }
    }

    /// Records that the newest report does not show the token of the newest answer.
    fn record_missed_answer(&mut self) {
        self.missed_answers += 1;
        if self.report_proven {
            self.answered_at = self.answered_before_token;
        } else if self.answered_token == self.token() {
            // The agent may have been restarted without this controller noticing it. The next
            // answer carries a token that its earlier incarnation cannot have seen.
            self.raise_required_token(TokenRaise::AnswerMissed);
        }
    }

    /// Records whether the newest report is proved to be sent by the agent's present incarnation.
    /// An answer to a call of this controller always is.
    pub fn set_report_proven(&mut self, proven: bool) {
        self.report_proven = proven;
        if proven {
            self.proven_token = self.fencing_token;
            self.outstanding.settle_pushes_below(self.fencing_token);
        }
    }

    /// Whether a report that shows this token cannot be from the same incarnation as the newest
    /// proven report. One of the two incarnations has then ended.
    pub fn contradicts_token(&self, fencing_token: u64) -> bool {
        fencing_token < self.proven_token
    }

    /// Records that a report of the agent is answered with these commands. Returns the token for
    /// the answer.
    pub fn record_answer(&mut self, commands: &[Command], now: Instant) -> u64 {
        self.outstanding.record_answer(commands);
        let token = self.token();
        if self.answered_token != token {
            self.answered_token = token;
            self.answered_before_token = self.answered_at;
        }
        self.answered_at = Some(now);
        token
    }

    /// Records whether the newest report came late (`away`: the agent was silent for longer than
    /// its interval between two reports), and whether the agent's lease expired (`lease_expired`)
    /// although its reports are answered.
    ///
    /// After a short partition an agent reports at its usual interval again. If this agent does
    /// not, the token is raised, so that its reports show whether answers reach it.
    pub fn observe_report_timing(&mut self, away: bool, lease_expired: bool) {
        self.late_reports = if away { self.late_reports + 1 } else { 0 };
        if (self.late_reports > 1 || lease_expired) && self.confirmed() {
            self.raise_required_token(TokenRaise::ReportsLate);
        }
    }

    /// Whether the agent's reports show that answers do not reach it. A single lost answer is
    /// not enough.
    pub fn answers_are_lost(&self) -> bool {
        self.missed_answers >= MISSED_ANSWERS_UNTIL_LOST
    }

    /// Whether all tasks on the machine have ended because its agent's lease has expired.
    ///
    /// `lease` and `cancel` already include a margin for clock drift. Another controller may
    /// have owned the machine before this grant and answered its agent, at the latest
    /// `cancel - lease` after that controller last saw the store.
    pub fn lease_expired(&self, now: Instant, lease: Duration, cancel: Duration) -> bool {
        let last_renewal = self.answered_at.max(self.pushed_at);
        let expires_at = last_renewal.map_or(Duration::ZERO, |at| at + lease);
        now > expires_at.max(self.owned_since + cancel)
    }

    /// Whether the agent must not be answered until its lease has expired.
    ///
    /// This is the case if answers do not reach the agent, and none has reached it under this
    /// grant or since its restart. Its lease may then have expired, and only the passing of time
    /// can prove that it has. Once no earlier owner can answer the agent any more, this
    /// controller does not either, until its own earlier answers cannot have kept the lease
    /// alive.
    pub fn must_await_lease_expiry(&self, now: Instant, lease: Duration, cancel: Duration) -> bool {
        let earlier_owners_until = self.owned_since + cancel.saturating_sub(lease);
        self.answers_are_lost()
            && !self.token_confirmed
            && now > earlier_owners_until
            && !self.lease_expired(now, lease, cancel)
    }
}
