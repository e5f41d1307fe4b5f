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
            detector.observe_tick(ms(t));
            assert!(detector.proves_present(ms(t)) && detector.proves_present(ms(0)));
        }
        let resumed = ms(100 + length);
        assert_eq!(detector.observe_event(resumed), Some(ms(length)));
        assert!(!detector.proves_present(ms(100)), "sent before a suspension of {length} ms");
        assert!(detector.proves_present(resumed));
        detector.observe_tick(resumed);
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

/// A second suspension right after the first one is one as well, however long the first was.
#[test]
fn one_long_suspension_hides_no_later_one() {
    let mut detector = SuspensionDetector::new(TICK);
    for (at, is_suspension) in [(60_000, true), (60_041, true), (60_061, false), (60_102, true), (60_122, false)] {
        assert_eq!(detector.observe_event(ms(at)).is_some(), is_suspension, "{at} ms");
        detector.observe_tick(ms(at));
        assert_eq!(detector.observe_event(ms(at)), None);
    }
}

/// A process that had too little processor time for seconds, so that every tick came late, got no
/// read confirmed, answered no poll and started no task.
#[test]
fn gaps_at_every_tick_are_the_pace_of_the_process() {
    let mut detector = SuspensionDetector::new(TICK);
    let late: Vec<u64> = (1..=20).map(|nth| nth * 150).collect();
    let suspensions = late.iter().filter(|t| {
        let is_suspension = detector.observe_event(ms(**t)).is_some();
        detector.observe_tick(ms(**t));
        is_suspension
    });
    assert_eq!(suspensions.count(), 2);
    assert!(detector.proves_present(ms(300)));
    assert!(detector.observe_event(ms(3000 + 301)).is_some(), "a gap of twice that is a suspension");
}
