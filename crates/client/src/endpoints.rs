//! Choice of the controller for the next call: one that has not failed recently and has few
//! calls in flight. The code is deterministic; the time and a random number are arguments.

#![warn(missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;

/// Number of consecutive unanswered calls after which a controller is in backoff.
const FAILURES_BEFORE_BACKOFF: u32 = 3;
/// Time that a controller is in backoff, and for which one failed call makes it less
/// preferred.
const BACKOFF: Duration = Duration::from_secs(3);

/// Outcome of a call, as far as it matters for the choice of the next controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The controller carried out the request or refused it for good.
    Served,
    /// The controller responded that it could not serve the request now.
    Refused,
    /// No complete response arrived.
    Unanswered,
}

/// A controller's address and the outcomes of its recent calls.
#[derive(Debug)]
struct Endpoint {
    address: SocketAddr,
    /// Number of calls that have not ended.
    in_flight: u32,
    /// Number of consecutive unanswered calls.
    failures: u32,
    /// When the last call ended, if it was not served; `None` if it was served.
    unserved_at: Option<Duration>,
    /// End of the backoff; in the past if the controller is not in backoff.
    backoff_until: Duration,
}

impl Endpoint {
    fn new(address: SocketAddr) -> Endpoint {
        Endpoint { address, in_flight: 0, failures: 0, unserved_at: None, backoff_until: Duration::ZERO }
    }
}

/// All controllers that a client knows, with the outcomes of their recent calls.
#[derive(Debug)]
pub struct Endpoints {
    endpoints: Vec<Endpoint>,
}

impl Endpoints {
    /// Creates endpoints without any calls so far.
    pub fn new(addresses: impl IntoIterator<Item = SocketAddr>) -> Endpoints {
        Endpoints { endpoints: addresses.into_iter().map(Endpoint::new).collect() }
    }

    /// Whether the list of controllers is empty.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Picks a controller, counts a call to it as in flight, and returns its index and
    /// address. A controller in backoff is picked only if all are in backoff; then it is the
    /// one whose backoff ends first. Of the others, those whose last call did not fail
    /// recently come first, then those whose failure is oldest, and of these the one with
    /// the fewest calls in flight. `random` breaks ties.
    pub fn pick(&mut self, now: Duration, random: u32) -> (usize, SocketAddr) {
        let count = self.endpoints.len();
        let rank = |index: usize| {
            let endpoint = &self.endpoints[index];
            let remaining_backoff = endpoint.backoff_until.saturating_sub(now);
            let recent_failure = endpoint.unserved_at.filter(|at| now.saturating_sub(*at) < BACKOFF);
            (remaining_backoff, recent_failure, endpoint.in_flight, (index + random as usize) % count)
        };
        let index = (0..count).min_by_key(|index| rank(*index)).unwrap_or(0);
        self.endpoints[index].in_flight += 1;
        (index, self.endpoints[index].address)
    }

    /// Records the outcome of a call to the controller at `index`.
    pub fn record(&mut self, index: usize, now: Duration, outcome: CallOutcome) {
        let endpoint = &mut self.endpoints[index];
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        endpoint.unserved_at = (outcome != CallOutcome::Served).then_some(now);
        endpoint.failures = if outcome == CallOutcome::Unanswered { endpoint.failures + 1 } else { 0 };
        if endpoint.failures >= FAILURES_BEFORE_BACKOFF {
            endpoint.failures = 0;
            endpoint.backoff_until = now + BACKOFF;
        }
    }
}

#[cfg(test)]
mod tests;
