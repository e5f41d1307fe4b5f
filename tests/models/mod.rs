//! Small models of the protocols between controllers, for exhaustive exploration.

#![warn(missing_docs)]

pub mod attest;
pub mod log;
pub mod maintenance;
