//! Detection of changes to the operator file while the process runs.

use crate::config::{Operator, Team};
use crate::effects::Instant;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

/// The modification time and size of a file, which change when its content is changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FileStamp {
    modified: SystemTime,
    size_bytes: u64,
}

/// The operator file, which is checked for changes at a fixed interval.
pub(super) struct OperatorFile {
    path: PathBuf,
    /// The teams that the file may refer to.
    teams: Vec<Team>,
    /// The stamp of the version that was last read, valid or not; `None` if there was no file.
    last_read: Option<FileStamp>,
    /// When the next check is due.
    next_check: Instant,
    check_interval: Duration,
}

impl OperatorFile {
    /// Watches a file whose present version has been read already.
    pub(super) fn new(path: PathBuf, teams: Vec<Team>, check_interval: Duration) -> OperatorFile {
        let mut file = OperatorFile { path, teams, last_read: None, next_check: check_interval, check_interval };
        file.last_read = file.stamp();
        file
    }

    /// Returns the stamp of the file as it is now, or `None` if it cannot be read.
    fn stamp(&self) -> Option<FileStamp> {
        let metadata = std::fs::metadata(&self.path).ok()?;
        Some(FileStamp { modified: metadata.modified().ok()?, size_bytes: metadata.len() })
    }

    /// Returns the new settings if a check is due and the file has changed and is valid. While
    /// it is invalid or missing, the settings that were read before stay in force.
    pub(super) fn poll(&mut self, now: Instant) -> Option<Operator> {
        if now < self.next_check {
            return None;
        }
        self.next_check = now + self.check_interval;
        let stamp = self.stamp();
        if stamp == self.last_read {
            return None;
        }
        self.last_read = stamp;
        match Operator::load(&self.path, &self.teams) {
            Ok(operator) => Some(operator),
            Err(error) => {
                tracing::error!(%error, "operator file rejected, previous settings stay in force");
                None
            }
        }
    }
}
