//! The order of fencing tokens.

use super::*;

/// An old owner's raised counter must never beat a newer grant.
#[test]
fn tokens_are_ordered_by_term_then_epoch_then_counter() {
    let top = u64::MAX;
    assert!(FencingToken::new(2, 0, 0) > FencingToken::new(1, top, top));
    assert!(FencingToken::new(1, 2, 0) > FencingToken::new(1, 1, top));
    assert!(FencingToken::new(1, 1, 2) > FencingToken::new(1, 1, 1));
}
