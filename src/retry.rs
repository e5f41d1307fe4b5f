//! When what failed is tried again: one policy for every call to the state
//! service and to the cloud. Callers name a purpose; pauses, jitter and the
//! breaker are decided here. How much may go at all is the business of the rate
//! limits, not of this.
//!
//! - After a failure a purpose pauses, up to twice as long with each further
//!   one, by full jitter: controllers that failed together come back apart.
//!   A write that fails alone, between answers to others, holds none back.
//! - Several failures in a row of whatever purposes open the breaker of that
//!   side. While it is open only probes go, one at a time, at their own pace.
//!   The first answer closes it and ends every pause: what waited for the side
//!   to be back waits no longer than for one probe.
//!
//! Invariant: a probe is never refused for longer than its own longest pause, so
//! a side that answers again is always noticed.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// What is asked, and so of whom.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// A lease at the state service.
    Lease,
    Renew,
    /// Pages of the first load.
    Load,
    Watch,
    /// The read that proves the view fresh.
    Barrier,
    Write,
    Catalog,
    List,
    Rent,
    Release,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    State,
    Cloud,
}

impl Purpose {
    pub fn side(self) -> Side {
        match self {
            Purpose::Lease | Purpose::Renew | Purpose::Load | Purpose::Watch | Purpose::Barrier | Purpose::Write => {
                Side::State
            }
            Purpose::Catalog | Purpose::List | Purpose::Rent | Purpose::Release => Side::Cloud,
        }
    }

    /// Goes while the breaker is open: cheap, and changes nothing by itself.
    fn probes(self) -> bool {
        matches!(
            self,
            Purpose::Lease | Purpose::Renew | Purpose::Load | Purpose::Barrier | Purpose::Catalog | Purpose::List
        )
    }
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Any answer that is a decision, a refusal of the request among them.
    Answered,
    /// Over a rate limit: this purpose pauses, the side is well.
    Limited,
    /// 503 or no answer.
    Failed,
}

/// So many failures in a row, and the side counts as away.
const OPENS_AFTER: u32 = 3;
/// Pauses double this many times at most.
const DOUBLINGS: u32 = 2;

#[derive(Debug, Clone, Copy, Default)]
struct State {
    failures: u32,
    not_before: Duration,
    /// Since the last summary.
    failed: u32,
}

#[derive(Debug)]
pub struct Retries {
    rng: SmallRng,
    /// The shortest pause by purpose.
    base: BTreeMap<Purpose, Duration>,
    state: BTreeMap<Purpose, State>,
    failures: BTreeMap<Side, u32>,
}

impl Retries {
    pub fn new(seed: u64, base: impl IntoIterator<Item = (Purpose, Duration)>) -> Retries {
        Retries {
            rng: SmallRng::seed_from_u64(seed),
            base: base.into_iter().collect(),
            state: BTreeMap::new(),
            failures: BTreeMap::new(),
        }
    }

    /// Whether the side of the purpose counts as away.
    pub fn is_open(&self, side: Side) -> bool {
        self.failures.get(&side).is_some_and(|n| *n >= OPENS_AFTER)
    }

    /// Whether a call for this purpose may go now.
    pub fn may(&self, purpose: Purpose, now: Duration) -> bool {
        let due = self.state.get(&purpose).is_none_or(|s| now >= s.not_before);
        due && (purpose.probes() || !self.is_open(purpose.side()))
    }

    /// Takes in how a call ended.
    pub fn ended(&mut self, purpose: Purpose, outcome: Outcome, now: Duration) {
        let side = purpose.side();
        if outcome == Outcome::Failed {
            *self.failures.entry(side).or_default() += 1;
            if self.failures[&side] == OPENS_AFTER {
                tracing::info!(?side, ?purpose, "does not answer, only probes go");
            }
        } else if self.failures.insert(side, 0).is_some_and(|n| n >= OPENS_AFTER) {
            tracing::info!(?side, "answers again");
            for (p, s) in &mut self.state {
                if p.side() == side {
                    (s.failures, s.not_before) = (0, now);
                }
            }
        }
        // Writes are many at a time: where one alone gets no answer, others do.
        let lone = purpose == Purpose::Write && outcome == Outcome::Failed && self.failures[&side] == 1;
        let base = self.base.get(&purpose).copied().unwrap_or_default();
        let s = self.state.entry(purpose).or_default();
        if outcome == Outcome::Answered {
            s.failures = 0;
            return;
        }
        s.failed += 1;
        let most = base * 2u32.pow(s.failures.min(DOUBLINGS));
        s.failures += 1;
        if lone {
            return;
        }
        // Half of it is certain, so that a loop of failures is never a flood.
        s.not_before = now + base / 2 + most.mul_f64(self.rng.random_range(0.0..1.0));
    }

    /// Failures by purpose since the last call.
    pub fn take_counts(&mut self) -> Vec<(Purpose, u32)> {
        let counts = self.state.iter_mut().map(|(p, s)| (*p, std::mem::take(&mut s.failed)));
        counts.filter(|(_, n)| *n > 0).collect()
    }
}

/// When clients that were refused may come back: each gets a place of its own in
/// what can be taken, so that a crowd that comes at once returns spread out.
#[derive(Debug, Default)]
pub struct Returns {
    /// The last place that was given away.
    last: Duration,
}

