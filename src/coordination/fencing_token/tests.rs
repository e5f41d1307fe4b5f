//! Tests of the order of fencing tokens.

use super::*;

/// An earlier owner must not gain precedence over a newer grant by raising its counter.
#[test]
fn tokens_are_ordered_by_term_then_epoch_then_counter() {
    let max = u64::MAX;
    assert!(FencingToken::new(2, 0, 0) > FencingToken::new(1, max, max));
    assert!(FencingToken::new(1, 2, 0) > FencingToken::new(1, 1, max));
    assert!(FencingToken::new(1, 1, 2) > FencingToken::new(1, 1, 1));
}
