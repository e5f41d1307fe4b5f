//! Tests of the emulated store: conditions, leases, watches and faults.

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
fn conditions_hold_for_the_whole_transaction() {
    let mut st = Store::new(limits());
    let two = txn(&[("a", 0)], vec![put("a", "1", None), put("b", "1", None)]);
    assert_eq!(st.transact(s(0.0), &two), Outcome::Done { ledger: 1 });
    assert_eq!(st.transact(s(0.0), &two), Outcome::Failed { keys: vec!["a".into()], ledger: 1 });
    assert_eq!((st.get("a").unwrap().version, st.get("b").unwrap().version), (1, 1));
    let swap = txn(&[("a", 1), ("c", 0)], vec![Op::Delete { key: "a".into() }]);
    assert_eq!(st.transact(s(0.0), &swap), Outcome::Done { ledger: 2 });
    let news = st.changes("", 0).unwrap();
    assert_eq!(news.iter().map(|n| n.version).collect::<Vec<_>>(), [1, 1, 2]);
    assert_eq!(st.changes("b", 1).unwrap(), []);
}

#[test]
fn every_limit_is_kept() {
    let mut st = Store::new(limits());
    let many = txn(&[], (0..5).map(|i| put(&format!("k{i}"), "", None)).collect());
    assert_eq!(st.transact(s(0.0), &many), Outcome::Malformed);
    assert_eq!(st.transact(s(0.0), &txn(&[], vec![put("a", &"x".repeat(1100), None)])), Outcome::Malformed);
    assert_eq!(st.transact(s(0.0), &txn(&[], vec![put("a b", "", None)])), Outcome::Malformed);
    assert_eq!(st.transact(s(0.0), &txn(&[], vec![put("a", "", Some(9))])), Outcome::NoSuchLease);
    let four = txn(&[], (0..4).map(|i| put(&format!("k{i}"), "", None)).collect());
    assert_eq!(st.transact(s(0.0), &four), Outcome::Done { ledger: 1 });
    // Nine of ten changes of this second are gone, the failed one among them.
    assert_eq!(st.transact(s(0.0), &four), Outcome::Done { ledger: 2 });
    assert_eq!(st.transact(s(0.1), &four), Outcome::TooMany);
    assert_eq!(st.transact(s(1.0), &four), Outcome::Done { ledger: 3 });
    assert!(st.grant(s(0.0), 99).is_none() && st.grant(s(0.0), 600_001).is_none());
}

#[test]
fn keys_go_with_their_lease_and_stay_without_it() {
    let mut st = Store::new(limits());
    let id = st.grant(s(0.0), 5000).unwrap();
    st.transact(s(0.0), &txn(&[], vec![put("a", "", Some(id)), put("b", "", Some(id))]));
    st.transact(s(0.0), &txn(&[], vec![put("b", "", None)]));
    assert!(st.extend(s(4.0), id) && st.expire(s(8.9)).is_empty());
    st.renew_all(s(8.95));
    assert!(st.expire(s(13.9)).is_empty());
    assert_eq!(st.expire(s(14.0)), [id]);
    assert!(st.get("a").is_none() && st.get("b").is_some() && !st.extend(s(14.0), id));
    assert_eq!(st.changes("", 2).unwrap()[0].delete.as_deref(), Some("a"));
}

#[test]
fn pages_and_watches_end_where_they_should() {
    let mut st = Store::new(Limits { write_rps: 1e9, ..limits() });
    for i in 0..30 {
        st.transact(s(0.0), &txn(&[], vec![put(&format!("c/{i:02}"), &"x".repeat(900), None)]));
    }
    st.transact(s(0.0), &txn(&[], vec![put("d", "", None)]));
    let first = st.scan("c/", "", 20);
    assert!(first.truncated && first.rows.len() == 20);
    let rest = st.scan("c/", &first.rows[19].key, 20);
    assert!(!rest.truncated && rest.rows.len() == 10 && rest.revision == 31);
    for _ in 0..WATCH_WINDOW {
        st.transact(s(0.0), &txn(&[], vec![put("e", "", None)]));
    }
    assert_eq!(st.changes("", 30), None);
    assert_eq!(st.changes("e", 31).unwrap().len(), WATCH_WINDOW);
}

/// The two losses that emulations cause: one write alone, and a tail.
#[test]
fn lost_writes_are_acknowledged_and_lost_tails_take_the_revision_back() {
    let mut st = Store::new(limits());
    st.transact(s(0.0), &txn(&[], vec![put("a", "1", None)]));
    let lost = st.lose(s(0.0), &txn(&[("a", 1)], vec![put("a", "2", None)]));
    assert_eq!(lost, Outcome::Done { ledger: 2 });
    assert_eq!((st.get("a").unwrap().version, st.changes("", 1).unwrap().len()), (1, 0));
    st.transact(s(0.0), &txn(&[], vec![put("a", "3", None), put("b", "3", None)]));
    st.transact(s(0.0), &txn(&[], vec![Op::Delete { key: "a".into() }]));
    assert_eq!(st.lose_tail(2).len(), 3);
    assert_eq!((st.ledger(), st.get("a").unwrap().version, st.get("b")), (2, 1, None));
}
