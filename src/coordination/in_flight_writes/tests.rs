//! Tests of which evidence resolves a transaction in flight.

use super::*;
use ciborium::cbor;

fn put(key: &str, n: u64) -> Op {
    Op::Put { key: key.into(), data: cbor!({"n" => n, "x" => 4.0}).unwrap(), lease: None }
}

fn data(n: u64) -> Value {
    cbor!({"n" => n, "x" => 4.0}).unwrap()
}

fn txn(conditions: &[(&str, u64)], ops: Vec<Op>) -> Txn {
    let conditions =
        conditions.iter().map(|(key, version)| Condition { key: (*key).into(), version: *version }).collect();
    Txn { conditions, ops }
}

/// One transaction that creates a job's record and is conditional on two more keys.
fn with_one_submission() -> InFlightWrites {
    let mut writes = InFlightWrites::default();
    let t = txn(&[("fq/j/run-1", 0), ("fq/h/a", 30), ("fq/b/perch-0", 7)], vec![put("fq/j/run-1", 5)]);
    writes.track(1, &t, 40);
    writes
}

fn void(key: &str, revision: u64) -> Vec<(CallId, Proof)> {
    vec![(1, Proof::Void { key: key.into(), revision })]
}

/// A change of another key proves nothing, and another value under the key proves that another
/// client wrote it first.
#[test]
fn only_the_value_put_proves_done() {
    let mut writes = with_one_submission();
    writes.observe_change("fq/j/run-2", Some(&data(5)), 41);
    assert!(writes.take_resolved().is_empty(), "another key");
    writes.observe_change("fq/j/run-1", Some(&data(5)), 42);
    assert_eq!(writes.take_resolved(), vec![(1, Proof::Done(42))]);
    assert!(writes.is_empty() && writes.by_key.is_empty());
    let mut writes = with_one_submission();
    writes.observe_change("fq/j/run-1", Some(&data(6)), 42);
    assert_eq!(writes.take_resolved(), void("fq/j/run-1", 42), "another client's value");
}

/// A transaction is carried out after it was sent, so a value of a revision that was known by
/// then is not evidence for it.
#[test]
fn an_equal_value_from_before_the_write_proves_nothing() {
    let mut writes = InFlightWrites::default();
    writes.track(1, &txn(&[("fq/m/perch-0", 0)], vec![put("fq/m/perch-0", 5)]), 40);
    writes.observe_change("fq/m/perch-0", Some(&data(5)), 40);
    assert!(writes.take_resolved().is_empty());
    writes.observe_change("fq/m/perch-0", None, 41);
    assert!(writes.take_resolved().is_empty(), "the key is absent again, so the transaction may still be carried out");
    writes.observe_change("fq/m/perch-0", Some(&data(5)), 42);
    assert_eq!(writes.take_resolved(), vec![(1, Proof::Done(42))]);
}

/// Other transactions may put equal values under some of the keys. Only all values at one
/// revision prove that the transaction was carried out, or that its effect is there.
#[test]
fn all_puts_must_be_shown_at_one_revision() {
    let t = txn(&[("fq/l/perch-0/3", 9), ("fq/q/capped", 8)], vec![put("fq/l/perch-0/3", 1), put("fq/q/capped", 2)]);
    let mut writes = InFlightWrites::default();
    writes.track(1, &t, 40);
    writes.observe_change("fq/l/perch-0/3", Some(&data(1)), 41);
    writes.observe_change("fq/q/capped", Some(&data(2)), 42);
    assert_eq!(writes.take_resolved(), void("fq/l/perch-0/3", 41));
    writes.track(1, &t, 42);
    writes.observe_change("fq/l/perch-0/3", Some(&data(1)), 43);
    writes.observe_change("fq/q/capped", Some(&data(2)), 43);
    writes.observe_change("fq/q/capped", Some(&data(3)), 44);
    assert_eq!(
        writes.take_resolved(),
        vec![(1, Proof::Done(43))],
        "another client changed the key again within the same response"
    );
}

