//! Tests of which gaps between events count as suspensions, and of what an answer proves after one.

use super::*;

const TICK: Duration = Duration::from_millis(20);

fn ms(x: u64) -> Duration {
    Duration::from_millis(x)
}

/// A read that a controller had sent before it was suspended decided an answer after it resumed.
#[test]
fn an_answer_proves_the_present_only_if_its_request_was_sent_after_the_last_suspension() {
    for length in [41, 60, 400, 2_000, 60_000, 86_400_000] {
        let mut detector = SuspensionDetector::new(TICK);
        for t in (0..=100).step_by(20) {
            assert_eq!(detector.observe_event(ms(t)), None);
            assert!(detector.proves_present(ms(t)) && detector.proves_present(ms(0)));
        }
        let resumed = ms(100 + length);
        assert_eq!(detector.observe_event(resumed), Some(ms(length)));
        assert!(!detector.proves_present(ms(100)), "sent before a suspension of {length} ms");
        assert!(detector.proves_present(resumed));
        assert_eq!(detector.observe_event(resumed + TICK), None, "the suspension is over");
        assert!(detector.proves_present(resumed) && !detector.proves_present(resumed - ms(1)));
    }
}

/// Ticks that come late because the process was busy are no suspensions.
#[test]
fn a_tick_that_comes_late_by_its_interval_is_no_suspension() {
    let mut detector = SuspensionDetector::new(TICK);
    for t in (0..10_000).step_by(40) {
        assert_eq!(detector.observe_event(ms(t)), None);
    }
    assert!(detector.proves_present(Duration::ZERO));
}
