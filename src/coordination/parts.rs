//! Parts of a team's limit that one controller takes without changing the
//! team's record.
//!
//! A start that changes the record excludes all others, which is needed only
//! where the limit is near: with a record that every start changes, the starts
//! of all controllers refuse each other. While no more than half of the limit is
//! in use, as a fresh view has it, each of n controllers may therefore take up
//! to an n-th of the other half by starts that only look at the record. What
//! others may not see yet, because it is under way or younger than two views'
//! age, counts against that part; so all together stay within the limit. Where
//! that is not enough the record is made strict first: that change refuses all
//! starts that looked at the version before, and whoever sees it sees all starts
//! that were carried out before it.

use crate::effects::Instant;
use crate::state::Resources;
use std::collections::VecDeque;
use std::time::Duration;

#[derive(Debug, Default)]
pub struct Parts {
    /// Not answered yet.
    open: Resources,
    /// Without an answer: may be carried out at any later time, until the
    /// record changes.
    unknown: Resources,
    /// Carried out of late.
    recent: VecDeque<(Instant, Resources)>,
}

/// What a team uses of its limit, of which 0 is none, and the limit.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    pub used: f64,
    pub max: f64,
}

impl Parts {
    /// Whether `need` may be taken by a start that only looks at the record.
    /// Views are at most `age` old when starts are planned.
    pub fn allow(
        &mut self,
        need: Resources,
        cpus: Limit,
        gpus: Limit,
        controllers: usize,
        now: Instant,
        age: Duration,
    ) -> bool {
        while self.recent.front().is_some_and(|(t, _)| now.saturating_sub(*t) > age * 2) {
            self.recent.pop_front();
        }
        let taken = |f: fn(&Resources) -> f64| -> f64 {
            f(&self.open) + f(&self.unknown) + self.recent.iter().map(|r| f(&r.1)).sum::<f64>()
        };
        let within = |l: Limit, taken: f64| {
            l.max <= 0.0 || (l.used <= l.max / 2.0 && taken <= l.max / 2.0 / controllers.max(1) as f64)
        };
        within(cpus, taken(|a| a.cores) + need.cores) && within(gpus, taken(|a| a.gpus) + need.gpus)
    }

    pub fn sent(&mut self, amounts: Resources) {
        self.open.plus(amounts, 1.0);
    }

    /// `carried_out` is unknown where there was no answer.
    pub fn answered(&mut self, amounts: Resources, carried_out: Option<bool>, now: Instant) {
        self.open.plus(amounts, -1.0);
        match carried_out {
            Some(true) => self.recent.push_back((now, amounts)),
            Some(false) => {}
            None => self.unknown.plus(amounts, 1.0),
        }
    }

    /// The record was changed: what was sent before is refused from now on.
    pub fn record_changed(&mut self) {
        self.unknown = Resources::default();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NONE: Limit = Limit { used: 0.0, max: 0.0 };

    fn gpus(n: f64) -> Resources {
        Resources { gpus: n, ..Resources::default() }
    }

    /// Each start of a team with a limit far above its use changed the team's
    /// record, and the starts of five controllers refused each other.
    #[test]
    fn parts_add_up_to_the_limit_at_most() {
        let s = Duration::from_secs;
        let of = |used| Limit { used, max: 40.0 };
        let mut p = Parts::default();
        assert!(p.allow(gpus(4.0), NONE, of(20.0), 5, s(1), s(6)));
        assert!(!p.allow(gpus(4.1), NONE, of(20.0), 5, s(1), s(6)), "more than a fifth of the half");
        assert!(!p.allow(gpus(1.0), NONE, of(20.1), 5, s(1), s(6)), "more than half is in use");
        p.sent(gpus(3.0));
        assert!(!p.allow(gpus(2.0), NONE, of(0.0), 5, s(1), s(6)), "under way");
        p.answered(gpus(3.0), Some(true), s(2));
        assert!(!p.allow(gpus(2.0), NONE, of(3.0), 5, s(14), s(6)), "others may not see it yet");
        assert!(p.allow(gpus(2.0), NONE, of(3.0), 5, s(15), s(6)));
        p.sent(gpus(3.0));
        p.answered(gpus(3.0), None, s(20));
        assert!(!p.allow(gpus(2.0), NONE, of(0.0), 5, s(900), s(6)), "may still be carried out");
        p.record_changed();
        assert!(p.allow(gpus(2.0), NONE, of(0.0), 5, s(901), s(6)));
    }
}
