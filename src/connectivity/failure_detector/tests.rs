//! How strongly silent, late and slow senders are suspected.

use super::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

/// The heartbeats of a process under load are sometimes late by half an interval. At a
/// suspicion level of 3, its silence is detected within three intervals, and ten thousand
/// heartbeats raise at most three false alarms.
#[test]
fn silence_is_detected_and_lateness_raises_few_false_alarms() {
    let mut rng = StdRng::seed_from_u64(5);
    let (mut detector, mut now, mut alarms) = (FailureDetector::new(s(4.0)), 0.0, 0);
    for _ in 0..10_000 {
        let late = if rng.random_bool(0.05) { rng.random_range(0.0..2.0) } else { 0.0 };
        now += 4.0 + rng.random_range(-0.05..0.05) + late;
        alarms += u32::from(detector.suspicion(s(now)) > 3.0);
        detector.heartbeat(s(now));
    }
    assert!(alarms <= 3, "{alarms} false alarms");
    assert!(detector.suspicion(s(now + 4.0)) < 3.0);
    assert!(detector.suspicion(s(now + 12.0)) > 3.0);
    detector.heartbeat(s(now + 60.0));
    assert!(detector.suspicion(s(now + 62.0)) < 1.0, "one silence raised the mean");
}

/// A sender whose real interval is three times the configured one counts as alive.
#[test]
fn a_slow_sender_is_not_suspected_for_being_slow() {
    let mut detector = FailureDetector::new(s(1.0));
    (1..60).for_each(|n| detector.heartbeat(s(f64::from(n) * 3.0)));
    assert!(detector.suspicion(s(180.0)) < 1.0 && detector.suspicion(s(59.0 * 3.0 + 9.0)) > 3.0);
    assert_eq!(FailureDetector::new(s(1.0)).suspicion(s(1.0)), f64::INFINITY);
}