/// A condition that failed before the transaction reached the store fails for good.
#[test]
fn a_change_of_any_condition_proves_void() {
    for (key, known) in [("fq/h/a", 30), ("fq/b/perch-0", 7)] {
        let mut writes = with_one_submission();
        writes.observe_change(key, Some(&data(1)), known);
        assert!(writes.take_resolved().is_empty(), "the version that the condition requires");
        writes.observe_change(key, None, 41);
        assert_eq!(writes.take_resolved(), void(key, 41));
    }
}

/// A condition that changed after the transaction was carried out does not void it.
#[test]
fn done_takes_precedence_over_a_later_change_of_a_condition() {
    let mut writes = with_one_submission();
    writes.observe_change("fq/j/run-1", Some(&data(5)), 42);
    writes.observe_change("fq/h/a", Some(&data(9)), 43);
    assert_eq!(writes.take_resolved(), vec![(1, Proof::Done(42))]);
}

/// The transaction may have been carried out during the gap and overwritten since, so a changed
/// condition proves nothing.
#[test]
fn after_a_watch_gap_only_done_can_be_proved() {
    let mut writes = with_one_submission();
    writes.mark_watch_gap();
    writes.observe_change("fq/h/a", Some(&data(9)), 43);
    assert!(writes.take_resolved().is_empty());
    writes.observe_value("fq/j/run-1", Some(&data(5)), 42);
    assert_eq!(writes.take_resolved(), vec![(1, Proof::Done(42))]);
}

/// A read does not show the changes before it, so it cannot prove a transaction void.
#[test]
fn a_read_can_only_prove_done() {
    let mut writes = with_one_submission();
    writes.observe_value("fq/h/a", Some(&data(9)), 43);
    writes.observe_value("fq/j/run-1", Some(&data(6)), 44);
    assert!(writes.take_resolved().is_empty());
}

/// The key may become absent again, or the transaction itself may have deleted it.
#[test]
fn absence_of_a_deletable_key_does_not_prove_void() {
    let mut writes = InFlightWrites::default();
    writes.track(
        1,
        &txn(&[("fq/h/a", 0), ("fq/h/b", 3)], vec![put("fq/h/a", 5), Op::Delete { key: "fq/h/b".into() }]),
        40,
    );
    writes.observe_change("fq/h/a", Some(&data(6)), 41);
    writes.observe_change("fq/h/b", None, 42);
    assert!(writes.take_resolved().is_empty());
    writes.observe_change("fq/h/a", Some(&data(5)), 43);
    assert_eq!(writes.take_resolved(), vec![(1, Proof::Done(43))]);
}

/// A resolved transaction leaves no entry, and one that only its answer can resolve gets none.
#[test]
fn answered_writes_are_forgotten() {
    let mut writes = with_one_submission();
    writes.observe_change("fq/j/run-1", Some(&data(5)), 42);
    writes.stop_tracking(1);
    writes.observe_change("fq/j/run-1", Some(&data(5)), 42);
    assert!(writes.take_resolved().is_empty() && writes.is_empty() && writes.by_key.is_empty());
    writes.track(2, &txn(&[("fq/h/a", 3)], vec![Op::Delete { key: "fq/h/a".into() }]), 40);
    assert!(writes.is_empty(), "it puts no key that it is conditional on");
}

/// The store may encode a value differently from how it was sent.
#[test]
fn equal_data_is_recognised_in_any_encoding() {
    let sent = cbor!({"a" => 4.0, "b" => [1, null], "c" => null, "d" => {"e" => "x", "f" => true}}).unwrap();
    let stored = cbor!({"d" => {"f" => true, "e" => "x"}, "b" => [1, null], "a" => 4}).unwrap();
    assert!(same_data(&sent, &stored) && same_data(&stored, &sent));
    for other in [
        cbor!({"a" => 4.5, "b" => [1, null], "d" => {"e" => "x", "f" => true}}).unwrap(),
        cbor!({"a" => 4, "b" => [1], "d" => {"e" => "x", "f" => true}}).unwrap(),
        cbor!({"a" => 4, "b" => [1, null], "d" => {"e" => "x", "f" => true}, "g" => 1}).unwrap(),
    ] {
        assert!(!same_data(&sent, &other) && !same_data(&other, &sent));
    }
}
