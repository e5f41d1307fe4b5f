use super::*;

const CALL: CallId = 1;
const KEY: &str = "fq/example";

/// A component that has sent one transaction with one change, on `KEY`.
fn with_one_sent() -> (Transactions, PendingTransaction) {
    let mut transactions = Transactions::new(10.0);
    let op = store::Op::Delete { key: KEY.into() };
    let txn = Txn { conditions: Vec::new(), ops: vec![op] };
    let pending = transactions.begin(CALL, txn, Why::Close, vec![KEY.into()], 0, Duration::ZERO);
    (transactions, pending)
}

#[test]
fn keys_are_locked_until_the_transaction_ends() {
    let (mut transactions, pending) = with_one_sent();
    assert!(transactions.is_locked(KEY));
    transactions.finish(&pending, &Ended::Unknown, Duration::ZERO);
    assert!(!transactions.is_locked(KEY));
}

#[test]
fn a_change_that_the_store_refused_for_now_is_not_charged() {
    let (mut transactions, pending) = with_one_sent();
    assert_eq!(transactions.unspent_writes(Duration::ZERO), 9.0);
    let refused = Ok(Reply { status: 503, body: Vec::new() });
    transactions.end_call(CALL, pending.charge, &refused, Duration::ZERO);
    assert_eq!(transactions.unspent_writes(Duration::ZERO), 10.0);
}

#[test]
fn a_change_without_an_answer_stays_charged() {
    let (mut transactions, pending) = with_one_sent();
    transactions.end_call(CALL, pending.charge, &Err(NoAnswer), Duration::ZERO);
    assert_eq!(transactions.unspent_writes(Duration::ZERO), 9.0);
}

#[test]
fn an_outdated_record_waits_for_the_revision_that_outdated_it() {
    let mut transactions = Transactions::new(10.0);
    transactions.mark_outdated(KEY, 5);
    transactions.forget_outdated(4);
    assert!(transactions.is_outdated(KEY));
    transactions.forget_outdated(5);
    assert!(!transactions.is_outdated(KEY));
}
