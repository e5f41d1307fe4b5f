//! The file that notes which jobs this user submitted, one JSON line each. A
//! job's id is on disk before the job is sent, so a submission that was cut
//! short is repeated under the same id and can't become two jobs.

use crate::jobfile::NamedJob;
use finchquay_protocol::user::JobSpec;
use serde::{Deserialize, Serialize};
use std::fs::OpenOptions;
use std::io::Write;
use std::path::{Path, PathBuf};
use thiserror::Error;

#[derive(Debug, Error)]
pub enum IdsError {
    #[error("{}: {cause}", file.display())]
    Io { file: PathBuf, cause: std::io::Error },
    #[error("{}:{line}: not a note of a job: {what}", file.display())]
    Spoilt { file: PathBuf, line: usize, what: String },
    #[error("neither XDG_STATE_HOME nor HOME is set; give --ids FILE")]
    NoHome,
}

/// One submitted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Noted {
    pub uid: String,
    pub class: String,
    /// The job file and the job's name in it.
    pub file: PathBuf,
    pub name: String,
    /// The file's text of the job: another text is another job.
    pub spec: JobSpec,
}

pub struct Ids {
    file: PathBuf,
}

impl Ids {
    /// The file given, or the one in the user's state folder.
    pub fn open(file: Option<&Path>) -> Result<Ids, IdsError> {
        if let Some(f) = file {
            return Ok(Ids { file: f.into() });
        }
        let state = std::env::var_os("XDG_STATE_HOME").map(PathBuf::from);
        let home = || std::env::var_os("HOME").map(|h| PathBuf::from(h).join(".local/state"));
        let folder = state.or_else(home).ok_or(IdsError::NoHome)?;
        Ok(Ids { file: folder.join("finchquay/jobs.jsonl") })
    }

    fn error(&self, cause: std::io::Error) -> IdsError {
        IdsError::Io { file: self.file.clone(), cause }
    }

    /// All notes, oldest first. A last line without its end was cut short by a
    /// crash before anything was sent; it counts as not written.
    pub fn list(&self) -> Result<Vec<Noted>, IdsError> {
        let text = match std::fs::read_to_string(&self.file) {
            Ok(t) => t,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
            Err(e) => return Err(self.error(e)),
        };
        let whole = text.rfind('\n').map_or("", |end| &text[..end]);
        let read = |(i, line): (usize, &str)| {
            serde_json::from_str(line).map_err(|e| IdsError::Spoilt {
                file: self.file.clone(),
                line: i + 1,
                what: e.to_string(),
            })
        };
        whole.lines().enumerate().map(read).collect()
    }

    /// Gives each job its id: the one in the file, the one noted when the same
    /// text was submitted before, or a new one, which is noted first.
    pub fn assign(&self, file: &Path, jobs: Vec<NamedJob>) -> Result<Vec<JobSpec>, IdsError> {
        let known = self.list()?;
        let path = std::path::absolute(file).unwrap_or_else(|_| file.into());
        let mut new = String::new();
        let mut out = Vec::new();
        for NamedJob { name, mut spec } in jobs {
            let text = spec.clone();
            let before = known.iter().rev().find(|n| n.file == path && n.name == name && n.spec == text);
            match before {
                Some(n) => spec.uid = n.uid.clone(),
                None => {
                    if spec.uid.is_empty() {
                        spec.uid = format!("run-{:015}", rand::random_range(0..1_000_000_000_000_000u64));
                    }
                    let class = spec.class.clone();
                    let noted = Noted { uid: spec.uid.clone(), class, file: path.clone(), name, spec: text };
                    new += &serde_json::to_string(&noted).unwrap_or_default();
                    new.push('\n');
                }
            }
            out.push(spec);
        }
        if !new.is_empty() {
            self.append(&new).map_err(|e| self.error(e))?;
        }
        Ok(out)
    }

    fn append(&self, text: &str) -> std::io::Result<()> {
        if let Some(folder) = self.file.parent() {
            std::fs::create_dir_all(folder)?;
        }
        let mut f = OpenOptions::new().create(true).read(true).append(true).open(&self.file)?;
        // Two commands at once must not mix their lines.
        f.lock()?;
        let torn = !std::fs::read(&self.file)?.ends_with(b"\n") && f.metadata()?.len() > 0;
        if torn {
            let whole = std::fs::read(&self.file)?.iter().rposition(|b| *b == b'\n').map_or(0, |i| i + 1);
            f.set_len(whole as u64)?;
        }
        f.write_all(text.as_bytes())?;
        f.sync_all()
    }
}

#[cfg(test)]
mod tests;
