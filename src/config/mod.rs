//! Configuration: the file that the platform hands over (TOML), and the operator's own
//! settings on top of it (HCL). This module reads and validates both; the rest of the
//! program sees only values that passed.

mod operator;
mod platform;
mod validation;

pub use operator::Operator;
pub use platform::{
    CloudLimits, MachineLimits, Objective, Other, Outside, Params, Settings, StateLimits, Team, Workers,
};

use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a settings file was refused: one line that names file and field.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {cause}")]
    Read {
        /// The file.
        file: PathBuf,
        /// Why.
        cause: std::io::Error,
    },
    /// The file is not valid TOML or HCL, or a field is missing or of the wrong type.
    #[error("{file}: {what}")]
    Parse {
        /// The file.
        file: PathBuf,
        /// The parser's message, in one line.
        what: String,
    },
    /// A field has a value that is not allowed.
    #[error("{file}: {field}: {what}")]
    Field {
        /// The file.
        file: PathBuf,
        /// Path of the field.
        field: String,
        /// The rule that it breaks.
        what: String,
    },
}

impl SettingsError {
    fn parse(file: &Path, error: &impl ToString) -> SettingsError {
        SettingsError::Parse { file: file.into(), what: one_line(&error.to_string()) }
    }
}

fn read_file(file: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(file).map_err(|cause| SettingsError::Read { file: file.into(), cause })
}

fn one_line(text: &str) -> String {
    let lines: Vec<&str> = text.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
    lines.join(" ")
}

#[cfg(test)]
mod tests;
