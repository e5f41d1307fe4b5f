//! What settles a transaction, and what does not.

use super::*;
use crate::protocol::store::Condition;
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

/// A job's record is put where there was none, and two more keys are only looked at.
fn one() -> Writes {
    let mut w = Writes::default();
    let t = txn(&[("fq/j/run-1", 0), ("fq/h/a", 30), ("fq/b/perch-0", 7)], vec![put("fq/j/run-1", 5)]);
    w.sent(1, &t, 40);
    w
}

fn void(key: &str, revision: u64) -> Vec<(CallId, Proof)> {
    vec![(1, Proof::Void { key: key.into(), revision })]
}

#[test]
fn just_the_value_put_is_proof() {
    let mut w = one();
    w.changed("fq/j/run-2", Some(&data(5)), 41);
    assert!(w.settled().is_empty(), "another key");
    w.changed("fq/j/run-1", Some(&data(5)), 42);
    assert_eq!(w.settled(), vec![(1, Proof::Done(42))]);
    assert!(w.is_empty() && w.by_key.is_empty());
    let mut w = one();
    w.changed("fq/j/run-1", Some(&data(6)), 42);
    assert_eq!(w.settled(), void("fq/j/run-1", 42), "another's value");
}

/// Ours is carried out after it was sent: what was known by then is older.
#[test]
fn a_value_like_ours_from_before_is_none() {
    let mut w = Writes::default();
    w.sent(1, &txn(&[("fq/m/perch-0", 0)], vec![put("fq/m/perch-0", 5)]), 40);
    w.changed("fq/m/perch-0", Some(&data(5)), 40);
    assert!(w.settled().is_empty());
    w.changed("fq/m/perch-0", None, 41);
    assert!(w.settled().is_empty(), "absent again, so ours may come yet");
    w.changed("fq/m/perch-0", Some(&data(5)), 42);
    assert_eq!(w.settled(), vec![(1, Proof::Done(42))]);
}

/// Other writes put some of the keys with values like ours; only all of them at one
/// revision are ours, or as good.
#[test]
fn all_puts_at_one_revision_or_none() {
    let t = txn(&[("fq/l/perch-0/3", 9), ("fq/q/capped", 8)], vec![put("fq/l/perch-0/3", 1), put("fq/q/capped", 2)]);
    let mut w = Writes::default();
    w.sent(1, &t, 40);
    w.changed("fq/l/perch-0/3", Some(&data(1)), 41);
    w.changed("fq/q/capped", Some(&data(2)), 42);
    assert_eq!(w.settled(), void("fq/l/perch-0/3", 41));
    w.sent(1, &t, 42);
    w.changed("fq/l/perch-0/3", Some(&data(1)), 43);
    w.changed("fq/q/capped", Some(&data(2)), 43);
    w.changed("fq/q/capped", Some(&data(3)), 44);
    assert_eq!(w.settled(), vec![(1, Proof::Done(43))], "changed again by another, within one response");
}

#[test]
fn a_change_of_any_condition_voids() {
    for (key, known) in [("fq/h/a", 30), ("fq/b/perch-0", 7)] {
        let mut w = one();
        w.changed(key, Some(&data(1)), known);
        assert!(w.settled().is_empty(), "the change that the condition names");
        w.changed(key, None, 41);
        assert_eq!(w.settled(), void(key, 41));
    }
}

/// What is carried out first counts: a change of a condition that came after ours.
#[test]
fn ours_comes_before_what_changed_its_condition_later() {
    let mut w = one();
    w.changed("fq/j/run-1", Some(&data(5)), 42);
    w.changed("fq/h/a", Some(&data(9)), 43);
    assert_eq!(w.settled(), vec![(1, Proof::Done(42))]);
}

/// Between two loads the store may have held ours: only what it holds is proof then.
#[test]
fn after_a_gap_nothing_is_void() {
    let mut w = one();
    w.gap();
    w.changed("fq/h/a", Some(&data(9)), 43);
    assert!(w.settled().is_empty());
    w.shows("fq/j/run-1", Some(&data(5)), 42);
    assert_eq!(w.settled(), vec![(1, Proof::Done(42))]);
}

/// A read has no order, so it voids nothing.
#[test]
fn a_read_proves_only_what_is_there() {
    let mut w = one();
    w.shows("fq/h/a", Some(&data(9)), 43);
    w.shows("fq/j/run-1", Some(&data(6)), 44);
    assert!(w.settled().is_empty());
}

/// Its key may be absent again, or it deletes it itself.
#[test]
fn keys_that_are_deleted_void_nothing_by_their_absence() {
    let mut w = Writes::default();
    w.sent(1, &txn(&[("fq/h/a", 0), ("fq/h/b", 3)], vec![put("fq/h/a", 5), Op::Delete { key: "fq/h/b".into() }]), 40);
    w.changed("fq/h/a", Some(&data(6)), 41);
    w.changed("fq/h/b", None, 42);
    assert!(w.settled().is_empty());
    w.changed("fq/h/a", Some(&data(5)), 43);
    assert_eq!(w.settled(), vec![(1, Proof::Done(43))]);
}

#[test]
fn what_was_answered_is_forgotten() {
    let mut w = one();
    w.changed("fq/j/run-1", Some(&data(5)), 42);
    w.ended(1);
    w.changed("fq/j/run-1", Some(&data(5)), 42);
    assert!(w.settled().is_empty() && w.is_empty() && w.by_key.is_empty());
    w.sent(2, &txn(&[("fq/h/a", 3)], vec![Op::Delete { key: "fq/h/a".into() }]), 40);
    assert!(w.is_empty(), "it puts nothing that it is conditional on");
}

/// A store may write a value down in another way than it came.
#[test]
fn data_is_the_same_however_it_is_written_down() {
    let ours = cbor!({"a" => 4.0, "b" => [1, null], "c" => null, "d" => {"e" => "x", "f" => true}}).unwrap();
    let theirs = cbor!({"d" => {"f" => true, "e" => "x"}, "b" => [1, null], "a" => 4}).unwrap();
    assert!(alike(&ours, &theirs) && alike(&theirs, &ours));
    for other in [
        cbor!({"a" => 4.5, "b" => [1, null], "d" => {"e" => "x", "f" => true}}).unwrap(),
        cbor!({"a" => 4, "b" => [1], "d" => {"e" => "x", "f" => true}}).unwrap(),
        cbor!({"a" => 4, "b" => [1, null], "d" => {"e" => "x", "f" => true}, "g" => 1}).unwrap(),
    ] {
        assert!(!alike(&ours, &other) && !alike(&other, &ours));
    }
}
