//! Which messages of a worker count as new, delayed copies or a restart.

use super::*;

fn s(x: u64) -> Instant {
    Duration::from_secs(x)
}

/// Delayed copies made a dead machine look alive for as long as they came.
#[test]
fn a_delayed_copy_does_not_prove_a_machine_alive() {
    let mut tracker = HeartbeatTracker::default();
    assert_eq!(tracker.report("m", (1, 5), s(1)), Freshness::First);
    assert!(tracker.heard("m").is_none(), "the first that comes may be a copy too");
    assert_eq!(tracker.report("m", (1, 6), s(3)), Freshness::New);
    for age in [1, 18, 54] {
        assert_eq!(tracker.report("m", (1, 6), s(3 + age)), Freshness::Old);
        assert_eq!(tracker.report("m", (1, 2), s(3 + age)), Freshness::Old);
    }
    assert_eq!(tracker.heard("m"), Some(s(3)));
}

/// After a shard was reassigned: what its previous owner received is known from its
/// heartbeats, and a copy of that is not new.
#[test]
fn what_another_controller_received_is_not_new() {
    let mut tracker = HeartbeatTracker::default();
    tracker.heard_elsewhere("m", (2, 40), s(1));
    assert_eq!(tracker.report("m", (2, 39), s(2)), Freshness::Old);
    assert_eq!(tracker.report("m", (2, 41), s(3)), Freshness::New);
}

/// A restarted machine was taken for a delayed copy of itself for a whole lease.
#[test]
fn a_restarted_machine_is_recognized_at_once() {
    let mut tracker = HeartbeatTracker::default();
    tracker.proved("m", (3, 90), s(1));
    assert_eq!(tracker.report("m", (1, 1), s(5)), Freshness::Old);
    assert!(
        tracker.may_call("m", s(5), s(2)) && !tracker.may_call("m", s(6), s(2)) && tracker.may_call("m", s(7), s(2))
    );
    tracker.agent_restarted("m", (1, 2), s(5));
    // Another controller still reports what it received before.
    tracker.heard_elsewhere("m", (3, 90), s(4));
    assert_eq!(tracker.report("m", (1, 3), s(6)), Freshness::New);
}

/// Memory must not grow with every machine that ever existed.
#[test]
fn machines_without_a_record_are_forgotten() {
    let mut tracker = HeartbeatTracker::default();
    tracker.proved("kept", (1, 9), s(1));
    tracker.proved("gone", (1, 9), s(1));
    tracker.prune(s(100), s(20), |m| m == "kept");
    assert_eq!((tracker.newest("kept"), tracker.newest("gone")), ((1, 9), (0, 0)));
    assert_eq!(tracker.all().count(), 0);
}
