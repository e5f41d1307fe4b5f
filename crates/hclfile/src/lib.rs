//! Typed HCL files. Reads a file into any `Deserialize` type and, where that
//! fails, says in one line which file, line and key is at fault. The same line
//! numbers serve checks made later: `File::refuse` finds the key by its path.

#![warn(missing_docs)]
#![cfg_attr(not(test), warn(clippy::unwrap_used))]

mod locate;

use hcl_edit::structure::Body;
use locate::body_offset;
use serde::de::DeserializeOwned;
use serde_path_to_error::Segment;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a file was refused: one line that names file, line and key.
#[derive(Debug, Error)]
pub enum HclError {
    /// The file could not be read from disk.
    #[error("{}: cannot be read: {cause}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The text is not HCL.
    #[error("{}:{line}: {what}", file.display())]
    Syntax {
        /// The file.
        file: PathBuf,
        /// Line, from 1.
        line: usize,
        /// What the parser said, on one line.
        what: String,
    },
    /// The text is HCL, but a key is unknown, missing or has a bad value.
    #[error("{}:{line}: {key}: {what}", file.display())]
    Key {
        /// The file.
        file: PathBuf,
        /// Line, from 1.
        line: usize,
        /// Path of the key from the top, joined with dots.
        key: String,
        /// What is wrong with it, on one line.
        what: String,
    },
}

/// A file that parsed: its text and where everything stands in it.
#[derive(Debug)]
pub struct File {
    path: PathBuf,
    text: String,
    body: Body,
    /// What holds where this file says nothing.
    base: Option<Box<File>>,
}

impl File {
    /// Reads and parses a file.
    ///
    /// # Errors
    /// [`HclError::Read`] or [`HclError::Syntax`].
    pub fn read(path: &Path) -> Result<File, HclError> {
        let text = std::fs::read_to_string(path).map_err(|cause| HclError::Read { file: path.into(), cause })?;
        File::parse(path, text)
    }

    /// Parses text that came from elsewhere; `path` is its name in errors.
    ///
    /// # Errors
    /// [`HclError::Syntax`].
    pub fn parse(path: &Path, text: String) -> Result<File, HclError> {
        let body = hcl_edit::parser::parse_body(&text).map_err(|e| HclError::Syntax {
            file: path.into(),
            line: e.location().line(),
            what: one_line(e.message()),
        })?;
        Ok(File { path: path.into(), text, body, base: None })
    }

    /// Lays this file over another: blocks and keys of both hold, and where
    /// both have one, this file's does.
    pub fn over(mut self, base: File) -> File {
        self.base = Some(Box::new(base));
        self
    }

    /// The string value of a key at the top of this file, if it has one.
    pub fn top(&self, key: &str) -> Option<&str> {
        self.body.get_attribute(key)?.value.as_str()
    }

    /// The file as a JSON value, laid over its base.
    fn value(&self) -> Result<serde_json::Value, HclError> {
        let mut value: serde_json::Value = hcl::from_str(&self.text).map_err(|e| HclError::Syntax {
            file: self.path.clone(),
            line: 1,
            what: one_line(&e.to_string()),
        })?;
        if let Some(base) = &self.base {
            let mut under = base.value()?;
            lay_over(&mut under, value);
            value = under;
        }
        Ok(value)
    }

    /// Reads the whole file as `T`.
    ///
    /// # Errors
    /// [`HclError::Key`] with the line of the key that `T` does not accept.
    pub fn typed<T: DeserializeOwned>(&self) -> Result<T, HclError> {
        let value = self.value()?;
        serde_path_to_error::deserialize(value).map_err(|e| {
            let mut path: Vec<String> = e
                .path()
                .iter()
                .filter_map(|s| match s {
                    Segment::Seq { index } => Some(index.to_string()),
                    Segment::Map { key } => Some(key.clone()),
                    Segment::Enum { variant } => Some(variant.clone()),
                    Segment::Unknown => None,
                })
                .collect();
            let what = one_line(&e.inner().to_string());
            // The unknown key is named in the message only; its line is wanted.
            if let Some(key) = what.strip_prefix("unknown field `").and_then(|r| r.split('`').next())
                && path.last().is_none_or(|l| l != key)
            {
                path.push(key.to_string());
            }
            let parts: Vec<&str> = path.iter().map(String::as_str).collect();
            self.refuse(&parts, what)
        })
    }

    /// The error for a key that parsed but can't be: `path` is its way from
    /// the top, by keys, block labels and positions in lists.
    pub fn refuse(&self, path: &[&str], what: impl Into<String>) -> HclError {
        let at = match (body_offset(&self.body, path), &self.base) {
            (Some(at), _) => at,
            (None, Some(base)) if body_offset(&base.body, path).is_some() => return base.refuse(path, what),
            (None, _) => 0,
        };
        let line = self.text.get(..at).map_or(1, |t| t.matches('\n').count() + 1);
        let key = if path.is_empty() { "file".to_string() } else { path.join(".") };
        HclError::Key { file: self.path.clone(), line, key, what: what.into() }
    }
}

/// Merges `over` into `under`, key by key; `over` wins.
fn lay_over(under: &mut serde_json::Value, over: serde_json::Value) {
    match (under, over) {
        (serde_json::Value::Object(under), serde_json::Value::Object(over)) => {
            for (key, value) in over {
                match under.get_mut(&key) {
                    Some(u) => lay_over(u, value),
                    None => {
                        under.insert(key, value);
                    }
                }
            }
        }
        (under, over) => *under = over,
    }
}

/// Joins the lines of a message.
fn one_line(text: &str) -> String {
    let parts: Vec<&str> = text.lines().map(str::trim).filter(|l| !l.is_empty()).collect();
    parts.join(" ")
}

#[cfg(test)]
mod tests;
