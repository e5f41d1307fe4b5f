//! Tests of the state machine of the state service: conditions, limits, leases, pages,
//! watches and lost writes.

use super::*;
use finchquay_protocol::store::Condition;

fn limits() -> Limits {
    Limits { rps: 100.0, write_rps: 10.0, value_kb: 1.0, txn_ops: 4 }
}

fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

fn put(key: &str, data: &str, lease: Option<u64>) -> Op {
    Op::Put { key: key.into(), data: Value::Text(data.into()), lease }
}

fn txn(conditions: &[(&str, u64)], ops: Vec<Op>) -> Txn {
    Txn { conditions: conditions.iter().map(|(k, v)| Condition { key: (*k).into(), version: *v }).collect(), ops }
}

#[test]
fn failed_condition_stops_the_whole_transaction() {
    let mut store = Store::new(limits());
    let two = txn(&[("a", 0)], vec![put("a", "1", None), put("b", "1", None)]);
    assert_eq!(store.transact(s(0.0), &two), Outcome::Committed { revision: 1 });
    assert_eq!(store.transact(s(0.0), &two), Outcome::Conflict { keys: vec!["a".into()], revision: 1 });
    assert_eq!((store.get("a").unwrap().version, store.get("b").unwrap().version), (1, 1));
    let swap = txn(&[("a", 1), ("c", 0)], vec![Op::Delete { key: "a".into() }]);
    assert_eq!(store.transact(s(0.0), &swap), Outcome::Committed { revision: 2 });
    let events = store.changes_since("", 0).unwrap();
    assert_eq!(events.iter().map(|e| e.version).collect::<Vec<_>>(), [1, 1, 2]);
    assert_eq!(store.changes_since("b", 1).unwrap(), []);
}

#[test]
fn every_limit_is_enforced() {
    let mut store = Store::new(limits());
    let many = txn(&[], (0..5).map(|i| put(&format!("k{i}"), "", None)).collect());
    assert_eq!(store.transact(s(0.0), &many), Outcome::Malformed);
    assert_eq!(store.transact(s(0.0), &txn(&[], vec![put("a", &"x".repeat(1100), None)])), Outcome::Malformed);
    assert_eq!(store.transact(s(0.0), &txn(&[], vec![put("a b", "", None)])), Outcome::Malformed);
    assert_eq!(store.transact(s(0.0), &txn(&[], vec![put("a", "", Some(9))])), Outcome::NoSuchLease);
    let four = txn(&[], (0..4).map(|i| put(&format!("k{i}"), "", None)).collect());
    assert_eq!(store.transact(s(0.0), &four), Outcome::Committed { revision: 1 });
    // Nine of the ten changes of this second are used up, the one with the missing lease
    // among them.
    assert_eq!(store.transact(s(0.0), &four), Outcome::Committed { revision: 2 });
    assert_eq!(store.transact(s(0.1), &four), Outcome::RateLimited);
    assert_eq!(store.transact(s(1.0), &four), Outcome::Committed { revision: 3 });
    assert!(store.grant(s(0.0), 99).is_none() && store.grant(s(0.0), 600_001).is_none());
}

#[test]
fn keys_are_deleted_with_their_lease_and_stay_without_one() {
    let mut store = Store::new(limits());
    let id = store.grant(s(0.0), 5000).unwrap();
    store.transact(s(0.0), &txn(&[], vec![put("a", "", Some(id)), put("b", "", Some(id))]));
    store.transact(s(0.0), &txn(&[], vec![put("b", "", None)]));
    assert!(store.extend(s(4.0), id) && store.expire(s(8.9)).is_empty());
    store.renew_all(s(8.95));
    assert!(store.expire(s(13.9)).is_empty());
    assert_eq!(store.expire(s(14.0)), [id]);
    assert!(store.get("a").is_none() && store.get("b").is_some() && !store.extend(s(14.0), id));
    assert_eq!(store.changes_since("", 2).unwrap()[0].delete.as_deref(), Some("a"));
}

#[test]
fn pages_and_watches_are_bounded() {
    let mut store = Store::new(Limits { write_rps: 1e9, ..limits() });
    for i in 0..30 {
        store.transact(s(0.0), &txn(&[], vec![put(&format!("c/{i:02}"), &"x".repeat(900), None)]));
    }
    store.transact(s(0.0), &txn(&[], vec![put("d", "", None)]));
    let first = store.scan("c/", "", 20);
    assert!(first.truncated && first.rows.len() == 20);
    let rest = store.scan("c/", &first.rows[19].key, 20);
    assert!(!rest.truncated && rest.rows.len() == 10 && rest.revision == 31);
    for _ in 0..WATCH_WINDOW_CHANGES {
        store.transact(s(0.0), &txn(&[], vec![put("e", "", None)]));
    }
    assert_eq!(store.changes_since("", 30), None);
    assert_eq!(store.changes_since("e", 31).unwrap().len(), WATCH_WINDOW_CHANGES);
}

/// The emulator loses writes in two ways: a single acknowledged one, or a tail of the log.
#[test]
fn lost_write_is_acknowledged_and_lost_tail_sets_the_revision_back() {
    let mut store = Store::new(limits());
    store.transact(s(0.0), &txn(&[], vec![put("a", "1", None)]));
    let lost = store.acknowledge_and_lose(s(0.0), &txn(&[("a", 1)], vec![put("a", "2", None)]));
    assert_eq!(lost, Outcome::Committed { revision: 2 });
    assert_eq!((store.get("a").unwrap().version, store.changes_since("", 1).unwrap().len()), (1, 0));
    store.transact(s(0.0), &txn(&[], vec![put("a", "3", None), put("b", "3", None)]));
    store.transact(s(0.0), &txn(&[], vec![Op::Delete { key: "a".into() }]));
    assert_eq!(store.lose_tail(2).len(), 3);
    assert_eq!((store.revision(), store.get("a").unwrap().version, store.get("b")), (2, 1, None));
}
