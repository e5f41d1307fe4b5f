//! How often reads of one kind go to the state service: one in a gap over time, and
//! after a rest several at once, as many as were saved up. Virtual scheduling: all
//! that is kept is the time at which the next read would be due at an even pace.
//!
//! Invariant: over any time `t` no more than `burst + t / gap` reads go.

use crate::effects::Instant;
use std::time::Duration;

#[derive(Debug)]
pub struct Pace {
    gap: Duration,
    /// Reads may go so much earlier than an even pace would have them.
    early: Duration,
    due: Instant,
}

impl Pace {
    /// `burst`: reads that may go at once after a rest; at least one.
    pub fn new(gap: Duration, burst: f64) -> Pace {
        Pace { gap, early: gap.mul_f64((burst - 1.0).max(0.0)), due: Duration::ZERO }
    }

    /// Whether a read may go now.
    pub fn may(&self, now: Instant) -> bool {
        now + self.early >= self.due
    }

    /// A read goes now.
    pub fn take(&mut self, now: Instant) {
        self.due = self.due.max(now) + self.gap;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(x: u64) -> Duration {
        Duration::from_millis(x)
    }

    /// A start read the stored state at the pace of a long day, with a store that had
    /// nothing else to do: it was blind for seconds.
    #[test]
    fn what_was_saved_up_goes_at_once_and_then_the_pace_holds() {
        let mut p = Pace::new(ms(100), 4.0);
        let mut at = Vec::new();
        for t in 0..1000 {
            while p.may(ms(t)) {
                p.take(ms(t));
                at.push(t);
            }
        }
        assert_eq!(at[..6], [0, 0, 0, 0, 100, 200]);
        assert_eq!(at.len(), 4 + 9, "no more than the burst and the even pace together");
        // A rest saves up the burst again, and never more.
        (0..4).for_each(|_| {
            assert!(p.may(ms(9000)));
            p.take(ms(9000));
        });
        assert!(!p.may(ms(9000)) && p.may(ms(9100)));
    }

    #[test]
    fn without_a_burst_reads_keep_their_distance() {
        let mut p = Pace::new(ms(100), 0.3);
        assert!(p.may(ms(0)));
        p.take(ms(0));
        assert!(!p.may(ms(99)) && p.may(ms(100)));
    }
}
