use super::*;

const CALL: CallId = 1;
const KEY: &str = "fq/example";

/// `Transactions` with one transaction in flight, which changes `KEY`.
fn with_one_in_flight() -> (Transactions, PendingTransaction) {
    let mut transactions = Transactions::new(10.0);
    let op = store::Op::Delete { key: KEY.into() };
    let txn = Txn { conditions: Vec::new(), ops: vec![op] };
    let pending = transactions.begin(CALL, txn, TxnPurpose::Close, vec![KEY.into()], 0, Duration::ZERO);
    (transactions, pending)
}

#[test]
fn keys_are_locked_until_the_transaction_ends() {
    let (mut transactions, pending) = with_one_in_flight();
    assert!(transactions.is_locked(KEY));
    transactions.finish(&pending, &TxnOutcome::Unknown, Duration::ZERO);
    assert!(!transactions.is_locked(KEY));
}

#[test]
fn a_change_refused_with_503_is_refunded() {
    let (mut transactions, pending) = with_one_in_flight();
    assert_eq!(transactions.unspent_writes(Duration::ZERO), 9.0);
    let refused = Ok(Reply { status: 503, body: Vec::new() });
    transactions.end_call(CALL, pending.charge, &refused, Duration::ZERO);
    assert_eq!(transactions.unspent_writes(Duration::ZERO), 10.0);
}

#[test]
fn a_change_without_an_answer_stays_charged() {
    let (mut transactions, pending) = with_one_in_flight();
    transactions.end_call(CALL, pending.charge, &Err(NoAnswer), Duration::ZERO);
    assert_eq!(transactions.unspent_writes(Duration::ZERO), 9.0);
}

#[test]
fn a_record_is_outdated_until_the_replica_has_applied_the_revision() {
    let mut transactions = Transactions::new(10.0);
    transactions.mark_outdated(KEY, 5);
    transactions.forget_outdated(4);
    assert!(transactions.is_outdated(KEY));
    transactions.forget_outdated(5);
    assert!(!transactions.is_outdated(KEY));
}
