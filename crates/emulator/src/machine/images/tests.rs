//! Tests of the image cache of a machine.

use super::*;

fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

#[test]
fn fetches_share_the_rate_and_the_oldest_image_is_evicted() {
    let mut images = ImageCache::new(1.0, 5.0, s(0.0));
    images.fetch("a", 2.0);
    images.fetch("b", 4.0);
    assert!(!images.advance(s(3.9), false) && images.advance(s(4.1), false));
    assert!(images.touch("a") && !images.touch("b"));
    assert!(images.next_completion().unwrap() < s(6.1));
    assert!(!images.advance(s(10.0), true), "a hung machine fetches nothing");
    assert!(images.advance(s(12.0), false));
    assert!(images.touch("b") && !images.touch("a"), "images of 6 GB do not fit into a cache of 5 GB");
    images.fetch("c", 1.0);
    images.retain_fetches(|_| false);
    assert_eq!(images.next_completion(), None);
}
