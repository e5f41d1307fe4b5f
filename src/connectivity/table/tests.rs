use super::*;
use crate::protocol::peer::RecentMachine;

fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

fn heartbeat(seq: u64, acknowledgements: Option<u64>, heard: &[(&str, u64)], revision: Option<u64>) -> PeerHeartbeat {
    PeerHeartbeat {
        incarnation: 9,
        seq,
        acknowledgements: acknowledgements
            .map(|seq| Acknowledgement { member: "me".into(), incarnation: 1, seq })
            .into_iter()
            .collect(),
        recent_machines: heard
            .iter()
            .map(|(m, ms)| RecentMachine { machine: m.to_string(), ago_ms: *ms, agent_epoch: 1, heartbeat_seq: 7 })
            .collect(),
        revision,
        known_revision: revision.unwrap_or(0),
        ..PeerHeartbeat::default()
    }
}

fn links() -> Links {
    Links::new("me", 1, s(2.0))
}

/// Beats held back by a cut came when it ended, and machines that had moved
/// long ago counted as heard a moment before.
#[test]
fn a_beat_that_was_held_back_is_no_news() {
    let mut l = links();
    let (n, _) = l.send(s(10.0));
    l.receive("a", &heartbeat(5, Some(n), &[("host-1", 500)], None), s(10.5));
    assert_eq!(l.heard_at("a", "host-1"), Some(s(10.0)));
    assert!(l.both_ways("a", s(11.0)));
    // The link is cut; what was sent at 12 comes at 60, echoing what went at 10.
    (0..25).for_each(|i| drop(l.send(s(12.0 + 2.0 * f64::from(i)))));
    l.receive("a", &heartbeat(6, Some(n), &[("host-1", 100)], None), s(60.0));
    assert_eq!(l.heard_at("a", "host-1"), None);
    assert!(!l.both_ways("a", s(60.1)));
    assert!(l.hears("host-1", (1, 6), s(6.0), s(60.1)), "a doubt spares it all the same");
    assert!(!l.hears("host-1", (1, 7), s(6.0), s(60.1)), "its owner had that before");
}

/// A link that works one way only is no link.
#[test]
fn who_does_not_hear_us_is_not_reached() {
    let mut l = links();
    for n in 1..20 {
        l.send(s(f64::from(n) * 2.0));
        l.receive("a", &heartbeat(n as u64, None, &[], None), s(f64::from(n) * 2.0 + 0.1));
    }
    assert!(!l.both_ways("a", s(38.2)));
    // An echo of an earlier process of ours is none.
    let mut b = heartbeat(30, Some(19), &[], None);
    b.acknowledgements[0].incarnation = 7;
    l.receive("a", &b, s(38.3));
    assert!(!l.both_ways("a", s(38.4)));
    l.receive("a", &heartbeat(31, Some(19), &[], None), s(38.5));
    assert!(l.both_ways("a", s(38.6)) && !l.both_ways("a", s(50.0)), "silence counts");
}

/// An older beat over an older connection must not undo a newer one.
#[test]
fn an_overtaken_beat_changes_nothing() {
    let mut l = links();
    let (n, _) = l.send(s(1.0));
    l.receive("a", &heartbeat(8, Some(n), &[("host-1", 0)], None), s(1.2));
    l.receive("a", &heartbeat(7, Some(n), &[], None), s(1.3));
    assert!(l.heard_at("a", "host-1").is_some());
    let (_, echoes) = l.send(s(3.0));
    assert_eq!((echoes[0].seq, echoes[0].incarnation), (8, 9));
}

/// A process was back within 50 ms, and the last beat of the one before it came
/// after its first: what it said was taken for news, and its successor was told
/// that we hear nobody of its name.
#[test]
fn the_last_word_of_an_ended_process_changes_nothing() {
    let mut l = links();
    let (n, _) = l.send(s(1.0));
    let of = |incarnation, seq, host| PeerHeartbeat { incarnation, ..heartbeat(seq, Some(n), &[(host, 0)], Some(7)) };
    l.receive("a", &of(9, 40, "host-1"), s(1.1));
    l.receive("a", &of(10, 1, "host-2"), s(1.2));
    l.receive("a", &of(9, 41, "host-1"), s(1.3));
    assert!(l.heard_at("a", "host-2").is_some() && l.heard_at("a", "host-1").is_none());
    let (_, echoes) = l.send(s(2.0));
    assert_eq!((echoes[0].incarnation, echoes[0].seq), (10, 1));
    l.receive("a", &of(11, 1, "host-3"), s(2.2));
    l.receive("a", &of(10, 2, "host-2"), s(2.3));
    assert!(l.heard_at("a", "host-3").is_some());
}

