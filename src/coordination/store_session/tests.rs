//! Tests of what a session knows about the freshness of its replica.

use super::*;

/// The replica counts as current when the barrier was sent, not when the watch caught up with
/// it: a cancellation in between may not be in the replica yet.
#[test]
fn freshness_counts_from_the_sending_of_the_barrier() {
    let s = Duration::from_secs;
    let mut session = StoreSession::new(s(4), s(1), 1.0);
    session.barriers = vec![(10, s(5)), (12, s(6))];
    session.record_revision(11);
    assert_eq!(session.staleness(s(9)), Some(s(4)));
    session.record_revision(12);
    assert_eq!(session.staleness(s(9)), Some(s(3)));
    assert!(session.barriers.is_empty());
}
