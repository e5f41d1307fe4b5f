//! Tests of the entries that are kept until they are stored.

use super::*;
use crate::state::Resources;

fn at(seconds: u64) -> Instant {
    Duration::from_secs(seconds)
}

#[test]
fn an_exit_is_new_once_and_exits_date_from_the_first() {
    let mut journal = Journal::default();
    assert!(!journal.has_exits());
    assert!(journal.record_done("run-1", 4, at(1)));
    assert!(!journal.record_done("run-1", 4, at(2)));
    assert!(journal.record_gone("run-1", 5, 1, at(3)));
    assert!(!journal.record_gone("run-1", 5, 1, at(3)));
    assert!(journal.record_gone("run-1", 5, 2, at(3)), "another attempt");
    assert_eq!(journal.exits_of("run-1").expect("there are some").since, at(1));
}

#[test]
fn reservations_in_doubt_are_settled_once_the_slot_is_written() {
    let reservation = Reservation { team: "vision".into(), amounts: Resources::default() };
    let mut journal = Journal { in_doubt: vec![reservation], ..Journal::default() };
    assert!(journal.segment_ended(false).is_empty());
    assert_eq!(journal.segment_ended(true).len(), 1);
    assert!(journal.segment_ended(true).is_empty());
}

#[test]
fn one_segment_is_in_flight_at_a_time() {
    let mut journal = Journal::default();
    journal.segment_sent(at(1), at(2));
    assert!(journal.writer.segment_in_flight && !journal.is_due(at(2)));
    journal.segment_ended(true);
    assert!(!journal.writer.segment_in_flight && journal.is_due(at(3)));
}

#[test]
fn jobs_to_end_are_taken_once() {
    let mut journal = Journal::default();
    journal.mark_jobs_to_end(["run-1".to_string(), "run-2".to_string(), "run-1".to_string()]);
    assert_eq!(journal.take_jobs_to_end().len(), 2);
    assert!(journal.take_jobs_to_end().is_empty());
}