/// A controller that the store alone refuses went on answering its machines for
/// as long as it might, while their new owner waited for them.
#[test]
fn a_fresh_view_without_us_is_noticed() {
    let mut l = links();
    let (n, _) = l.send(s(10.0));
    let with = |seq, members: &[(&str, u64)]| PeerHeartbeat {
        members: members.iter().map(|(m, i)| (m.to_string(), *i)).collect(),
        ..heartbeat(seq, Some(n), &[], Some(5))
    };
    l.receive("a", &with(1, &[("a", 9), ("me", 1)]), s(10.1));
    assert_eq!((l.expelled_by(s(10.2)), l.served(s(10.2), s(2.0))), (None, Some("a")));
    l.receive("a", &with(2, &[]), s(10.3));
    assert_eq!(l.expelled_by(s(10.4)), None, "it does not know");
    l.receive("a", &with(3, &[("a", 9), ("me", 7)]), s(10.5));
    assert_eq!(l.expelled_by(s(10.6)), Some("a"), "that was another process");
    assert_eq!(l.expelled_by(s(60.0)), None, "old news");
}

/// One missing, doubtful or older word ends the attestation.
#[test]
fn all_must_attest_and_the_oldest_word_counts() {
    let mut l = links();
    let (first, _) = l.send(s(10.0));
    let (second, _) = l.send(s(12.0));
    let attested = |l: &Links, revision| l.attested(["a", "b"], revision, |_| true);
    l.receive("a", &heartbeat(1, Some(second), &[], Some(40)), s(12.1));
    assert_eq!(attested(&l, 50), None, "b said nothing");
    l.receive("b", &heartbeat(1, Some(first), &[], None), s(12.2));
    assert_eq!(attested(&l, 50), None, "b has no view");
    l.receive("b", &heartbeat(2, Some(first), &[], Some(60)), s(12.3));
    assert_eq!(attested(&l, 50), None, "b has a newer view");
    assert_eq!(attested(&l, 60), Some(s(10.0)));
    l.receive("b", &heartbeat(3, None, &[], Some(60)), s(12.4));
    assert_eq!(attested(&l, 60), None, "b does not hear us");
}

/// A controller told a user of a cancellation by the answer to its own write, its watch
/// stood still from then on, and it attested the revision of its view for as long as
/// the outage took: the cancelled tasks ran on under the old leader.
#[test]
fn what_was_learned_from_an_answer_counts() {
    let mut l = links();
    let (n, _) = l.send(s(10.0));
    l.receive("a", &PeerHeartbeat { known_revision: 41, ..heartbeat(1, Some(n), &[], Some(40)) }, s(10.1));
    assert_eq!(l.attested(["a"], 40, |_| true), None);
    assert_eq!(l.attested(["a"], 41, |_| true), Some(s(10.0)));
}

/// What a controller is owed stands in for what it has not seen, from there on where
/// it has, and only once it heeds it.
#[test]
fn revocations_that_were_applied_count_as_seen() {
    let mut l = links();
    let (n, _) = l.send(s(10.0));
    let revocations = Revocations { since: 40, cancelled: vec![("run-1".into(), 45)], granted: Vec::new() };
    let word = |seq, since, revocations: &Revocations| PeerHeartbeat {
        revocations: Some(Revocations { since, ..revocations.clone() }),
        known_revision: 50,
        ..heartbeat(seq, Some(n), &[], Some(47))
    };
    l.receive("a", &word(1, 40, &revocations), s(10.1));
    assert_eq!(l.attested(["a"], 40, |o| *o == revocations), Some(s(10.0)));
    assert_eq!(l.attested(["a"], 40, |o| o.cancelled.is_empty()), None, "not heeded");
    assert_eq!(l.attested(["a"], 39, |_| true), None, "what lies between is not told");
    assert_eq!(l.seen_by_all(s(11.0), s(18.0)), Some(47));
    assert_eq!(l.seen_by_all(s(40.0), s(18.0)), None, "nobody spoke of late");
}
