//! The file that records the jobs that this user submitted, one JSON object per line. The id
//! of a job is on disk before the job is sent, so a submission that was interrupted is
//! repeated with the same id and cannot create a second job.

#![warn(missing_docs)]

use crate::jobfile::NamedJob;
use finchquay_protocol::user::JobSpec;
use serde::{Deserialize, Serialize};
use std::fs::OpenOptions;
use std::io::Write;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why the file of job ids could not be used.
#[derive(Debug, Error)]
pub enum IdFileError {
    /// The file could not be read or written.
    #[error("{}: {cause}", file.display())]
    Io {
        /// The file of job ids.
        file: PathBuf,
        /// The error that the system returned.
        cause: std::io::Error,
    },
    /// A line of the file is not a valid record.
    #[error("{}:{line}: invalid record of a submitted job: {message}", file.display())]
    InvalidLine {
        /// The file of job ids.
        file: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// Message of the JSON parser.
        message: String,
    },
    /// No file was given, and the environment does not say where the default one is.
    #[error("neither XDG_STATE_HOME nor HOME is set; give --ids FILE")]
    NoHome,
}

/// The record of a submitted job, one line of the file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Id of the job.
    pub uid: String,
    /// Class of the job.
    pub class: String,
    /// Absolute path of the job file.
    pub file: PathBuf,
    /// Name of the job in the job file.
    pub name: String,
    /// The job as the job file specifies it. A job with a different specification is a
    /// different job, even under the same name.
    pub spec: JobSpec,
}

/// The file that records submitted jobs; it need not exist yet.
pub struct IdFile {
    path: PathBuf,
}

impl IdFile {
    /// Returns the given file, or the default one in the user's state directory.
    ///
    /// # Errors
    /// [`IdFileError::NoHome`].
    pub fn locate(path: Option<&Path>) -> Result<IdFile, IdFileError> {
        if let Some(path) = path {
            return Ok(IdFile { path: path.into() });
        }
        let state_home = std::env::var_os("XDG_STATE_HOME").map(PathBuf::from);
        let default_state_home = || std::env::var_os("HOME").map(|home| PathBuf::from(home).join(".local/state"));
        let directory = state_home.or_else(default_state_home).ok_or(IdFileError::NoHome)?;
        Ok(IdFile { path: directory.join("finchquay/jobs.jsonl") })
    }

    fn io_error(&self, cause: std::io::Error) -> IdFileError {
        IdFileError::Io { file: self.path.clone(), cause }
    }

    /// Reads all records, oldest first. A last line without a line feed is ignored: a crash
    /// interrupted writing it, before the job was sent.
    ///
    /// # Errors
    /// [`IdFileError::Io`] and [`IdFileError::InvalidLine`]. A missing file is not an error.
    pub fn submissions(&self) -> Result<Vec<Submission>, IdFileError> {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
            Err(error) => return Err(self.io_error(error)),
        };
        let complete_lines = text.rfind('\n').map_or("", |end| &text[..end]);
        let parse = |(index, line): (usize, &str)| {
            serde_json::from_str(line).map_err(|error| IdFileError::InvalidLine {
                file: self.path.clone(),
                line: index + 1,
                message: error.to_string(),
            })
        };
        complete_lines.lines().enumerate().map(parse).collect()
    }

    /// Returns the specifications of the jobs in `file` with their ids. A job that was
    /// submitted before with the same specification keeps its recorded id. Any other job has
    /// the id that the file gives, or a new random one, and is recorded before this returns.
    ///
    /// # Errors
    /// [`IdFileError::Io`] and [`IdFileError::InvalidLine`].
    pub fn assign_ids(&self, file: &Path, jobs: Vec<NamedJob>) -> Result<Vec<JobSpec>, IdFileError> {
        let recorded = self.submissions()?;
        let path = std::path::absolute(file).unwrap_or_else(|_| file.into());
        let mut new_lines = String::new();
        let mut specs = Vec::new();
        for NamedJob { name, mut spec } in jobs {
            let original_spec = spec.clone();
            let earlier = recorded.iter().rev().find(|submission| {
                submission.file == path && submission.name == name && submission.spec == original_spec
            });
            match earlier {
                Some(submission) => spec.uid = submission.uid.clone(),
                None => {
                    if spec.uid.is_empty() {
                        spec.uid = format!("run-{:015}", rand::random_range(0..1_000_000_000_000_000u64));
                    }
                    let class = spec.class.clone();
                    let uid = spec.uid.clone();
                    let submission = Submission { uid, class, file: path.clone(), name, spec: original_spec };
                    new_lines += &serde_json::to_string(&submission).unwrap_or_default();
                    new_lines.push('\n');
                }
            }
            specs.push(spec);
        }
        if !new_lines.is_empty() {
            self.append(&new_lines).map_err(|error| self.io_error(error))?;
        }
        Ok(specs)
    }

    /// Appends lines and syncs them to disk. An incomplete last line is removed first.
    fn append(&self, lines: &str) -> std::io::Result<()> {
        if let Some(directory) = self.path.parent() {
            std::fs::create_dir_all(directory)?;
        }
        let mut file = OpenOptions::new().create(true).read(true).append(true).open(&self.path)?;
        // The lock keeps two concurrent commands from mixing their lines.
        file.lock()?;
        let last_line_incomplete = !std::fs::read(&self.path)?.ends_with(b"\n") && file.metadata()?.len() > 0;
        if last_line_incomplete {
            let bytes = std::fs::read(&self.path)?;
            let complete_bytes = bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |index| index + 1);
            file.set_len(complete_bytes as u64)?;
        }
        file.write_all(lines.as_bytes())?;
        file.sync_all()
    }
}

#[cfg(test)]
mod tests;
