//! The difference between the recorded and the observed state of one task on one machine,
//! and the one remedy that follows from it.
//!
//! The table is closed: every pair of recorded and observed state has a difference. The
//! same table is in `docs/design.md`, with the proof that each remedy depends on.

use crate::protocol::worker::{Cause, TaskState};
use crate::state::PlacedTasks;

/// What the store records of an attempt on this machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordedState {
    /// It is placed here and shall run.
    Wanted,
    /// It is placed here but shall not run: its job was cancelled, it was preempted, or it
    /// is proved gone and the write that records this is in flight.
    Ending,
    /// It is not placed here: the task is elsewhere or has another attempt, or its job is
    /// over or unknown.
    Nowhere,
}

impl RecordedState {
    /// The recorded state of an attempt, from the placements on one machine: `kept` has
    /// all of them and `wanted` those that shall run.
    pub fn of(wanted: &PlacedTasks, kept: &PlacedTasks, task: &(String, u32), attempt: u64) -> RecordedState {
        if wanted.get(task) == Some(&attempt) {
            RecordedState::Wanted
        } else if kept.get(task) == Some(&attempt) {
            RecordedState::Ending
        } else {
            RecordedState::Nowhere
        }
    }
}

/// What the newest heartbeat of the machine says about an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservedState {
    /// It fetches its image, waits for its gang, runs or writes a checkpoint.
    Alive,
    Exited(Option<Cause>),
    Absent,
}

impl ObservedState {
    /// The observed state of an attempt that the heartbeat lists.
    pub fn of(state: TaskState, cause: Option<Cause>) -> ObservedState {
        if state == TaskState::Exited { ObservedState::Exited(cause) } else { ObservedState::Alive }
    }
}

/// How the recorded and the observed state compare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Difference {
    /// It runs as recorded.
    Running,
    /// It is recorded but not there: it was never commanded to run, the command was lost,
    /// or the agent stopped it when its lease expired.
    Missing,
    /// It completed, perhaps while no controller was reachable: the result counts.
    Finished,
    /// It ended here without a result.
    Failed,
    /// A task of a gang stopped waiting for the others, which are still being started.
    GangTimeout,
    /// It runs but shall not.
    Unwanted,
    /// It shall not run, and is not there.
    Stopped,
    /// It runs without a recorded placement: another attempt has it, or its job is over or
    /// unknown.
    Unrecorded,
    /// It ended, and the store has recorded that.
    ExitRecorded,
    /// It is neither recorded nor observed.
    Unknown,
}

/// The remedy for a difference.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Remedy {
    /// Do nothing.
    Nothing,
    /// Command the machine to run it.
    Run,
    /// Command the machine to stop it.
    Kill,
    /// Record its result, which the agent keeps until then.
    StoreResult,
    /// Record that the attempt is gone from this machine.
    StoreGone,
    /// Allow the agent to forget it.
    Forget,
    /// Let the agent forget it and command it to run the same attempt again.
    Restart,
}

/// Compares the recorded and the observed state of an attempt.
///
/// `comes` means that the other tasks of a gang are being started, so that a task that
/// stopped waiting for them is started again rather than recorded as failed.
pub fn compare(stored: RecordedState, shown: ObservedState, comes: bool) -> Difference {
    match (stored, shown) {
        (RecordedState::Wanted, ObservedState::Alive) => Difference::Running,
        (RecordedState::Wanted, ObservedState::Absent) => Difference::Missing,
        (RecordedState::Wanted, ObservedState::Exited(Some(Cause::GangIncomplete))) if comes => Difference::GangTimeout,
        (RecordedState::Wanted | RecordedState::Ending, ObservedState::Exited(Some(Cause::Done))) => {
            Difference::Finished
        }
        (RecordedState::Wanted | RecordedState::Ending, ObservedState::Exited(_)) => Difference::Failed,
        (RecordedState::Ending, ObservedState::Alive) => Difference::Unwanted,
        (RecordedState::Ending, ObservedState::Absent) => Difference::Stopped,
        (RecordedState::Nowhere, ObservedState::Alive) => Difference::Unrecorded,
        (RecordedState::Nowhere, ObservedState::Exited(_)) => Difference::ExitRecorded,
        (RecordedState::Nowhere, ObservedState::Absent) => Difference::Unknown,
    }
}

impl Difference {
    /// The remedy.
    ///
    /// `confirmed` means that the agent obeys no other controller and that no earlier
    /// message of ours can still reach it, so that its heartbeat is complete. Remedies that
    /// cannot be reverted require it.
    pub fn act(self, confirmed: bool) -> Remedy {
        match self {
            Difference::Running | Difference::Unknown => Remedy::Nothing,
            // Safe without confirmation: this attempt may start here and nowhere else.
            Difference::Missing => Remedy::Run,
            Difference::Unwanted | Difference::Unrecorded => Remedy::Kill,
            Difference::Finished => Remedy::StoreResult,
            Difference::Failed => Remedy::StoreGone,
            // Otherwise a delayed `run` command could start what was forgotten or recorded
            // as gone.
            Difference::GangTimeout if confirmed => Remedy::Restart,
            Difference::Stopped if confirmed => Remedy::StoreGone,
            Difference::ExitRecorded if confirmed => Remedy::Forget,
            Difference::GangTimeout | Difference::Stopped | Difference::ExitRecorded => Remedy::Nothing,
        }
    }
}

#[cfg(test)]
mod tests;
