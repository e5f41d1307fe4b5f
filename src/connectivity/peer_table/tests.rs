//! Which heartbeats of peers count as recent, and what a peer attests by them.

use super::*;
use crate::protocol::peer::RecentMachine;

fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

fn heartbeat(
    seq: u64,
    acknowledgements: Option<u64>,
    recent_machines: &[(&str, u64)],
    revision: Option<u64>,
) -> PeerHeartbeat {
    PeerHeartbeat {
        incarnation: 9,
        seq,
        acknowledgements: acknowledgements
            .map(|seq| Acknowledgement { member: "me".into(), incarnation: 1, seq })
            .into_iter()
            .collect(),
        recent_machines: recent_machines
            .iter()
            .map(|(m, ms)| RecentMachine { machine: m.to_string(), ago_ms: *ms, agent_epoch: 1, heartbeat_seq: 7 })
            .collect(),
        revision,
        known_revision: revision.unwrap_or(0),
        ..PeerHeartbeat::default()
    }
}

fn peer_table() -> PeerTable {
    PeerTable::new("me", 1, s(2.0))
}

/// A partition delayed heartbeats until it healed. Machines that had been reassigned long
/// before then counted as heard from a moment ago.
#[test]
fn a_delayed_heartbeat_is_not_recent() {
    let mut peers = peer_table();
    let (n, _) = peers.send(s(10.0));
    peers.receive("a", &heartbeat(5, Some(n), &[("host-1", 500)], None), s(10.5));
    assert_eq!(peers.heartbeat_received_at("a", "host-1"), Some(s(10.0)));
    assert!(peers.is_connected("a", s(11.0)));
    // A partition: a heartbeat sent at 12 s arrives at 60 s and acknowledges ours from 10 s.
    (0..25).for_each(|i| drop(peers.send(s(12.0 + 2.0 * f64::from(i)))));
    peers.receive("a", &heartbeat(6, Some(n), &[("host-1", 100)], None), s(60.0));
    assert_eq!(peers.heartbeat_received_at("a", "host-1"), None);
    assert!(!peers.is_connected("a", s(60.1)));
    assert!(peers.any_reaches("host-1", (1, 6), s(6.0), s(60.1)), "a doubt is enough to spare the machine");
    assert!(!peers.any_reaches("host-1", (1, 7), s(6.0), s(60.1)), "its owner has received that message already");
}

/// A connection that works in one direction only does not count as connected.
#[test]
fn a_peer_that_does_not_receive_ours_is_not_connected() {
    let mut peers = peer_table();
    for n in 1..20 {
        peers.send(s(f64::from(n) * 2.0));
        peers.receive("a", &heartbeat(n as u64, None, &[], None), s(f64::from(n) * 2.0 + 0.1));
    }
    assert!(!peers.is_connected("a", s(38.2)));
    // An acknowledgement that names an earlier incarnation of this controller is void.
    let mut b = heartbeat(30, Some(19), &[], None);
    b.acknowledgements[0].incarnation = 7;
    peers.receive("a", &b, s(38.3));
    assert!(!peers.is_connected("a", s(38.4)));
    peers.receive("a", &heartbeat(31, Some(19), &[], None), s(38.5));
    assert!(peers.is_connected("a", s(38.6)) && !peers.is_connected("a", s(50.0)), "silence counts");
}

/// An older heartbeat over an older connection must not overwrite a newer one.
#[test]
fn an_overtaken_heartbeat_is_ignored() {
    let mut peers = peer_table();
    let (n, _) = peers.send(s(1.0));
    peers.receive("a", &heartbeat(8, Some(n), &[("host-1", 0)], None), s(1.2));
    peers.receive("a", &heartbeat(7, Some(n), &[], None), s(1.3));
    assert!(peers.heartbeat_received_at("a", "host-1").is_some());
    let (_, acknowledgements) = peers.send(s(3.0));
    assert_eq!((acknowledgements[0].seq, acknowledgements[0].incarnation), (8, 9));
}

/// A process restarted within 50 ms, and the last heartbeat of the old process was received
/// after the first one of the new process. The old process counted as recent, and the new one
/// got no acknowledgements.
#[test]
fn the_last_heartbeat_of_an_ended_process_is_ignored() {
    let mut peers = peer_table();
    let (n, _) = peers.send(s(1.0));
    let of = |incarnation, seq, host| PeerHeartbeat { incarnation, ..heartbeat(seq, Some(n), &[(host, 0)], Some(7)) };
    peers.receive("a", &of(9, 40, "host-1"), s(1.1));
    peers.receive("a", &of(10, 1, "host-2"), s(1.2));
    peers.receive("a", &of(9, 41, "host-1"), s(1.3));
    assert!(
        peers.heartbeat_received_at("a", "host-2").is_some() && peers.heartbeat_received_at("a", "host-1").is_none()
    );
    let (_, acknowledgements) = peers.send(s(2.0));
    assert_eq!((acknowledgements[0].incarnation, acknowledgements[0].seq), (10, 1));
    peers.receive("a", &of(11, 1, "host-3"), s(2.2));
    peers.receive("a", &of(10, 2, "host-2"), s(2.3));
    assert!(peers.heartbeat_received_at("a", "host-3").is_some());
}

