//! What machines said last, to this controller and by the beats of the others, and
//! so whether a report is news or may be a copy of an older one.
//!
//! A network that doubles packets, or holds them back, delivers reports from seconds
//! to well over a lease late. Such a copy looks like a machine that lives. What it is
//! worth is told by `(shift, tally)`, which grow with every message of a worker:
//!
//! - above the newest known, it is news;
//! - where nothing is known yet, it may be anything: answered, but not counted as
//!   heard until the worker says more;
//! - else it is a copy, or the machine came back from its end with its counters begun
//!   anew. Only the worker's own answer to a call tells those two apart.

use crate::effects::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// `(shift, tally)` of a worker's message.
pub type At = (u64, u64);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// Newer than all that is known of the machine.
    New,
    /// Nothing was known of it.
    First,
    /// A copy, or the machine began anew.
    Old,
}

#[derive(Debug, Default)]
struct Seen {
    at: At,
    /// When it last spoke to this controller, and was shown to live.
    heard: Option<Instant>,
    /// When it is known to have begun anew: what others heard before is of no use.
    began: Option<Instant>,
    /// When it was last called to tell a copy from a new beginning.
    called: Option<Instant>,
}

#[derive(Debug, Default)]
pub struct Hearing {
    seen: BTreeMap<String, Seen>,
}

impl Hearing {
    /// A report came here.
    pub fn report(&mut self, machine: &str, at: At, now: Instant) -> News {
        let Some(s) = self.seen.get_mut(machine) else {
            self.seen.insert(machine.to_string(), Seen { at, ..Seen::default() });
            return News::First;
        };
        if at <= s.at {
            return News::Old;
        }
        s.at = at;
        s.heard = Some(now);
        News::New
    }

    /// The machine lives: it showed our token, or answered a call.
    pub fn proved(&mut self, machine: &str, at: At, now: Instant) {
        let s = self.seen.entry(machine.to_string()).or_default();
        s.at = s.at.max(at);
        s.heard = Some(now);
    }

    /// It answered our call with counters below those that were known when we called.
    pub fn begins_anew(&mut self, machine: &str, at: At, now: Instant) {
        let s = self.seen.entry(machine.to_string()).or_default();
        *s = Seen { at, heard: Some(now), began: Some(now), called: s.called };
    }

    /// Another controller heard it say this at `when`.
    pub fn told(&mut self, machine: &str, at: At, when: Instant) {
        let s = self.seen.entry(machine.to_string()).or_default();
        if s.began.is_none_or(|t| when > t) {
            s.at = s.at.max(at);
        }
    }

    /// Whether it may be called now, which is noted.
    pub fn may_call(&mut self, machine: &str, now: Instant, every: Duration) -> bool {
        let s = self.seen.entry(machine.to_string()).or_default();
        let may = s.called.is_none_or(|t| now.saturating_sub(t) >= every);
        if may {
            s.called = Some(now);
        }
        may
    }

    /// The newest that is known of it.
    pub fn newest(&self, machine: &str) -> At {
        self.seen.get(machine).map_or((0, 0), |s| s.at)
    }

    /// When it last spoke to this controller, of late.
    pub fn heard(&self, machine: &str) -> Option<Instant> {
        self.seen.get(machine)?.heard
    }

    /// All that spoke to this controller of late: when, and what counters they showed.
    pub fn all(&self) -> impl Iterator<Item = (&str, Instant, At)> {
        self.seen.iter().filter_map(|(m, s)| Some((m.as_str(), s.heard?, s.at)))
    }

    /// Forgets who was heard longer ago than `keep`, and all that is known of machines
    /// that are neither recorded nor heard.
    pub fn prune(&mut self, now: Instant, keep: Duration, recorded: impl Fn(&str) -> bool) {
        let late = |t: Option<Instant>| t.is_some_and(|t| now.saturating_sub(t) < keep);
        self.seen.retain(|m, s| {
            s.heard = s.heard.filter(|t| late(Some(*t)));
            s.heard.is_some() || late(s.called) || recorded(m)
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn s(x: u64) -> Instant {
        Duration::from_secs(x)
    }

    /// A copy kept a dead machine alive for as long as copies came.
    #[test]
    fn a_copy_of_any_age_is_not_heard() {
        let mut h = Hearing::default();
        assert_eq!(h.report("m", (1, 5), s(1)), News::First);
        assert!(h.heard("m").is_none(), "the first that comes may be a copy too");
        assert_eq!(h.report("m", (1, 6), s(3)), News::New);
        for age in [1, 18, 54] {
            assert_eq!(h.report("m", (1, 6), s(3 + age)), News::Old);
            assert_eq!(h.report("m", (1, 2), s(3 + age)), News::Old);
        }
        assert_eq!(h.heard("m"), Some(s(3)));
    }

    /// A block that moved: what its owner before heard is known from its beats.
    #[test]
    fn what_others_heard_makes_a_copy_old() {
        let mut h = Hearing::default();
        h.told("m", (2, 40), s(1));
        assert_eq!(h.report("m", (2, 39), s(2)), News::Old);
        assert_eq!(h.report("m", (2, 41), s(3)), News::New);
    }

    /// A machine back from its end was taken for a copy of itself for a whole lease.
    #[test]
    fn a_machine_that_began_anew_is_heard_at_once() {
        let mut h = Hearing::default();
        h.proved("m", (3, 90), s(1));
        assert_eq!(h.report("m", (1, 1), s(5)), News::Old);
        assert!(h.may_call("m", s(5), s(2)) && !h.may_call("m", s(6), s(2)) && h.may_call("m", s(7), s(2)));
        h.begins_anew("m", (1, 2), s(5));
        // Another controller still tells of what it heard before.
        h.told("m", (3, 90), s(4));
        assert_eq!(h.report("m", (1, 3), s(6)), News::New);
    }

    #[test]
    fn only_recorded_machines_are_remembered() {
        let mut h = Hearing::default();
        h.proved("kept", (1, 9), s(1));
        h.proved("gone", (1, 9), s(1));
        h.prune(s(100), s(20), |m| m == "kept");
        assert_eq!((h.newest("kept"), h.newest("gone")), ((1, 9), (0, 0)));
        assert_eq!(h.all().count(), 0);
    }
}
