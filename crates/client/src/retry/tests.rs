//! Tests of the retry policy.

use super::*;

/// Clients that retry too early, or without end, prolong an overload of the service.
#[test]
fn pauses_follow_the_published_rules() {
    let seconds = Duration::from_secs_f64;
    let mut budget = Budget::new(Policy::default(), seconds(10.0));
    assert_eq!(budget.next_pause(seconds(10.1), None, 0.0), Some(seconds(1.0)));
    assert_eq!(budget.next_pause(seconds(12.0), Some(seconds(0.0)), 0.0), Some(seconds(1.0)));
    assert_eq!(budget.next_pause(seconds(13.0), Some(seconds(7.0)), 0.0), Some(seconds(7.0)));
    assert_eq!(budget.next_pause(seconds(20.0), Some(seconds(900.0)), 0.0), Some(seconds(30.0)));
    assert_eq!(budget.next_pause(seconds(20.0), Some(seconds(8.0)), 1.0), Some(seconds(10.0)));
    assert_eq!(budget.next_pause(seconds(69.5), None, 0.0), None);
    assert_eq!(budget.failed_attempts(), 6);
}
