//! Tests of how many reads a token bucket allows, and when.

use super::*;

fn ms(x: u64) -> Duration {
    Duration::from_millis(x)
}

/// A starting controller read the stored state at the pace of steady operation, although the
/// store was idle, and had no replica for seconds.
#[test]
fn a_burst_is_allowed_at_once_and_then_the_even_pace_holds() {
    let mut bucket = TokenBucket::new(ms(100), 4.0);
    let mut at = Vec::new();
    for t in 0..1000 {
        while bucket.allows(ms(t)) {
            bucket.consume(ms(t));
            at.push(t);
        }
    }
    assert_eq!(at[..6], [0, 0, 0, 0, 100, 200]);
    assert_eq!(at.len(), 4 + 9, "the burst and the even pace together");
    // After a pause the burst is allowed again, but not more.
    (0..4).for_each(|_| {
        assert!(bucket.allows(ms(9000)));
        bucket.consume(ms(9000));
    });
    assert!(!bucket.allows(ms(9000)) && bucket.allows(ms(9100)));
}

/// A burst below one read must not block reads, nor let two of them through at once.
#[test]
fn without_a_burst_reads_are_an_interval_apart() {
    let mut bucket = TokenBucket::new(ms(100), 0.3);
    assert!(bucket.allows(ms(0)));
    bucket.consume(ms(0));
    assert!(!bucket.allows(ms(99)) && bucket.allows(ms(100)));
}
