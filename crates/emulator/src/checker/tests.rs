//! Tests of the rules: a valid history passes, and every planted violation is found.

use super::*;

fn line(t: f64, event: Event) -> HistoryLine {
    HistoryLine { at_s: t, event }
}

fn call(t: f64, operation: UserOperation, uid: &str, status: u16, state: Option<Status>) -> HistoryLine {
    let controller = "c-0".into();
    let event = Event::UserRequest {
        operation,
        uid: uid.into(),
        controller,
        began_s: t - 0.1,
        status: Some(status),
        state,
        done: 0,
    };
    line(t, event)
}

fn start(t: f64, machine: &str, uid: &str, index: u32) -> HistoryLine {
    line(t, Event::Start { machine: machine.into(), job: uid.into(), index, attempt: 1 })
}

fn stop(t: f64, machine: &str, uid: &str, index: u32, cause: &str) -> HistoryLine {
    let cause = cause.into();
    line(t, Event::Stop { machine: machine.into(), job: uid.into(), index, attempt: 1, cause })
}

/// A valid history: an array of two tasks that completes, and a job that is cancelled at
/// 20 s.
fn valid_history() -> Vec<HistoryLine> {
    let facts = ClusterFacts {
        limits: BTreeMap::from([("d".to_string(), (3.0, 0.0))]),
        cancel_s: 20.0,
        controllers: BTreeMap::new(),
    };
    let up = |t, m: &str, zone: &str, spot| {
        line(t, Event::MachineUp { machine: m.into(), machine_type: "std".into(), zone: zone.into(), spot })
    };
    let mut gang = JobSpec::example("run-2");
    (gang.zone_affinity, gang.spot_allowed, gang.task_count) = (true, false, 2);
    vec![
        line(0.0, Event::RunStarted { scenario: "s".into(), seed: 1, facts }),
        up(0.0, "m-0", "a", false),
        up(0.0, "m-1", "a", true),
        up(0.0, "m-2", "b", false),
        line(1.0, Event::Job { spec: JobSpec::example("run-1") }),
        call(1.2, UserOperation::Submit, "run-1", 201, Some(Status::Queued)),
        start(2.0, "m-0", "run-1", 0),
        start(2.0, "m-1", "run-1", 1),
        call(3.0, UserOperation::Poll, "run-1", 200, Some(Status::Running)),
        stop(4.0, "m-1", "run-1", 1, "vanished"),
        stop(5.0, "m-0", "run-1", 0, "done"),
        start(6.0, "m-0", "run-1", 1),
        stop(8.0, "m-0", "run-1", 1, "done"),
        call(9.0, UserOperation::Poll, "run-1", 200, Some(Status::Done)),
        call(9.5, UserOperation::Poll, "run-77", 404, None),
        line(10.0, Event::Job { spec: gang }),
        call(10.2, UserOperation::Submit, "run-2", 201, Some(Status::Queued)),
        start(11.0, "m-0", "run-2", 0),
        call(20.0, UserOperation::Cancel, "run-2", 200, Some(Status::Cancelled)),
        stop(25.0, "m-0", "run-2", 0, "stopped"),
        line(60.0, Event::RunEnded { settled: true }),
    ]
}

/// Rules that are broken when lines are inserted into the valid history.
fn rules_broken_with(at: usize, extra: Vec<HistoryLine>) -> Vec<Rule> {
    let mut lines = valid_history();
    lines.splice(at..at, extra);
    check(&lines).violations.into_iter().map(|v| v.rule).collect()
}

#[test]
fn a_valid_history_passes_and_is_counted() {
    let verdict = check(&valid_history());
    assert_eq!(verdict.violations, []);
    let counts = (
        verdict.submitted,
        verdict.accepted,
        verdict.accepted_finite,
        verdict.confirmed_done,
        verdict.confirmed_cancelled,
        verdict.starts,
        verdict.tasks_done,
    );
    assert_eq!(counts, (2, 2, 2, 1, 1, 4, 2));
}

