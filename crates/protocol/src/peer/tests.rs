use super::*;

/// An index that refers to no name, from a faulty sender, must not make the rest of the
/// heartbeat unreadable.
#[test]
fn cached_images_are_read_by_index() {
    let mut heartbeat = PeerHeartbeat::default();
    let images = ["a", "b", "c"].map(String::from);
    heartbeat.add_cached_images("m1", images[..2].iter());
    heartbeat.add_cached_images("m2", images[1..].iter());
    heartbeat.image_indices[0].1.push(99);
    let read: Vec<(&str, Vec<&String>)> = heartbeat.cached_images().collect();
    assert_eq!(read, [("m1", images[..2].iter().collect()), ("m2", images[1..].iter().collect::<Vec<_>>())]);
    assert_eq!(heartbeat.images.len(), 3);
}
