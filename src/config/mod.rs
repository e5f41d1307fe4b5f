//! Configuration: the file that the platform provides (TOML), and the optional file with the
//! operator's own settings (HCL). This module reads and validates both, so that the rest of the
//! program gets only valid values.

#![warn(missing_docs)]

mod operator;
mod platform;
mod validation;

pub use operator::Operator;
pub use platform::{
    CloudLimits, DeploymentSettings, ExternalServices, MachineLimits, Objective, PeerSettings, Settings, StateLimits,
    Team, Workers,
};

use std::path::{Path, PathBuf};
use thiserror::Error;

/// The reason why a settings file was refused. Its text is one line that names the file and,
/// where there is one, the field.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {cause}")]
    Read {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The file is not valid TOML or HCL, or a field is missing, unknown or of the wrong type.
    #[error("{file}: {message}")]
    Parse {
        /// Path of the file.
        file: PathBuf,
        /// Message of the parser, in one line.
        message: String,
    },
    /// A field has a value that is not allowed.
    #[error("{file}: {field}: {rule}")]
    Field {
        /// Path of the file.
        file: PathBuf,
        /// Path of the field within the file.
        field: String,
        /// The rule that the value breaks.
        rule: String,
    },
}

impl SettingsError {
    /// The error for a file that a parser refused.
    fn parse(file: &Path, error: &impl ToString) -> SettingsError {
        SettingsError::Parse { file: file.into(), message: one_line(&error.to_string()) }
    }
}

fn read_file(file: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(file).map_err(|cause| SettingsError::Read { file: file.into(), cause })
}

/// Joins the lines of a text into one.
fn one_line(text: &str) -> String {
    let lines: Vec<&str> = text.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
    lines.join(" ")
}

#[cfg(test)]
mod tests;
