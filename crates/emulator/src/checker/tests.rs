//! Tests of the rules: each broken history is found, and a sound one passes.

use super::*;

fn line(t: f64, event: Event) -> Line {
    Line { t, event }
}

fn call(t: f64, asked: Asked, uid: &str, status: u16, state: Option<Status>) -> Line {
    let controller = "c-0".into();
    let event =
        Event::Call { asked, uid: uid.into(), controller, began_s: t - 0.1, status: Some(status), state, done: 0 };
    line(t, event)
}

fn start(t: f64, machine: &str, uid: &str, index: u32) -> Line {
    line(t, Event::Start { machine: machine.into(), job: uid.into(), index, attempt: 1 })
}

fn stop(t: f64, machine: &str, uid: &str, index: u32, cause: &str) -> Line {
    let cause = cause.into();
    line(t, Event::Stop { machine: machine.into(), job: uid.into(), index, attempt: 1, cause })
}

/// A sound history: an array of two that is done, a job cancelled at 20 s.
fn sound() -> Vec<Line> {
    let facts =
        Facts { limits: BTreeMap::from([("d".to_string(), (3.0, 0.0))]), cancel_s: 20.0, controllers: BTreeMap::new() };
    let up = |t, m: &str, zone: &str, spot| {
        line(t, Event::MachineUp { machine: m.into(), machine_type: "std".into(), zone: zone.into(), spot })
    };
    let mut gang = JobSpec::example("run-2");
    (gang.zone_affinity, gang.spot_allowed, gang.task_count) = (true, false, 2);
    vec![
        line(0.0, Event::Began { scenario: "s".into(), seed: 1, facts }),
        up(0.0, "m-0", "a", false),
        up(0.0, "m-1", "a", true),
        up(0.0, "m-2", "b", false),
        line(1.0, Event::Job { spec: JobSpec::example("run-1") }),
        call(1.2, Asked::Submit, "run-1", 201, Some(Status::Queued)),
        start(2.0, "m-0", "run-1", 0),
        start(2.0, "m-1", "run-1", 1),
        call(3.0, Asked::Poll, "run-1", 200, Some(Status::Running)),
        stop(4.0, "m-1", "run-1", 1, "vanished"),
        stop(5.0, "m-0", "run-1", 0, "done"),
        start(6.0, "m-0", "run-1", 1),
        stop(8.0, "m-0", "run-1", 1, "done"),
        call(9.0, Asked::Poll, "run-1", 200, Some(Status::Done)),
        call(9.5, Asked::Poll, "run-77", 404, None),
        line(10.0, Event::Job { spec: gang }),
        call(10.2, Asked::Submit, "run-2", 201, Some(Status::Queued)),
        start(11.0, "m-0", "run-2", 0),
        call(20.0, Asked::Cancel, "run-2", 200, Some(Status::Cancelled)),
        stop(25.0, "m-0", "run-2", 0, "stopped"),
        line(60.0, Event::Over { settled: true }),
    ]
}

fn with(at: usize, extra: Vec<Line>) -> Vec<Rule> {
    let mut lines = sound();
    lines.splice(at..at, extra);
    check(&lines).violations.into_iter().map(|v| v.rule).collect()
}

#[test]
fn a_sound_history_passes_and_is_counted() {
    let v = check(&sound());
    assert_eq!(v.violations, []);
    let counts = (v.submitted, v.accepted, v.finite, v.confirmed_done, v.confirmed_cancelled, v.starts, v.tasks_done);
    assert_eq!(counts, (2, 2, 2, 1, 1, 4, 2));
}

