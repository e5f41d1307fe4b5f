//! Tests of the retry rules.

use super::*;

/// A caller that comes back too early, or for ever, makes an overload last.
#[test]
fn pauses_keep_the_published_rules() {
    let s = Duration::from_secs_f64;
    let mut b = Budget::new(Policy::default(), s(10.0));
    assert_eq!(b.next(s(10.1), None, 0.0), Some(s(1.0)));
    assert_eq!(b.next(s(12.0), Some(s(0.0)), 0.0), Some(s(1.0)));
    assert_eq!(b.next(s(13.0), Some(s(7.0)), 0.0), Some(s(7.0)));
    assert_eq!(b.next(s(20.0), Some(s(900.0)), 0.0), Some(s(30.0)));
    assert_eq!(b.next(s(20.0), Some(s(8.0)), 1.0), Some(s(10.0)));
    assert_eq!(b.next(s(69.5), None, 0.0), None);
    assert_eq!(b.tries(), 6);
}
