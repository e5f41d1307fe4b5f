//! Tests of the view of a running cluster.

use super::*;
use finchquay_protocol::user::JobSpec;
use ratatui::Terminal;
use ratatui::backend::TestBackend;

#[test]
fn screen_shows_the_events_of_the_history() {
    let mut model = Model::default();
    let call = |state| Event::UserRequest {
        operation: UserOperation::Poll,
        uid: "run-1".into(),
        controller: "perch-0".into(),
        began_s: 0.0,
        status: Some(200),
        state: Some(state),
        done: 0,
    };
    let events = [
        Event::Controller { controller: "perch-0".into(), what: "started".into() },
        Event::Fault { name: "store-away".into(), on: true },
        Event::Job { spec: JobSpec::example("run-1") },
        call(Status::Done),
        call(Status::Running),
    ];
    let news: Vec<String> =
        events.into_iter().filter_map(|event| model.update(&HistoryLine { at_s: 12.0, event })).collect();
    assert_eq!(news.len(), 2);
    assert!(model.summary().contains("1 done") && model.summary().contains("0 running"));
    let mut terminal = Terminal::new(TestBackend::new(100, 30)).unwrap();
    terminal.draw(|f| model.draw(f)).unwrap();
    let screen = terminal.backend().to_string();
    for part in ["perch-0", "store-away", "withdrawn", "tasks running", "fault store-away begins"] {
        assert!(screen.contains(part), "{part} is missing from\n{screen}");
    }
}
