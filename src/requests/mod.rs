//! Users' requests: what was asked about a job, what each request waits for and how it is
//! answered.
//!
//! Pure logic: what the replica knows of a job and how our own writes end are inputs,
//! answers are outputs. Connections are known by number only, and time only by the
//! deadline of each request.

mod open_requests;
mod transitions;

pub use open_requests::{Request, Requests};
pub use transitions::{Answer, Event, KnownStatus, RequestKind, Stage, WriteOutcome};

#[cfg(test)]
mod tests;
