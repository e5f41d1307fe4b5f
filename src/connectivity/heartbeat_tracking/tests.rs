//! Which messages of a worker count as new, and which as delayed copies or a restart.

use super::*;

fn s(x: u64) -> Instant {
    Duration::from_secs(x)
}

/// Delayed copies of its heartbeats made a dead machine look alive.
#[test]
fn a_delayed_copy_does_not_prove_a_machine_alive() {
    let mut tracker = HeartbeatTracker::default();
    assert_eq!(tracker.record_heartbeat("m", (1, 5), s(1)), Freshness::First);
    assert!(tracker.alive_at("m").is_none(), "the first message may be a copy too");
    assert_eq!(tracker.record_heartbeat("m", (1, 6), s(3)), Freshness::New);
    for age in [1, 18, 54] {
        assert_eq!(tracker.record_heartbeat("m", (1, 6), s(3 + age)), Freshness::NotNewer);
        assert_eq!(tracker.record_heartbeat("m", (1, 2), s(3 + age)), Freshness::NotNewer);
    }
    assert_eq!(tracker.alive_at("m"), Some(s(3)));
}

/// After a shard was reassigned, its new owner knows from the heartbeats of the previous one
/// what that received. A copy of such a message is not new.
#[test]
fn what_another_controller_received_is_not_new() {
    let mut tracker = HeartbeatTracker::default();
    tracker.record_elsewhere("m", (2, 40), s(1));
    assert_eq!(tracker.record_heartbeat("m", (2, 39), s(2)), Freshness::NotNewer);
    assert_eq!(tracker.record_heartbeat("m", (2, 41), s(3)), Freshness::New);
}

/// A restarted machine was taken for a delayed copy of itself for a whole lease.
#[test]
fn a_restarted_machine_is_recognized_at_once() {
    let mut tracker = HeartbeatTracker::default();
    tracker.record_alive("m", (3, 90), s(1));
    assert_eq!(tracker.record_heartbeat("m", (1, 1), s(5)), Freshness::NotNewer);
    assert!(
        tracker.begin_probe("m", s(5), s(2))
            && !tracker.begin_probe("m", s(6), s(2))
            && tracker.begin_probe("m", s(7), s(2))
    );
    tracker.record_restart("m", (1, 2), s(5));
    // Another controller still reports what it received before the restart.
    tracker.record_elsewhere("m", (3, 90), s(4));
    assert_eq!(tracker.record_heartbeat("m", (1, 3), s(6)), Freshness::New);
}

/// Machines that no longer exist must not use memory forever.
#[test]
fn machines_without_a_record_are_forgotten() {
    let mut tracker = HeartbeatTracker::default();
    tracker.record_alive("kept", (1, 9), s(1));
    tracker.record_alive("gone", (1, 9), s(1));
    tracker.prune(s(100), s(20), |m| m == "kept");
    assert_eq!((tracker.newest_counters("kept"), tracker.newest_counters("gone")), ((1, 9), (0, 0)));
    assert_eq!(tracker.alive_machines().count(), 0);
}
