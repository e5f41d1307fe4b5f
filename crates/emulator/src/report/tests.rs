//! Tests that a report has the right figures, and survives writing and reading.

use super::*;
use finchquay_protocol::user::{JobSpec, Status};

/// The history of one job with two tasks.
fn lines() -> Vec<HistoryLine> {
    let call = |operation, status, state| Event::UserRequest {
        operation,
        uid: "run-1".into(),
        controller: "c".into(),
        began_s: 0.0,
        status,
        state,
        done: 0,
    };
    let start = |index| Event::Start { machine: "m".into(), job: "run-1".into(), index, attempt: 1 };
    let stop =
        |index| Event::Stop { machine: "m".into(), job: "run-1".into(), index, attempt: 1, cause: "done".into() };
    let sample = |changes, cpu| Event::Sample {
        machines_up: 1,
        machines_booting: 0,
        tasks_running: 1,
        store_changes: changes,
        store_requests: changes * 2,
        spent: 1.0,
        controllers: BTreeMap::from([("c".to_string(), (5.0, cpu))]),
    };
    let controller = |what: &str| Event::Controller { controller: "c".into(), what: what.into() };
    let up = Event::MachineUp { machine: "m".into(), machine_type: "std".into(), zone: "a".into(), spot: false };
    [
        (0.0, controller("started")),
        (0.5, up),
        (1.0, Event::Job { spec: JobSpec::example("run-1") }),
        (1.5, call(UserOperation::Submit, None, None)),
        (3.0, call(UserOperation::Submit, Some(201), Some(Status::Queued))),
        (4.0, start(0)),
        (5.0, sample(10, 1.0)),
        (5.5, controller("killed")),
        (6.0, start(1)),
        (7.0, sample(50, 0.5)),
        (8.0, stop(0)),
        (8.0, stop(1)),
        (9.0, call(UserOperation::Poll, Some(200), Some(Status::Done))),
        (10.0, Event::RunEnded { settled: true }),
    ]
    .map(|(t, event)| HistoryLine { at_s: t, event })
    .into()
}

#[test]
fn report_has_the_figures_of_the_history() {
    let report = report(&lines());
    let class = &report.classes["c"];
    assert!((class.accept.max_ms - 2000.0).abs() < 20.0 && (class.done.p50_ms - 8000.0).abs() < 80.0);
    assert_eq!((class.start.count, class.jobs, class.tasks), (2, 1, 2));
    assert_eq!((report.answers["none"], report.stops["done"], report.tasks_done_per_s), (1, 2, 0.2));
    assert!((report.curve[1].changes_per_s - 20.0).abs() < 0.01);
    let usage = &report.controllers["c"];
    assert!((usage.cpu - 0.15).abs() < 1e-9 && usage.starts == 1, "{usage:?}");
    assert!(report.verdict.passed());
    let html = page(&report);
    assert!(html.contains("<svg") && html.contains("tasks running"));
    let back: Report = serde_json::from_str(&serde_json::to_string(&report).unwrap()).unwrap();
    assert_eq!(back, report);
    assert!(compare(&report, &report).lines().all(|l| !l.contains("tasks done a second") || l.ends_with("0.000")));
}
