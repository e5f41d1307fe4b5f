//! How results are written: a table for people, JSON for programs.

use clap::ValueEnum;
use comfy_table::{Table, presets::NOTHING};
use finchquay_protocol::user::{JobState, Status};
use serde::Serialize;

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    Table,
    Json,
}

/// What is told of one job. Fields that are not known are null.
#[derive(Debug, Serialize)]
pub struct JobLine {
    pub id: String,
    pub class: Option<String>,
    pub status: Option<Status>,
    pub tasks_done: Option<u32>,
    pub tasks_running: Option<u32>,
}

impl JobLine {
    pub fn of(id: &str, class: Option<&str>, state: Option<&JobState>) -> JobLine {
        JobLine {
            id: id.into(),
            class: class.map(Into::into),
            status: state.map(|s| s.status),
            tasks_done: state.map(|s| s.done),
            tasks_running: state.map(|s| s.running),
        }
    }
}

pub fn render(format: Format, lines: &[JobLine]) -> String {
    match format {
        Format::Json => serde_json::to_string_pretty(lines).unwrap_or_default(),
        Format::Table => {
            let mut table = Table::new();
            table.load_preset(NOTHING).set_header(["ID", "CLASS", "STATUS", "DONE", "RUNNING"]);
            for l in lines {
                let status = l.status.map_or("-", |s| match s {
                    Status::Queued => "pending",
                    Status::Running => "running",
                    Status::Done => "done",
                    Status::Cancelled => "withdrawn",
                });
                let count = |n: Option<u32>| n.map_or("-".to_string(), |n| n.to_string());
                table.add_row([
                    l.id.clone(),
                    l.class.clone().unwrap_or_else(|| "-".into()),
                    status.into(),
                    count(l.tasks_done),
                    count(l.tasks_running),
                ]);
            }
            table.trim_fmt()
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn both_formats_tell_the_same() {
        let state = JobState { uid: "run-1".into(), status: Status::Running, done: 3, running: 13 };
        let lines = [JobLine::of("run-1", Some("web"), Some(&state)), JobLine::of("run-2", None, None)];
        let table = render(Format::Table, &lines);
        let rows: Vec<Vec<&str>> = table.lines().map(|l| l.split_whitespace().collect()).collect();
        assert_eq!(rows[1], ["run-1", "web", "running", "3", "13"]);
        assert_eq!(rows[2], ["run-2", "-", "-", "-", "-"]);
        let json: serde_json::Value = serde_json::from_str(&render(Format::Json, &lines)).unwrap();
        assert_eq!((json[0]["status"].as_str(), json[0]["tasks_done"].as_u64()), (Some("running"), Some(3)));
        assert!(json[1]["status"].is_null());
    }
}
