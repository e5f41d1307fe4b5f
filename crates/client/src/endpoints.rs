//! Which controller the next call goes to: one with few calls in flight that
//! has not just failed. Pure: the time and the random number are arguments.

use std::net::SocketAddr;
use std::time::Duration;

/// Failures in a row after which a controller is left out for a while.
const FAILURES: u32 = 3;
/// How long it is left out, and how long a refusal counts against it.
const BACKOFF: Duration = Duration::from_secs(3);

/// How a call ended, as far as the choice of the next controller goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The controller carried out the request or refused it for good.
    Served,
    /// The controller answered that it could not serve the request now.
    Refused,
    /// No complete answer arrived.
    Unanswered,
}

/// A controller's address and how its last calls went.
#[derive(Debug)]
struct Endpoint {
    address: SocketAddr,
    /// Calls that have not ended.
    in_flight: u32,
    /// Calls in a row without any answer.
    failures: u32,
    /// When the last call was not served, for whatever reason.
    unserved_at: Option<Duration>,
    backoff_until: Duration,
}

impl Endpoint {
    fn new(address: SocketAddr) -> Endpoint {
        Endpoint { address, in_flight: 0, failures: 0, unserved_at: None, backoff_until: Duration::ZERO }
    }
}

/// All controllers that a client knows.
#[derive(Debug)]
pub struct Endpoints {
    list: Vec<Endpoint>,
}

impl Endpoints {
    /// Endpoints that have served no call yet.
    pub fn new(addresses: impl IntoIterator<Item = SocketAddr>) -> Endpoints {
        Endpoints { list: addresses.into_iter().map(Endpoint::new).collect() }
    }

    /// Whether there is no controller at all.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Picks a controller and counts a call to it. Left-out ones serve only
    /// where all are; of the rest, whoever failed longest ago and is least busy.
    pub fn pick(&mut self, now: Duration, luck: u32) -> (usize, SocketAddr) {
        let count = self.list.len();
        let rank = |index: usize| {
            let endpoint = &self.list[index];
            let backoff = endpoint.backoff_until.saturating_sub(now);
            let refused = endpoint.unserved_at.filter(|at| now.saturating_sub(*at) < BACKOFF);
            (backoff, refused, endpoint.in_flight, (index + luck as usize) % count)
        };
        let index = (0..count).min_by_key(|i| rank(*i)).unwrap_or(0);
        self.list[index].in_flight += 1;
        (index, self.list[index].address)
    }

    /// Records how a call to the controller at `index` ended.
    pub fn record(&mut self, index: usize, now: Duration, outcome: CallOutcome) {
        let endpoint = &mut self.list[index];
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        endpoint.unserved_at = (outcome != CallOutcome::Served).then_some(now);
        endpoint.failures = if outcome == CallOutcome::Unanswered { endpoint.failures + 1 } else { 0 };
        if endpoint.failures >= FAILURES {
            endpoint.failures = 0;
            endpoint.backoff_until = now + BACKOFF;
        }
    }
}

#[cfg(test)]
mod tests;
