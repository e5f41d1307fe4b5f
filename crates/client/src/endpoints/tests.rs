//! Tests of the choice of the controller for the next call.

use super::*;

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

fn three_endpoints() -> Endpoints {
    Endpoints::new((1..=3).map(|i| SocketAddr::from(([127, 0, 0, i], 8080))))
}

/// Guards the balance of load between controllers that all serve their calls.
#[test]
fn calls_spread_over_controllers() {
    let mut endpoints = three_endpoints();
    let mut picked: Vec<usize> = (0..3).map(|random| endpoints.pick(seconds(0.0), random).0).collect();
    picked.sort_unstable();
    assert_eq!(picked, [0, 1, 2]);
}

/// One dead controller of three must not get a third of all calls, and a controller that
/// refused a call must not be picked again immediately.
#[test]
fn failing_controllers_are_avoided() {
    let mut endpoints = three_endpoints();
    let (first, _) = endpoints.pick(seconds(0.0), 0);
    endpoints.record(first, seconds(0.1), CallOutcome::Refused);
    for random in 0..20 {
        let (index, _) = endpoints.pick(seconds(1.0), random);
        assert_ne!(index, first);
        endpoints.record(index, seconds(1.0), CallOutcome::Served);
    }
    for _ in 0..FAILURES_BEFORE_BACKOFF {
        endpoints.record(first, seconds(2.0), CallOutcome::Unanswered);
    }
    assert!((0..9).all(|random| endpoints.pick(seconds(4.0), random).0 != first));
    let mut endpoints = three_endpoints();
    (0..3).for_each(|index| {
        let now = seconds(1.0 + index as f64);
        (0..FAILURES_BEFORE_BACKOFF).for_each(|_| endpoints.record(index, now, CallOutcome::Unanswered));
    });
    assert_eq!(endpoints.pick(seconds(3.5), 1).0, 0, "if all are in backoff, the one whose backoff ends first");
}
