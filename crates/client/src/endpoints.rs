//! Which controller the next call goes to: one with few calls under way that
//! has not just failed. Pure; the time and the luck come in.

use std::net::SocketAddr;
use std::time::Duration;

/// Failures in a row after which a controller is left out for a while.
const FAILURES: u32 = 3;
/// How long it is left out.
const LEFT_OUT: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Endpoint {
    address: SocketAddr,
    under_way: u32,
    /// Calls in a row without any answer.
    failures: u32,
    /// When the last call was not served, for whatever reason.
    unserved_at: Option<Duration>,
    out_until: Duration,
}

#[derive(Debug)]
pub struct Endpoints {
    list: Vec<Endpoint>,
}

impl Endpoints {
    pub fn new(addresses: impl IntoIterator<Item = SocketAddr>) -> Endpoints {
        let one =
            |address| Endpoint { address, under_way: 0, failures: 0, unserved_at: None, out_until: Duration::ZERO };
        Endpoints { list: addresses.into_iter().map(one).collect() }
    }

    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Picks a controller and counts a call to it. Left-out ones serve only
    /// where all are; of the rest, whoever failed longest ago and is least busy.
    pub fn pick(&mut self, now: Duration, luck: u32) -> (usize, SocketAddr) {
        let n = self.list.len();
        let rank = |i: usize| {
            let e = &self.list[i];
            let out = e.out_until.saturating_sub(now);
            // A refusal counts for as long as a left-out pause lasts.
            let refused = e.unserved_at.filter(|t| now.saturating_sub(*t) < LEFT_OUT);
            (out, refused, e.under_way, (i + luck as usize) % n)
        };
        let index = (0..n).min_by_key(|i| rank(*i)).unwrap_or(0);
        self.list[index].under_way += 1;
        (index, self.list[index].address)
    }

    /// A call ended: whether it was served, and whether anything answered.
    pub fn note(&mut self, index: usize, now: Duration, served: bool, answered: bool) {
        let e = &mut self.list[index];
        e.under_way = e.under_way.saturating_sub(1);
        e.unserved_at = (!served).then_some(now);
        e.failures = if answered { 0 } else { e.failures + 1 };
        if e.failures >= FAILURES {
            e.failures = 0;
            e.out_until = now + LEFT_OUT;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn s(x: f64) -> Duration {
        Duration::from_secs_f64(x)
    }

    fn three() -> Endpoints {
        Endpoints::new((1..=3).map(|i| SocketAddr::from(([127, 0, 0, i], 8080))))
    }

    #[test]
    fn calls_spread_over_controllers() {
        let mut e = three();
        let mut seen: Vec<usize> = (0..3).map(|luck| e.pick(s(0.0), luck).0).collect();
        seen.sort_unstable();
        assert_eq!(seen, [0, 1, 2]);
    }

    /// A dead controller must not take a third of all calls, and one that
    /// refused once must not be asked first again at once.
    #[test]
    fn failing_controllers_are_avoided_and_come_back() {
        let mut e = three();
        let (first, _) = e.pick(s(0.0), 0);
        e.note(first, s(0.1), false, true);
        for luck in 0..20 {
            let (i, _) = e.pick(s(1.0), luck);
            assert_ne!(i, first);
            e.note(i, s(1.0), true, true);
        }
        for _ in 0..FAILURES {
            e.note(first, s(2.0), false, false);
        }
        assert!((0..9).all(|luck| e.pick(s(4.0), luck).0 != first));
        let mut e = three();
        (0..3).for_each(|i| (0..FAILURES).for_each(|_| e.note(i, s(1.0 + i as f64), false, false)));
        assert_eq!(e.pick(s(3.5), 1).0, 0, "where all are left out, the one that is back soonest");
    }
}
