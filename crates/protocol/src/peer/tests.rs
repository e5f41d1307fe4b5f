//! Tests of the image lists in heartbeats.

use super::*;

/// An index without a name, sent by a faulty controller, must not make the rest of the
/// heartbeat unreadable.
#[test]
fn cached_images_are_read_and_invalid_indices_are_ignored() {
    let mut heartbeat = PeerHeartbeat::default();
    let images = ["a", "b", "c"].map(String::from);
    heartbeat.add_cached_images("m1", images[..2].iter());
    heartbeat.add_cached_images("m2", images[1..].iter());
    heartbeat.image_indices[0].1.push(99);
    let cached: Vec<(&str, Vec<&String>)> = heartbeat.cached_images().collect();
    assert_eq!(cached, [("m1", images[..2].iter().collect()), ("m2", images[1..].iter().collect::<Vec<_>>())]);
    assert_eq!(heartbeat.images.len(), 3);
}
