//! What is left out of the heartbeats of large fleets, and what must not be.

use super::*;
use crate::connectivity::peer_table::PeerTable;
use crate::protocol::peer::{Acknowledgement, Frame, FrameError, RecentMachine, Revocations, decode, encode};
use std::time::Duration;

/// Numbers of machines in the fleets that are tried.
const FLEETS: [usize; 2] = [4_000, 8_000];
/// Images on each machine.
const IMAGES_PER_MACHINE: usize = 12;
/// Machines that the sender lists as unresponsive.
const UNRESPONSIVE: usize = 24;
/// Machines that also reach other controllers, every twentieth of the fleet.
const REACHING_OTHERS: usize = 200;
/// Successive heartbeats that together cover the images of all machines.
const IMAGE_PARTS: usize = 4;
/// Number of heartbeats within which each list has been covered.
const HEARTBEATS_TO_COVER_ALL: usize = 24;
/// Machines send heartbeats every two seconds, give or take a quarter of that.
const MAX_HEARTBEAT_AGE_MS: u64 = 2_500;

fn name(n: usize) -> String {
    format!("machine-of-a-fleet-with-long-names-{n:05}")
}

/// The largest heartbeat that a controller may have to send: it receives heartbeats of the
/// whole fleet and provisioned it, the cloud lists none of it, and each machine has answered
/// its probe.
fn largest(machines: usize, heartbeats: usize) -> PeerHeartbeat {
    let mut heartbeat = PeerHeartbeat {
        incarnation: 9,
        seq: heartbeats as u64 + 1,
        acknowledgements: ["perch-1", "perch-2"]
            .map(|m| Acknowledgement { member: m.into(), incarnation: 1, seq: 1 })
            .into(),
        revision: Some(1_000),
        known_revision: 1_000,
        revocations: Some(Revocations {
            since: 7,
            cancelled: (0..900).map(|n| (format!("run-{n:06}"), 8)).collect(),
            granted: Vec::new(),
        }),
        members: (0..3).map(|n| (format!("perch-{n}"), 1)).collect(),
        recent_machines: (0..machines)
            .map(|n| {
                let ago_ms = (n * 7 + heartbeats * 1_000) as u64 % MAX_HEARTBEAT_AGE_MS;
                RecentMachine { machine: name(n), ago_ms, agent_epoch: 1, heartbeat_seq: 7 }
            })
            .collect(),
        unresponsive: (0..UNRESPONSIVE).map(|n| (name(machines - 1 - n), "10.100.100.100:9000".into())).collect(),
        probe_answers: (0..machines).map(|n| (name(n), n as u64)).collect(),
        unlisted: (0..machines).map(name).collect(),
        provisioned: (0..machines).map(name).collect(),
        ..PeerHeartbeat::default()
    };
    let images: Vec<String> = (0..200).map(|n| format!("registry/team/image-{n:06}")).collect();
    for n in (0..machines).filter(|n| (n + heartbeats).is_multiple_of(IMAGE_PARTS)) {
        heartbeat.add_cached_images(&name(n), (0..IMAGES_PER_MACHINE).map(|i| &images[(n + i) % images.len()]));
    }
    heartbeat
}

/// Whether the machine also reaches other controllers.
fn reaches_others(machine: &str) -> bool {
    let number = machine.rsplit('-').next().and_then(|n| n.parse::<usize>().ok());
    number.is_some_and(|n| n.is_multiple_of(20) && n < 20 * REACHING_OTHERS)
}

/// The largest heartbeat, fitted into a frame.
fn fitted(machines: usize, heartbeats: usize) -> PeerHeartbeat {
    let mut heartbeat = largest(machines, heartbeats);
    fit_to_frame(&mut heartbeat, Rotation { heartbeats, image_rounds: heartbeats / IMAGE_PARTS }, reaches_others);
    heartbeat
}

