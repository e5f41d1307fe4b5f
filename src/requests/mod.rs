//! Users' requests about jobs: what each request asks for, what it waits for and how it is
//! answered.
//!
//! This is pure logic: the replica's knowledge of a job and the outcomes of this controller's
//! writes are inputs; answers are outputs. Connections are identified by number, and the only
//! notion of time is the deadline of each request.

#![warn(missing_docs)]

mod open_requests;
mod transitions;

pub use open_requests::{Request, Requests};
pub use transitions::{Answer, Event, KnownStatus, RequestKind, Stage, WriteOutcome};

#[cfg(test)]
mod tests;
