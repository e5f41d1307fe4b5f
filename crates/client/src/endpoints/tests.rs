//! Tests of the choice of a controller.

use super::*;

fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

fn three() -> Endpoints {
    Endpoints::new((1..=3).map(|i| SocketAddr::from(([127, 0, 0, i], 8080))))
}

/// Guards the balance of load between controllers that all serve.
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
    e.record(first, s(0.1), CallOutcome::Refused);
    for luck in 0..20 {
        let (i, _) = e.pick(s(1.0), luck);
        assert_ne!(i, first);
        e.record(i, s(1.0), CallOutcome::Served);
    }
    for _ in 0..FAILURES {
        e.record(first, s(2.0), CallOutcome::Unanswered);
    }
    assert!((0..9).all(|luck| e.pick(s(4.0), luck).0 != first));
    let mut e = three();
    (0..3).for_each(|i| (0..FAILURES).for_each(|_| e.record(i, s(1.0 + i as f64), CallOutcome::Unanswered)));
    assert_eq!(e.pick(s(3.5), 1).0, 0, "where all are left out, the one that is back soonest");
}