/// One violation of each rule, planted into the sound history.
#[test]
fn every_planted_violation_is_found() {
    assert_eq!(with(8, vec![start(2.5, "m-2", "run-1", 0), stop(2.6, "m-2", "run-1", 0, "stopped")]), [Rule::RanTwice]);
    let crowd: Vec<Line> = (2..4).map(|i| start(2.5, "m-0", "run-1", i)).collect();
    let crowd: Vec<Line> = crowd.into_iter().chain((2..4).map(|i| stop(2.6, "m-0", "run-1", i, "x"))).collect();
    assert_eq!(with(8, crowd), [Rule::Quota]);
    assert_eq!(with(18, vec![start(12.0, "m-1", "run-2", 1), stop(12.1, "m-1", "run-2", 1, "x")]), [Rule::WrongPlace]);
    assert_eq!(with(18, vec![start(12.0, "m-2", "run-2", 1), stop(12.1, "m-2", "run-2", 1, "x")]), [Rule::WrongPlace]);
    assert_eq!(with(20, vec![start(41.0, "m-0", "run-2", 1), stop(41.2, "m-0", "run-2", 1, "x")]).len(), 2);
    let left_on = with(20, vec![start(30.0, "m-0", "run-2", 0)]);
    assert_eq!(left_on, [Rule::RanCancelled]);
    assert_eq!(with(9, vec![call(3.5, Asked::Poll, "run-1", 404, None)]), [Rule::Forgotten]);
    assert_eq!(with(9, vec![call(3.5, Asked::Submit, "run-1", 422, None)]), [Rule::Forgotten]);
    assert_eq!(with(9, vec![call(3.5, Asked::Poll, "run-9", 200, Some(Status::Queued))]), [Rule::Invented]);
    assert_eq!(with(11, vec![call(5.5, Asked::Poll, "run-1", 200, Some(Status::Done))]), [Rule::NotDone]);
    let back = vec![call(9.4, Asked::Poll, "run-1", 200, Some(Status::Running))];
    assert_eq!(with(14, back), [Rule::WentBack]);
    let unasked = vec![call(5.5, Asked::Poll, "run-1", 200, Some(Status::Cancelled))];
    assert!(with(11, unasked).contains(&Rule::WentBack));
    let mut idle = sound();
    idle.retain(|l| !matches!(l.event, Event::Start { .. } | Event::Stop { .. } | Event::Call { .. }));
    let rules: Vec<Rule> = check(&idle).violations.iter().map(|v| v.rule).collect();
    // Neither the class nor the team was served, as nothing ran.
    assert_eq!(rules, [Rule::Unserved, Rule::Unserved, Rule::NothingRan]);
    let mut endless = sound();
    endless.remove(13);
    assert_eq!(check(&endless).violations[0].rule, Rule::NoFinalAnswer);
    endless.pop();
    endless.push(line(60.0, Event::Over { settled: false }));
    assert!(check(&endless).holds(), "a history cut short says nothing of jobs that go on");
}

/// An answer that was under way when the end was told is not older news.
#[test]
fn overlapping_answers_are_no_violation() {
    let mut late = call(9.05, Asked::Poll, "run-1", 200, Some(Status::Running));
    if let Event::Call { began_s, .. } = &mut late.event {
        *began_s = 8.5;
    }
    assert_eq!(with(14, vec![late]), []);
}

#[test]
fn a_job_that_nobody_answers_for_is_forgotten_while_others_are_answered() {
    let failed = |t: f64, uid: &str, status| {
        let controller = String::new();
        let event =
            Event::Call { asked: Asked::Poll, uid: uid.into(), controller, began_s: t, status, state: None, done: 0 };
        line(t, event)
    };
    let polls = |others: Option<u16>| {
        let pair = |i: i32| {
            [failed(9.0 + f64::from(i) * 5.0, "run-1", None), failed(9.1 + f64::from(i) * 5.0, "run-78", others)]
        };
        let mut lines: Vec<Line> = sound().into_iter().take(8).collect();
        lines.extend((0..20).flat_map(pair).chain([failed(110.0, "run-79", others)]));
        lines.extend([failed(110.0, "run-1", None)]);
        check(&lines).violations.len()
    };
    assert_eq!((polls(Some(404)), polls(None)), (1, 0));
}

#[test]
fn lost_writes_are_counted_by_kind_of_record() {
    let store = |what: &str, keys: &[&str]| {
        line(3.0, Event::Store { what: what.into(), keys: keys.iter().map(|k| (*k).to_string()).collect() })
    };
    let mut lines = sound();
    lines.splice(8..8, [store("lost", &["fq/j/run-1", "fq/t/run-1/0"]), store("late", &["fq/j/run-1"])]);
    let lost = check(&lines).lost;
    assert_eq!(lost, BTreeMap::from([("fq/j".to_string(), 1), ("fq/t".to_string(), 1)]));
}
