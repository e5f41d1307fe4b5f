//! Typed HCL files. A [`File`] is deserialized into any `Deserialize` type. If that fails,
//! the error says in one line which file, line and key is at fault. Checks that are made
//! later can report the same position: [`File::error_at`] finds a key by its path.

#![warn(missing_docs)]
#![cfg_attr(not(test), warn(clippy::unwrap_used))]

mod locate;

use hcl_edit::structure::Body;
use locate::body_offset;
use serde::de::DeserializeOwned;
use serde_path_to_error::Segment;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a file was refused. The error text is one line that names the file and, if they are
/// known, the line and the key.
#[derive(Debug, Error)]
pub enum HclError {
    /// The file could not be read from disk.
    #[error("{}: cannot be read: {cause}", file.display())]
    Read {
        /// Path of the file.
        file: PathBuf,
        /// The error that the system returned.
        cause: std::io::Error,
    },
    /// The text is not valid HCL.
    #[error("{}:{line}: {message}", file.display())]
    Syntax {
        /// Path of the file.
        file: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// Message of the parser, on one line.
        message: String,
    },
    /// The text is valid HCL, but a key is unknown or missing, or its value is invalid.
    #[error("{}:{line}: {key}: {message}", file.display())]
    Key {
        /// Path of the file.
        file: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// Path of the key from the top of the file, joined with dots.
        key: String,
        /// What is wrong with the key, on one line.
        message: String,
    },
}

/// A parsed HCL file, with the positions of its keys.
#[derive(Debug)]
pub struct File {
    path: PathBuf,
    text: String,
    body: Body,
    /// File whose values apply to keys that this file does not set.
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

    /// Parses text that was not read from disk; `path` names it in errors.
    ///
    /// # Errors
    /// [`HclError::Syntax`].
    pub fn parse(path: &Path, text: String) -> Result<File, HclError> {
        let body = hcl_edit::parser::parse_body(&text).map_err(|error| HclError::Syntax {
            file: path.into(),
            line: error.location().line(),
            message: one_line(error.message()),
        })?;
        Ok(File { path: path.into(), text, body, base: None })
    }

    /// Returns this file merged over a base file: it has the blocks and keys of both, and
    /// the values of this file for keys that both set.
    pub fn merged_over(mut self, base: File) -> File {
        self.base = Some(Box::new(base));
        self
    }

    /// Returns the string value of a key at the top level of this file, without its base;
    /// `None` if the key is missing or its value is not a string.
    pub fn top_level_string(&self, key: &str) -> Option<&str> {
        self.body.get_attribute(key)?.value.as_str()
    }

    /// Returns the file as a JSON value, merged over its base.
    fn merged_value(&self) -> Result<serde_json::Value, HclError> {
        let mut value: serde_json::Value = hcl::from_str(&self.text).map_err(|error| HclError::Syntax {
            file: self.path.clone(),
            line: 1,
            message: one_line(&error.to_string()),
        })?;
        if let Some(base) = &self.base {
            let mut merged = base.merged_value()?;
            merge(&mut merged, value);
            value = merged;
        }
        Ok(value)
    }

    /// Deserializes the whole file, merged over its base, as `T`.
    ///
    /// # Errors
    /// [`HclError::Key`] with the line of the key that `T` does not accept.
    pub fn deserialize<T: DeserializeOwned>(&self) -> Result<T, HclError> {
        let value = self.merged_value()?;
        serde_path_to_error::deserialize(value).map_err(|error| {
            let mut path: Vec<String> = error
                .path()
                .iter()
                .filter_map(|segment| match segment {
                    Segment::Seq { index } => Some(index.to_string()),
                    Segment::Map { key } => Some(key.clone()),
                    Segment::Enum { variant } => Some(variant.clone()),
                    Segment::Unknown => None,
                })
                .collect();
            let message = one_line(&error.inner().to_string());
            // The path may end above an unknown key, which only the message names. Adding the
            // key to the path makes the error point to its line.
            if let Some(key) = message.strip_prefix("unknown field `").and_then(|rest| rest.split('`').next())
                && path.last().is_none_or(|last| last != key)
            {
                path.push(key.to_string());
            }
            let path: Vec<&str> = path.iter().map(String::as_str).collect();
            self.error_at(&path, message)
        })
    }

    /// Returns the error for a key whose value is invalid. `path` leads to the key from the
    /// top of the file, by keys, block labels and positions in lists. The error names the
    /// base file if only that one has the key.
    pub fn error_at(&self, path: &[&str], message: impl Into<String>) -> HclError {
        let offset = match (body_offset(&self.body, path), &self.base) {
            (Some(offset), _) => offset,
            (None, Some(base)) if body_offset(&base.body, path).is_some() => return base.error_at(path, message),
            (None, _) => 0,
        };
        let line = self.text.get(..offset).map_or(1, |before| before.matches('\n').count() + 1);
        let key = if path.is_empty() { "file".to_string() } else { path.join(".") };
        HclError::Key { file: self.path.clone(), line, key, message: message.into() }
    }
}

/// Merges `overlay` into `base`, key by key. For values that are not objects, `overlay` wins.
fn merge(base: &mut serde_json::Value, overlay: serde_json::Value) {
    match (base, overlay) {
        (serde_json::Value::Object(base), serde_json::Value::Object(overlay)) => {
            for (key, value) in overlay {
                match base.get_mut(&key) {
                    Some(base_value) => merge(base_value, value),
                    None => {
                        base.insert(key, value);
                    }
                }
            }
        }
        (base, overlay) => *base = overlay,
    }
}

/// Joins the lines of a message with spaces.
fn one_line(text: &str) -> String {
    let lines: Vec<&str> = text.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
    lines.join(" ")
}

#[cfg(test)]
mod tests;
