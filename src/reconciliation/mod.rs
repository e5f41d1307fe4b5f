//! Reconciliation of the recorded state with what the agents report, machine by machine, and
//! the startup of a controller, during which decisions that depend on the whole fleet wait until
//! enough of it is known.
//!
//! This is pure logic: observations and the time are inputs; phases, differences and remedies
//! are outputs. `docs/notes/cold-start.md` explains the design.

#![warn(missing_docs)]

pub mod difference;
pub mod phase;
