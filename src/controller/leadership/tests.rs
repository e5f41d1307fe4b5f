use super::*;

const INTERVAL: Duration = Duration::from_secs(1);

fn seconds(seconds: u64) -> Instant {
    Duration::from_secs(seconds)
}

#[test]
fn the_election_is_checked_at_intervals_and_on_member_changes() {
    let mut leadership = Leadership::default();
    assert!(leadership.check_due(seconds(5), 1, INTERVAL));
    assert!(!leadership.check_due(seconds(5), 1, INTERVAL));
    assert!(leadership.check_due(seconds(5), 2, INTERVAL));
    assert!(leadership.check_due(seconds(6), 2, INTERVAL));
}

#[test]
fn a_new_term_resets_the_counters() {
    let mut leadership = Leadership::default();
    assert!(leadership.begin_term(1));
    assert_eq!((leadership.next_epoch(), leadership.next_epoch()), (1, 2));
    assert_eq!(leadership.next_request(), 1);
    assert!(!leadership.begin_term(1));
    assert_eq!(leadership.next_epoch(), 3);
    assert!(leadership.begin_term(2));
    assert_eq!((leadership.next_epoch(), leadership.request_count()), (1, 0));
}

#[test]
fn the_time_is_counted_from_the_first_leader() {
    let mut leadership = Leadership::default();
    assert_eq!(leadership.since_first_leader(seconds(9)), None);
    leadership.observe_leader(seconds(2));
    leadership.observe_leader(seconds(7));
    assert_eq!(leadership.since_first_leader(seconds(9)), Some(seconds(7)));
}

#[test]
fn an_election_starts_the_next_term_if_the_last_one_is_unchanged() {
    let process = Process::new("a".into(), 7, Duration::ZERO, Duration::from_millis(20));
    let mut state = ClusterState::new(1);
    let term = TermRecord { term: 4, format_version: records::FORMAT_VERSION };
    state.put(records::TERM_KEY, &records::to_value(&term), 11);
    let txn = election_txn(&state, &process, 3).expect("there is no leader");
    assert!(txn.conditions.contains(&Condition { key: records::LEADER_KEY.into(), version: 0 }));
    assert!(txn.conditions.contains(&Condition { key: records::TERM_KEY.into(), version: 11 }));
    assert!(txn.puts(records::LEADER_KEY) && txn.puts(records::TERM_KEY));
    let data = records::to_value(&LeaderRecord { member: "a".into(), incarnation: 7, term: 5 });
    assert!(txn.ops.contains(&Op::Put { key: records::LEADER_KEY.into(), data, lease: Some(3) }));
}
