//! Tests of the output of commands.

use super::*;

/// The table and the JSON must contain the same values.
#[test]
fn both_formats_contain_the_same_values() {
    let state = JobState { uid: "run-1".into(), status: Status::Running, done: 3, running: 13 };
    let lines = [JobLine::new("run-1", Some("web"), Some(&state)), JobLine::new("run-2", None, None)];
    let table = render(Format::Table, &lines);
    let rows: Vec<Vec<&str>> = table.lines().map(|line| line.split_whitespace().collect()).collect();
    assert_eq!(rows[1], ["run-1", "web", "running", "3", "13"]);
    assert_eq!(rows[2], ["run-2", "-", "-", "-", "-"]);
    let json: serde_json::Value = serde_json::from_str(&render(Format::Json, &lines)).unwrap();
    assert_eq!((json[0]["status"].as_str(), json[0]["tasks_done"].as_u64()), (Some("running"), Some(3)));
    assert!(json[1]["status"].is_null());
}
