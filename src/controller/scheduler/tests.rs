//! Tests of when a scheduling round is due.

use super::*;

#[test]
fn a_round_is_due_after_a_request_and_the_pause() {
    let at = Duration::from_secs;
    let mut scheduler = Scheduler::default();
    assert!(!scheduler.begin_round(at(1), at(2)), "nothing changed");
    scheduler.request_round();
    assert!(scheduler.begin_round(at(1), at(2)));
    scheduler.request_round_if(true);
    scheduler.request_round_if(false);
    assert!(!scheduler.begin_round(at(2), at(2)), "too early");
    assert!(scheduler.begin_round(at(3), at(2)), "the request is not lost");
    assert!(!scheduler.begin_round(at(9), at(2)), "the request was met");
}