/// A controller that could reach everything but the store kept its machines until the latest
/// permitted time, while their new owner waited for them.
#[test]
fn removal_is_detected_from_the_fresh_replica_of_a_peer() {
    let mut peers = peer_table();
    let (n, _) = peers.send(s(10.0));
    let with = |seq, members: &[(&str, u64)]| PeerHeartbeat {
        members: members.iter().map(|(m, i)| (m.to_string(), *i)).collect(),
        ..heartbeat(seq, Some(n), &[], Some(5))
    };
    peers.receive("a", &with(1, &[("a", 9), ("me", 1)]), s(10.1));
    assert_eq!((peers.find_that_removed_us(s(10.2)), peers.find_with_store_access(s(10.2), s(2.0))), (None, Some("a")));
    peers.receive("a", &with(2, &[]), s(10.3));
    assert_eq!(peers.find_that_removed_us(s(10.4)), None, "its replica is not fresh");
    peers.receive("a", &with(3, &[("a", 9), ("me", 7)]), s(10.5));
    assert_eq!(peers.find_that_removed_us(s(10.6)), Some("a"), "the replica lists another incarnation");
    assert_eq!(peers.find_that_removed_us(s(60.0)), None, "an old heartbeat");
}

/// The read index needs every other controller, and is the oldest of their times.
#[test]
fn the_read_index_needs_all_others_and_is_their_oldest_time() {
    let mut peers = peer_table();
    let (first, _) = peers.send(s(10.0));
    let (second, _) = peers.send(s(12.0));
    let read_index_time = |peers: &PeerTable, revision| peers.read_index_time(["a", "b"], revision, |_| true);
    peers.receive("a", &heartbeat(1, Some(second), &[], Some(40)), s(12.1));
    assert_eq!(read_index_time(&peers, 50), None, "b sent nothing");
    peers.receive("b", &heartbeat(1, Some(first), &[], None), s(12.2));
    assert_eq!(read_index_time(&peers, 50), None, "b has no replica");
    peers.receive("b", &heartbeat(2, Some(first), &[], Some(60)), s(12.3));
    assert_eq!(read_index_time(&peers, 50), None, "b has a newer replica");
    assert_eq!(read_index_time(&peers, 60), Some(s(10.0)));
    peers.receive("b", &heartbeat(3, None, &[], Some(60)), s(12.4));
    assert_eq!(read_index_time(&peers, 60), None, "b does not receive ours");
}

/// A controller learned of a cancellation from the response to its own write and told the user
/// of it. Then its watch stalled, and it attested the revision of its replica for as long as
/// the outage lasted: the cancelled tasks ran on under the old leader.
#[test]
fn a_revision_known_from_a_write_response_counts() {
    let mut peers = peer_table();
    let (n, _) = peers.send(s(10.0));
    peers.receive("a", &PeerHeartbeat { known_revision: 41, ..heartbeat(1, Some(n), &[], Some(40)) }, s(10.1));
    assert_eq!(peers.read_index_time(["a"], 40, |_| true), None);
    assert_eq!(peers.read_index_time(["a"], 41, |_| true), Some(s(10.0)));
}

/// Revocations stand in for the changes that a replica lacks, but only if they start no later
/// than the replica's revision, and only once they are applied.
#[test]
fn applied_revocations_stand_in_for_missing_changes() {
    let mut peers = peer_table();
    let (n, _) = peers.send(s(10.0));
    let revocations = Revocations { since: 40, cancelled: vec![("run-1".into(), 45)], granted: Vec::new() };
    let heartbeat_with = |seq, since, revocations: &Revocations| PeerHeartbeat {
        revocations: Some(Revocations { since, ..revocations.clone() }),
        known_revision: 50,
        ..heartbeat(seq, Some(n), &[], Some(47))
    };
    peers.receive("a", &heartbeat_with(1, 40, &revocations), s(10.1));
    assert_eq!(peers.read_index_time(["a"], 40, |applied| *applied == revocations), Some(s(10.0)));
    assert_eq!(peers.read_index_time(["a"], 40, |applied| applied.cancelled.is_empty()), None, "not applied");
    assert_eq!(peers.read_index_time(["a"], 39, |_| true), None, "changes between 39 and 40 are unknown");
    assert_eq!(peers.min_applied_revision(s(11.0), s(18.0)), Some(47));
    assert_eq!(peers.min_applied_revision(s(40.0), s(18.0)), None, "no recent heartbeat");
}
