//! Watching the operator's file for changes while the process runs.

use crate::config::{Operator, Team};
use crate::effects::Instant;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

/// What a file looks like from outside; a change of its content changes this.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FileStamp {
    modified: SystemTime,
    bytes: u64,
}

/// The operator's file, checked for changes at an interval.
pub(super) struct OperatorFile {
    path: PathBuf,
    teams: Vec<Team>,
    /// What the file looked like when it was last read.
    last_read: Option<FileStamp>,
    next_check: Instant,
    interval: Duration,
}

impl OperatorFile {
    /// Watches a file that has been read as it is now.
    pub(super) fn new(path: PathBuf, teams: Vec<Team>, interval: Duration) -> OperatorFile {
        let mut file = OperatorFile { path, teams, last_read: None, next_check: interval, interval };
        file.last_read = file.stamp();
        file
    }

    fn stamp(&self) -> Option<FileStamp> {
        let metadata = std::fs::metadata(&self.path).ok()?;
        Some(FileStamp { modified: metadata.modified().ok()?, bytes: metadata.len() })
    }

    /// The settings, if a check is due and the file has changed and is valid. While it is
    /// invalid or missing, the settings that were read before stay in force.
    pub(super) fn poll(&mut self, now: Instant) -> Option<Operator> {
        if now < self.next_check {
            return None;
        }
        self.next_check = now + self.interval;
        let stamp = self.stamp();
        if stamp == self.last_read {
            return None;
        }
        self.last_read = stamp;
        match Operator::load(&self.path, &self.teams) {
            Ok(operator) => Some(operator),
            Err(error) => {
                tracing::error!(%error, "operator's file is refused, what was read before goes on");
                None
            }
        }
    }
}
