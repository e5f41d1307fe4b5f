//! What a session knows of the freshness of its replica.

use super::*;

/// Freshness dates from when the read was sent, not from when the watch
/// caught up: a cancellation in between must not be counted as seen.
#[test]
fn freshness_dates_from_the_sending_of_the_read() {
    let s = Duration::from_secs;
    let mut session = StoreSession::new(s(4), s(1), 1.0);
    session.barriers = vec![(10, s(5)), (12, s(6))];
    session.reached(11);
    assert_eq!(session.staleness(s(9)), Some(s(4)));
    session.reached(12);
    assert_eq!(session.staleness(s(9)), Some(s(3)));
    assert!(session.barriers.is_empty());
}