/// At 4,000 machines the lists took more than a frame: each heartbeat made the other
/// controllers close the connection, and none was received at all.
#[test]
fn the_heartbeat_of_a_large_fleet_fits_into_a_frame() {
    for machines in FLEETS {
        let whole = encode(&Frame::PeerHeartbeat(Box::new(largest(machines, 0))));
        assert!(whole.len() > MAX_FRAME_BYTES, "{machines} machines fit without being shortened");
        assert_eq!(decode(&mut whole.clone()), Err(FrameError::TooLong(whole.len() - 4)));
        for heartbeats in 0..8 {
            let frame = Frame::PeerHeartbeat(Box::new(fitted(machines, heartbeats)));
            let mut bytes = encode(&frame);
            assert!(bytes.len() <= MAX_FRAME_BYTES + 4, "{} bytes", bytes.len());
            assert_eq!(decode(&mut bytes), Ok(Some(frame)), "a receiver decodes all of it");
        }
    }
}

/// The heartbeats of smaller fleets are not changed.
#[test]
fn a_heartbeat_that_fits_is_not_changed() {
    for machines in [UNRESPONSIVE, 100, 600] {
        let before = largest(machines, 3);
        let mut after = before.clone();
        fit_to_frame(&mut after, Rotation { heartbeats: 3, image_rounds: 0 }, reaches_others);
        assert_eq!(encode(&Frame::PeerHeartbeat(Box::new(after))), encode(&Frame::PeerHeartbeat(Box::new(before))));
    }
}

/// A machine that its owner leaves out and that reaches another controller would count as cut
/// off from its owner, and would be reassigned.
#[test]
fn machines_that_reach_other_controllers_are_in_every_heartbeat() {
    for machines in FLEETS {
        for heartbeats in 0..8 {
            let included: BTreeSet<String> =
                fitted(machines, heartbeats).recent_machines.into_iter().map(|h| h.machine).collect();
            assert!((0..REACHING_OTHERS).all(|n| included.contains(&name(n * 20))));
        }
    }
}

/// Two of every three heartbeats may leave out a machine that reaches only its owner, but
/// none may leave out one that sent its own heartbeat later than an included machine.
#[test]
fn the_least_recent_machines_are_left_out() {
    for machines in FLEETS {
        let heartbeat = fitted(machines, 0);
        let included: BTreeSet<&str> = heartbeat.recent_machines.iter().map(|h| h.machine.as_str()).collect();
        let reaches_owner_only = |h: &&RecentMachine| !reaches_others(&h.machine);
        let oldest_included =
            heartbeat.recent_machines.iter().filter(reaches_owner_only).map(|h| h.ago_ms).max().unwrap();
        let whole = largest(machines, 0);
        let left_out = whole.recent_machines.iter().filter(|h| !included.contains(h.machine.as_str()));
        assert!(left_out.map(|h| h.ago_ms).min().unwrap() >= oldest_included);
    }
}

/// An unresponsive machine that answered the sender's own probe does not count as missed.
#[test]
fn a_machine_that_answered_a_probe_is_not_missed() {
    let mut peers = PeerTable::new("perch-1", 1, Duration::from_secs(1));
    peers.send(Duration::from_secs(10));
    peers.receive("perch-0", &fitted(FLEETS[1], 0), Duration::from_secs(10));
    assert!(peers.recent_peer("perch-0").is_some());
    assert_eq!(peers.missed_machines("perch-0").count(), 0);
}

/// Lists that receivers accumulate cover every machine in the end.
#[test]
fn rotated_lists_cover_all_machines() {
    let mut included = [const { BTreeSet::new() }; 3];
    for heartbeats in 0..HEARTBEATS_TO_COVER_ALL {
        let heartbeat = fitted(FLEETS[0], heartbeats);
        included[0].extend(heartbeat.unlisted.iter().cloned());
        included[1].extend(heartbeat.provisioned.iter().cloned());
        included[2].extend(heartbeat.cached_images().map(|(machine, images)| {
            assert_eq!(images.len(), IMAGES_PER_MACHINE);
            machine.to_string()
        }));
    }
    assert_eq!(included.map(|names| names.len()), [FLEETS[0]; 3]);
}
