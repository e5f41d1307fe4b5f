//! Connectivity between controllers and machines, as far as one controller can know it.
//!
//! The inputs are the heartbeats and probe answers that this controller receives, and what
//! the other controllers report in their heartbeats. From them follow diagnoses: a controller
//! is cut off, a zone is partitioned, a machine is dead, or the store refuses all requests.
//! Where the cause is undecided, the cautious action is taken. All functions here are pure:
//! heartbeats and times come in, diagnoses go out. `docs/notes/links.md` describes what each
//! partition looks like, and the alternatives that were considered.
//!
//! No safety rule rests on a diagnosis alone. A wrong one costs time or money, but never runs
//! a task twice: fencing tokens prevent that.

#![warn(missing_docs)]

pub mod failure_detector;
pub mod frame_fitting;
pub mod heartbeat_tracking;
pub mod partition_diagnosis;
pub mod peer_table;
