use super::*;

/// Starts a call with the purpose `Barrier`.
fn start_call(outbox: &mut Outbox) -> CallId {
    outbox.call(Target::Store, "GET", "/key".into(), None, Duration::from_secs(1), CallPurpose::Barrier)
}

fn reply(status: u16) -> Result<Reply, NoAnswer> {
    Ok(Reply { status, body: Vec::new() })
}

#[test]
fn a_call_ends_once() {
    let mut outbox = Outbox::new();
    let id = start_call(&mut outbox);
    assert!(outbox.end_call(id).is_some());
    assert!(outbox.end_call(id).is_none());
}

#[test]
fn ids_are_not_reused() {
    let mut outbox = Outbox::new();
    let first = start_call(&mut outbox);
    outbox.end_call(first);
    assert_eq!(outbox.next_call_id(), first + 1);
    assert_ne!(start_call(&mut outbox), first);
}

#[test]
fn actions_are_drained_once_and_in_order() {
    let mut outbox = Outbox::new();
    let ids = [start_call(&mut outbox), start_call(&mut outbox)];
    let mut actions = Vec::new();
    outbox.drain_into(&mut actions);
    outbox.drain_into(&mut actions);
    let called: Vec<CallId> = actions
        .iter()
        .filter_map(|action| if let Action::Call { id, .. } = action { Some(*id) } else { None })
        .collect();
    assert_eq!(called, ids);
}

#[test]
fn only_missing_answers_and_503_count_as_failures() {
    assert_eq!(retry_outcome(RetryPurpose::Write, &Err(NoAnswer)), Outcome::Failed);
    assert_eq!(retry_outcome(RetryPurpose::Write, &reply(503)), Outcome::Failed);
    assert_eq!(retry_outcome(RetryPurpose::Write, &reply(429)), Outcome::Limited);
    assert_eq!(retry_outcome(RetryPurpose::Write, &reply(409)), Outcome::Answered);
}

#[test]
fn a_cloud_without_capacity_counts_as_available() {
    let body = crate::protocol::encode(&ErrorBody { error: NO_CAPACITY.into() });
    let result = Ok(Reply { status: 503, body });
    assert_eq!(retry_outcome(RetryPurpose::Rent, &result), Outcome::Answered);
    assert_eq!(retry_outcome(RetryPurpose::List, &result), Outcome::Failed);
}
