use super::*;

/// Numbers that stand for no name, from a spoilt or foreign sender, are passed over.
#[test]
fn images_come_through_by_number() {
    let mut heartbeat = PeerHeartbeat::default();
    let images = ["a", "b", "c"].map(String::from);
    heartbeat.note_images("m1", images[..2].iter());
    heartbeat.note_images("m2", images[1..].iter());
    heartbeat.held[0].1.push(99);
    let read: Vec<(&str, Vec<&String>)> = heartbeat.images().collect();
    assert_eq!(read, [("m1", images[..2].iter().collect()), ("m2", images[1..].iter().collect::<Vec<_>>())]);
    assert_eq!(heartbeat.images.len(), 3);
}
