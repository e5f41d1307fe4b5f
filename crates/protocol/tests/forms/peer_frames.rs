//! Wire format of the frames between controllers: a length prefix, then borsh. Borsh writes
//! no field names, so the order and width of every field are part of the format. All values
//! of the full heartbeat differ, so that swapped fields are noticed.

use crate::fixture::bytes;
use finchquay_protocol::peer::{
    Acknowledgement, Frame, FrameError, MAX_FRAME_BYTES, PeerHeartbeat, RecentMachine, Revocations, decode, encode,
};

fn full_heartbeat() -> PeerHeartbeat {
    PeerHeartbeat {
        incarnation: 0x0101,
        seq: 0x0202,
        acknowledgements: vec![Acknowledgement { member: "perch-1".into(), incarnation: 0x0303, seq: 0x0404 }],
        revision: Some(0x0505),
        known_revision: 0x0606,
        revocations: Some(Revocations {
            since: 0x0707,
            cancelled: vec![("run-000412".into(), 0x0808)],
            granted: vec![("host-000231".into(), 0x0909)],
        }),
        members: vec![("perch-2".into(), 0x0a0a)],
        stale_ms: 0x0b0b,
        recent_machines: vec![RecentMachine {
            machine: "host-000232".into(),
            ago_ms: 0x0c0c,
            agent_epoch: 0x0d0d,
            heartbeat_seq: 0x0e0e,
        }],
        unresponsive: vec![("host-000233".into(), "10.1.0.7:7000".into())],
        probe_answers: vec![("host-000234".into(), 0x0f0f)],
        unlisted: vec!["host-000235".into()],
        provisioned: vec!["host-000236".into()],
        image_indices: vec![("host-000237".into(), vec![0, 1])],
        images: vec!["image-7".into(), "image-8".into()],
    }
}

/// Asserts that a frame encodes to the bytes of the fixture, and that these decode to the
/// frame, leaving the bytes after it in the buffer.
fn frame_format(name: &str, frame: &Frame) {
    assert_eq!(encode(frame), bytes(name), "{name}: the bytes have changed");
    let mut buffer = bytes(name);
    buffer.extend(b"next");
    assert_eq!(decode(&mut buffer), Ok(Some(frame.clone())), "{name}");
    assert_eq!(buffer, b"next", "{name}: only the frame is removed");
}

/// Controllers of different versions must understand the first frame of a connection.
#[test]
fn hello_keeps_its_wire_format() {
    frame_format("peer-hello", &Frame::Hello { member: "perch-0".into() });
}

/// Guards the order and width of every field of a heartbeat.
#[test]
fn heartbeats_keep_their_wire_format() {
    frame_format("peer-beat-full", &Frame::PeerHeartbeat(Box::new(full_heartbeat())));
    frame_format("peer-beat-default", &Frame::PeerHeartbeat(Box::default()));
    let no_revocations = PeerHeartbeat { revocations: Some(Revocations::default()), ..PeerHeartbeat::default() };
    frame_format("peer-beat-owed-default", &Frame::PeerHeartbeat(Box::new(no_revocations)));
}

/// Cached images are sent as indices into the list of names.
#[test]
fn image_indices_refer_to_the_list_of_names() {
    let mut heartbeat = PeerHeartbeat::default();
    let images = ["image-7".to_string(), "image-8".to_string()];
    heartbeat.add_cached_images("host-000237", images.iter());
    assert_eq!(
        (&heartbeat.image_indices, &heartbeat.images),
        (&full_heartbeat().image_indices, &full_heartbeat().images)
    );
    let cached: Vec<(&str, Vec<&String>)> = heartbeat.cached_images().collect();
    assert_eq!(cached, [("host-000237", images.iter().collect())]);
}

/// An incomplete frame must be left in the buffer, and a length above the limit is an error.
#[test]
fn the_length_prefix_is_four_bytes_in_network_order() {
    let frame = bytes("peer-hello");
    assert_eq!(frame[..4], (frame.len() as u32 - 4).to_be_bytes());
    let mut partial = frame[..frame.len() - 1].to_vec();
    assert_eq!(decode(&mut partial), Ok(None));
    let mut oversized = (MAX_FRAME_BYTES as u32 + 1).to_be_bytes().to_vec();
    assert_eq!(decode(&mut oversized), Err(FrameError::TooLong(MAX_FRAME_BYTES + 1)));
    assert_eq!(MAX_FRAME_BYTES, 262_144);
}
