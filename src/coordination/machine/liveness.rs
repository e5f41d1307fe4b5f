//! What reports and answers prove about an agent: whether a report is of its present
//! incarnation, whether answers reach it, and when its lease has expired.

use super::Machine;
use crate::effects::Instant;
use std::time::Duration;

/// An agent counts as unreachable by answers once this many in a row did not reach it.
const UNREACHABLE_AFTER: u32 = 2;

impl Machine {
    /// A report by the agent's own call was applied; `news` if it was above the newest one
    /// known. The agent keeps one call in flight, so no answer to an earlier one reaches it
    /// any more: what it does not show by now it never had, and its lease was not renewed
    /// by it.
    ///
    /// A copy from before a restart may be above all that is known of an agent that is back,
    /// and show all that its present incarnation began with. It never shows our token. So
    /// until the agent has, what it does not show proves nothing about the lease, and is a
    /// reason to wait (`must_await_lease_expiry`).
    pub fn observe_report(&mut self, news: bool, now: Instant) {
        self.set_report_proven(self.confirmed() || news && self.ready);
        if self.answered_token <= self.fencing_token {
            self.missed_answers = 0;
            self.reached_at = Some(now);
        } else if self.sure || news {
            self.note_missed_answer();
        }
    }

    /// The newest report does not show the token of the newest answer.
    fn note_missed_answer(&mut self) {
        self.missed_answers += 1;
        if self.sure {
            self.answered_at = self.answered_before;
        } else if self.answered_token == self.token() {
            // The agent may also have been restarted unnoticed: the next answer carries a
            // token that its earlier incarnation cannot show.
            self.counter += 1;
        }
    }

    /// Records whether the newest report is proved to be the agent's own and of its present
    /// incarnation, as an answer to our own call is.
    pub fn set_report_proven(&mut self, sure: bool) {
        self.sure = sure;
        if sure {
            self.lowest_token = self.fencing_token;
        }
    }

    /// Whether a report that shows this token cannot be of the same incarnation as the
    /// newest report that was `sure`: one of the two incarnations is over.
    pub fn contradicts_token(&self, fencing_token: u64) -> bool {
        fencing_token < self.lowest_token
    }

    /// A report of the agent is answered. Returns the token for the answer.
    pub fn answer(&mut self, now: Instant) -> u64 {
        let token = self.token();
        if self.answered_token != token {
            self.answered_token = token;
            self.answered_before = self.answered_at;
        }
        self.answered_at = Some(now);
        token
    }

    /// Records whether the newest report came late (`away`: the agent was away for longer
    /// than between two reports), and whether the agent's lease expired (`lapsed`) although
    /// we answer it.
    ///
    /// An agent that was cut off for a while reports at its usual interval from then on. If
    /// this one does not, the token is raised, so that its reports tell whether answers
    /// reach it.
    pub fn observe_report_timing(&mut self, away: bool, lapsed: bool) {
        self.late_reports = if away { self.late_reports + 1 } else { 0 };
        if (self.late_reports > 1 || lapsed) && self.confirmed() {
            self.counter += 1;
        }
    }

    /// Whether reports come that show that answers do not reach the agent. One lost answer
    /// is not enough.
    pub fn answers_are_lost(&self) -> bool {
        self.missed_answers >= UNREACHABLE_AFTER
    }

    /// Whether everything on the machine has ended because its lease has expired.
    ///
    /// `lease` and `cancel` include a margin for clock drift already. Before the grant
    /// another controller may have answered the agent, at the latest `cancel - lease` after
    /// it last saw the store.
    pub fn lapsed(&self, now: Instant, lease: Duration, cancel: Duration) -> bool {
        let last_renewal = self.answered_at.max(self.pushed_at);
        let expires_at = last_renewal.map_or(Duration::ZERO, |at| at + lease);
        now > expires_at.max(self.owned_since + cancel)
    }

    /// Whether the agent must not be answered until its lease has expired.
    ///
    /// That is so while no answer reaches it and none did under this grant, or since its
    /// restart: then its lease may have expired, and only the time proves that it has. Once
    /// no earlier owner answers it any more we do not either, until our own answers cannot
    /// have kept the lease alive.
    pub fn must_await_lease_expiry(&self, now: Instant, lease: Duration, cancel: Duration) -> bool {
        let earlier_owners_until = self.owned_since + cancel.saturating_sub(lease);
        self.answers_are_lost() && !self.ready && now > earlier_owners_until && !self.lapsed(now, lease, cancel)
    }
}
