//! Connectivity between controllers and machines, as far as one controller can know it:
//! from the heartbeats and probe answers that it receives, and from what the other
//! controllers report in theirs. From it follow diagnoses of what is wrong (a controller
//! that is cut off, a zone that is partitioned, a machine that is dead, a store that
//! refuses all), or that the cause is undecided, and then the cautious action is taken.
//! All of it is pure: heartbeats and times come in, diagnoses go out. Alternatives that
//! were considered, and what each partition looks like: `docs/notes/links.md`.
//!
//! No safety rule rests on a diagnosis alone. A wrong one costs time or money, never a task
//! that runs twice: that is prevented by fencing tokens.

pub mod failure_detector;
pub mod frame_fitting;
pub mod heartbeat_tracking;
pub mod partition_diagnosis;
pub mod peer_table;