/// Places are given away this many times over: what is told is a time to come
/// back, not a seat that is kept, and places that go unused are lost. With each
/// given once, the last of a crowd was accepted after 24 s instead of 10 s
/// (simulated machines).
const OVERBOOKED: f64 = 4.0;
/// PROTOCOL: clients wait no longer than this, whatever they are told.
const LONGEST_S: u64 = 30;

impl Returns {
    /// Whole seconds, at least one, until the next free place; `rate` requests
    /// a second can be taken.
    pub fn after(&mut self, now: Duration, rate: f64) -> u32 {
        let soonest = now + Duration::from_secs(1);
        let longest = now + Duration::from_secs(LONGEST_S);
        let gap = Duration::from_secs_f64(1.0 / (rate * OVERBOOKED).max(1.0));
        self.last = (self.last.max(soonest) + gap).min(longest);
        self.last.saturating_sub(now).as_secs() as u32
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn s(x: f64) -> Duration {
        Duration::from_secs_f64(x)
    }

    fn retries(seed: u64) -> Retries {
        let all = [Purpose::Lease, Purpose::Barrier, Purpose::Write, Purpose::Rent, Purpose::List];
        Retries::new(seed, all.map(|p| (p, s(1.0))))
    }

    /// Seven controllers that an outage hit together wrote together again.
    #[test]
    fn pauses_grow_and_differ_between_controllers() {
        let pause = |seed, failures| {
            let mut r = retries(seed);
            (0..failures).for_each(|_| r.ended(Purpose::Write, Outcome::Limited, s(0.0)));
            r.state[&Purpose::Write].not_before.as_secs_f64()
        };
        let first: Vec<f64> = (0..7).map(|n| pause(n, 1)).collect();
        assert!(first.iter().all(|p| (0.5..1.5).contains(p)), "{first:?}");
        assert!(first.iter().any(|p| (p - first[0]).abs() > 0.1));
        assert!((0..200).any(|n| pause(n, 9) > 2.0) && (0..200).all(|n| pause(n, 99) <= 4.5));
    }

    /// An outage: one probe at a time, and no wait once it is over.
    #[test]
    fn the_breaker_lets_probes_through_and_closes_with_the_first_answer() {
        let mut r = retries(1);
        for _ in 0..OPENS_AFTER {
            r.ended(Purpose::Write, Outcome::Failed, s(0.0));
        }
        assert!(r.is_open(Side::State) && !r.is_open(Side::Cloud));
        assert!(!r.may(Purpose::Write, s(60.0)), "a write is no probe");
        assert!(r.may(Purpose::Barrier, s(0.0)) && r.may(Purpose::Lease, s(0.0)));
        r.ended(Purpose::Barrier, Outcome::Failed, s(0.0));
        assert!(!r.may(Purpose::Barrier, s(0.4)) && r.may(Purpose::Barrier, s(1.5)));
        r.ended(Purpose::Barrier, Outcome::Answered, s(0.1));
        assert!(!r.is_open(Side::State) && r.may(Purpose::Write, s(0.1)), "waits on though it answers");
    }

    /// After a start a thousand users came back after one second, all of them.
    #[test]
    fn a_crowd_gets_spread_retry_after_times() {
        let mut r = Returns::default();
        let told: Vec<u32> = (0..4000).map(|_| r.after(s(5.0), 50.0)).collect();
        assert_eq!((told[0], told[198], told[2000]), (1, 1, 11));
        assert!(told.windows(2).all(|w| w[0] <= w[1]) && told.iter().max() <= Some(&30));
        assert_eq!(r.after(s(60.0), 50.0), 1, "the crowd is gone");
    }

    /// A quarter of all writes got no answer: all others would have waited most of the time.
    #[test]
    fn a_write_that_fails_alone_holds_no_other_back() {
        let mut r = retries(1);
        for n in 0..20 {
            r.ended(Purpose::Write, Outcome::Failed, s(f64::from(n)));
            assert!(r.may(Purpose::Write, s(f64::from(n))));
            r.ended(Purpose::Write, Outcome::Answered, s(f64::from(n)));
        }
        r.ended(Purpose::Write, Outcome::Failed, s(30.0));
        r.ended(Purpose::Write, Outcome::Failed, s(30.0));
        assert!(!r.may(Purpose::Write, s(30.1)), "two in a row are no chance");
    }

    /// Writes over the limit are no outage: reads and renewals go on.
    #[test]
    fn limits_and_refusals_open_nothing() {
        let mut r = retries(1);
        for _ in 0..20 {
            r.ended(Purpose::Write, Outcome::Limited, s(0.0));
            r.ended(Purpose::Rent, Outcome::Answered, s(0.0));
        }
        assert!(!r.is_open(Side::State) && !r.is_open(Side::Cloud));
        assert!(!r.may(Purpose::Write, s(0.1)) && r.may(Purpose::Lease, s(0.0)) && r.may(Purpose::Rent, s(0.0)));
        assert_eq!(r.take_counts(), vec![(Purpose::Write, 20)]);
        assert!(r.take_counts().is_empty());
    }
}
