//! Formats in which results are printed: a table for people, JSON for programs.

#![warn(missing_docs)]

use clap::ValueEnum;
use comfy_table::{Table, presets::NOTHING};
use finchquay_protocol::user::{JobState, Status};
use serde::Serialize;

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// A table with one line per job.
    Table,
    /// A JSON array with one object per job.
    Json,
}

/// The values that are printed for one job. Unknown values are `null` in JSON and `-` in a
/// table.
#[derive(Debug, Serialize)]
pub struct JobLine {
    /// Id of the job.
    pub id: String,
    /// Class of the job.
    pub class: Option<String>,
    /// Status of the job.
    pub status: Option<Status>,
    /// Number of tasks that ran to completion.
    pub tasks_done: Option<u32>,
    /// Number of tasks that are running.
    pub tasks_running: Option<u32>,
}

impl JobLine {
    /// Creates the line of the job `id` from what is known about it.
    pub fn new(id: &str, class: Option<&str>, state: Option<&JobState>) -> JobLine {
        JobLine {
            id: id.into(),
            class: class.map(Into::into),
            status: state.map(|state| state.status),
            tasks_done: state.map(|state| state.done),
            tasks_running: state.map(|state| state.running),
        }
    }
}

/// Formats the lines of several jobs as one text.
pub fn render(format: Format, lines: &[JobLine]) -> String {
    match format {
        Format::Json => serde_json::to_string_pretty(lines).unwrap_or_default(),
        Format::Table => {
            let mut table = Table::new();
            table.load_preset(NOTHING).set_header(["ID", "CLASS", "STATUS", "DONE", "RUNNING"]);
            for line in lines {
                let status = line.status.map_or("-", |status| match status {
                    Status::Queued => "pending",
                    Status::Running => "running",
                    Status::Done => "done",
                    Status::Cancelled => "withdrawn",
                });
                let count = |count: Option<u32>| count.map_or("-".to_string(), |count| count.to_string());
                table.add_row([
                    line.id.clone(),
                    line.class.clone().unwrap_or_else(|| "-".into()),
                    status.into(),
                    count(line.tasks_done),
                    count(line.tasks_running),
                ]);
            }
            table.trim_fmt()
        }
    }
}

#[cfg(test)]
mod tests;