/// Plants a violation of each rule into the valid history.
#[test]
fn every_planted_violation_is_found() {
    assert_eq!(
        rules_broken_with(8, vec![start(2.5, "m-2", "run-1", 0), stop(2.6, "m-2", "run-1", 0, "stopped")]),
        [Rule::RanTwice]
    );
    let over_quota: Vec<HistoryLine> = (2..4).map(|i| start(2.5, "m-0", "run-1", i)).collect();
    let over_quota: Vec<HistoryLine> =
        over_quota.into_iter().chain((2..4).map(|i| stop(2.6, "m-0", "run-1", i, "x"))).collect();
    assert_eq!(rules_broken_with(8, over_quota), [Rule::Quota]);
    assert_eq!(
        rules_broken_with(18, vec![start(12.0, "m-1", "run-2", 1), stop(12.1, "m-1", "run-2", 1, "x")]),
        [Rule::WrongPlace]
    );
    assert_eq!(
        rules_broken_with(18, vec![start(12.0, "m-2", "run-2", 1), stop(12.1, "m-2", "run-2", 1, "x")]),
        [Rule::WrongPlace]
    );
    assert_eq!(
        rules_broken_with(20, vec![start(41.0, "m-0", "run-2", 1), stop(41.2, "m-0", "run-2", 1, "x")]).len(),
        2
    );
    let never_stopped = rules_broken_with(20, vec![start(30.0, "m-0", "run-2", 0)]);
    assert_eq!(never_stopped, [Rule::RanCancelled]);
    assert_eq!(rules_broken_with(9, vec![call(3.5, UserOperation::Poll, "run-1", 404, None)]), [Rule::Forgotten]);
    assert_eq!(rules_broken_with(9, vec![call(3.5, UserOperation::Submit, "run-1", 422, None)]), [Rule::Forgotten]);
    assert_eq!(
        rules_broken_with(9, vec![call(3.5, UserOperation::Poll, "run-9", 200, Some(Status::Queued))]),
        [Rule::Invented]
    );
    assert_eq!(
        rules_broken_with(11, vec![call(5.5, UserOperation::Poll, "run-1", 200, Some(Status::Done))]),
        [Rule::NotDone]
    );
    let contradiction = vec![call(9.4, UserOperation::Poll, "run-1", 200, Some(Status::Running))];
    assert_eq!(rules_broken_with(14, contradiction), [Rule::WentBack]);
    let not_requested = vec![call(5.5, UserOperation::Poll, "run-1", 200, Some(Status::Cancelled))];
    assert!(rules_broken_with(11, not_requested).contains(&Rule::WentBack));
    let mut nothing_ran = valid_history();
    nothing_ran.retain(|l| !matches!(l.event, Event::Start { .. } | Event::Stop { .. } | Event::UserRequest { .. }));
    let rules: Vec<Rule> = check(&nothing_ran).violations.iter().map(|v| v.rule).collect();
    // As no task ran, neither the class nor the team was served.
    assert_eq!(rules, [Rule::Unserved, Rule::Unserved, Rule::NothingRan]);
    let mut unfinished = valid_history();
    unfinished.remove(13);
    assert_eq!(check(&unfinished).violations[0].rule, Rule::NoFinalAnswer);
    unfinished.pop();
    unfinished.push(line(60.0, Event::RunEnded { settled: false }));
    assert!(check(&unfinished).passed(), "in a run that was cut short, unfinished jobs break no rule");
}

/// A response to a request that was sent before the final status was reported may carry an
/// older status.
#[test]
fn overlapping_responses_are_no_violation() {
    let mut late = call(9.05, UserOperation::Poll, "run-1", 200, Some(Status::Running));
    if let Event::UserRequest { began_s, .. } = &mut late.event {
        *began_s = 8.5;
    }
    assert_eq!(rules_broken_with(14, vec![late]), []);
}

#[test]
fn a_job_whose_polls_keep_failing_is_forgotten_if_others_are_answered() {
    let poll = |t: f64, uid: &str, status| {
        let controller = String::new();
        let event = Event::UserRequest {
            operation: UserOperation::Poll,
            uid: uid.into(),
            controller,
            began_s: t,
            status,
            state: None,
            done: 0,
        };
        line(t, event)
    };
    let violations = |others: Option<u16>| {
        let pair =
            |i: i32| [poll(9.0 + f64::from(i) * 5.0, "run-1", None), poll(9.1 + f64::from(i) * 5.0, "run-78", others)];
        let mut lines: Vec<HistoryLine> = valid_history().into_iter().take(8).collect();
        lines.extend((0..20).flat_map(pair).chain([poll(110.0, "run-79", others)]));
        lines.extend([poll(110.0, "run-1", None)]);
        check(&lines).violations.len()
    };
    assert_eq!((violations(Some(404)), violations(None)), (1, 0));
}

#[test]
fn lost_writes_are_counted_by_kind_of_record() {
    let store = |what: &str, keys: &[&str]| {
        line(3.0, Event::StoreFault { what: what.into(), keys: keys.iter().map(|k| (*k).to_string()).collect() })
    };
    let mut lines = valid_history();
    lines.splice(8..8, [store("lost", &["fq/j/run-1", "fq/t/run-1/0"]), store("late", &["fq/j/run-1"])]);
    let lost_writes = check(&lines).lost_writes;
    assert_eq!(lost_writes, BTreeMap::from([("fq/j".to_string(), 1), ("fq/t".to_string(), 1)]));
}
