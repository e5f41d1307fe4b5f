//! Compares the recorded with the observed state of one attempt of a task on one machine, and
//! derives the remedy for the difference.
//!
//! The table is complete: every pair of a recorded and an observed state has a difference.
//! `docs/design.md` has the same table, with the proof on which each remedy depends.

#![warn(missing_docs)]

use crate::protocol::worker::{Cause, TaskState};
use crate::state::PlacedTasks;

/// What the store records of an attempt on this machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordedState {
    /// It is placed here and should run.
    Wanted,
    /// It is placed here but should not run: its job was cancelled, it was preempted, or it is
    /// proved gone and the write that records this is in flight.
    Ending,
    /// It is not placed here: the task is on another machine or has another attempt, or its job
    /// has ended or is unknown.
    NotHere,
}

impl RecordedState {
    /// The recorded state of an attempt. `kept` has all placements on the machine, and `wanted`
    /// those that should run.
    pub fn of(wanted: &PlacedTasks, kept: &PlacedTasks, task: &(String, u32), attempt: u64) -> RecordedState {
        if wanted.get(task) == Some(&attempt) {
            RecordedState::Wanted
        } else if kept.get(task) == Some(&attempt) {
            RecordedState::Ending
        } else {
            RecordedState::NotHere
        }
    }
}

/// What the machine's newest heartbeat reports about an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservedState {
    /// It fetches its image, waits for its gang, runs or writes a checkpoint.
    Alive,
    /// It has exited, with the cause if the agent gave one.
    Exited(Option<Cause>),
    /// The heartbeat does not list it.
    Absent,
}

impl ObservedState {
    /// The observed state of an attempt that the heartbeat lists.
    pub fn of(state: TaskState, cause: Option<Cause>) -> ObservedState {
        if state == TaskState::Exited { ObservedState::Exited(cause) } else { ObservedState::Alive }
    }
}

/// How the recorded and the observed state of an attempt differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Difference {
    /// It runs as recorded.
    Running,
    /// It should run but is not there: its `run` command was never sent or got lost, or the agent
    /// stopped it when its lease expired.
    Missing,
    /// It completed, perhaps while the agent reached no controller. Its result is valid.
    Finished,
    /// It exited without completing.
    Failed,
    /// It belongs to a gang and stopped waiting for the other tasks, which are still being
    /// started.
    GangTimeout,
    /// It is placed here and runs, but should not run.
    Unwanted,
    /// It is placed here but should not run, and it is not there.
    Stopped,
    /// It runs without being placed here: the task is on another machine or has another attempt,
    /// or its job has ended or is unknown.
    Unrecorded,
    /// It exited, and the store no longer places it here.
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
    /// Record its result, which the agent keeps until it is recorded.
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
/// `gang_is_starting` means that the other tasks of the attempt's gang are being started. A task
/// that stopped waiting for them is then started again instead of being recorded as failed.
pub fn compare(recorded: RecordedState, observed: ObservedState, gang_is_starting: bool) -> Difference {
    match (recorded, observed) {
        (RecordedState::Wanted, ObservedState::Alive) => Difference::Running,
        (RecordedState::Wanted, ObservedState::Absent) => Difference::Missing,
        (RecordedState::Wanted, ObservedState::Exited(Some(Cause::GangIncomplete))) if gang_is_starting => {
            Difference::GangTimeout
        }
        (RecordedState::Wanted | RecordedState::Ending, ObservedState::Exited(Some(Cause::Done))) => {
            Difference::Finished
        }
        (RecordedState::Wanted | RecordedState::Ending, ObservedState::Exited(_)) => Difference::Failed,
        (RecordedState::Ending, ObservedState::Alive) => Difference::Unwanted,
        (RecordedState::Ending, ObservedState::Absent) => Difference::Stopped,
        (RecordedState::NotHere, ObservedState::Alive) => Difference::Unrecorded,
        (RecordedState::NotHere, ObservedState::Exited(_)) => Difference::ExitRecorded,
        (RecordedState::NotHere, ObservedState::Absent) => Difference::Unknown,
    }
}

impl Difference {
    /// The remedy for this difference.
    ///
    /// `confirmed` means that the agent accepts commands from no other controller and that no
    /// earlier message of this controller can still reach it, so that its heartbeat is complete.
    /// Remedies that cannot be undone require this.
    pub fn remedy(self, confirmed: bool) -> Remedy {
        match self {
            Difference::Running | Difference::Unknown => Remedy::Nothing,
            // Safe without confirmation: this attempt may start on this machine only.
            Difference::Missing => Remedy::Run,
            Difference::Unwanted | Difference::Unrecorded => Remedy::Kill,
            Difference::Finished => Remedy::StoreResult,
            Difference::Failed => Remedy::StoreGone,
            // Without confirmation, a delayed `run` command could start an attempt that has been
            // forgotten or recorded as gone.
            Difference::GangTimeout if confirmed => Remedy::Restart,
            Difference::Stopped if confirmed => Remedy::StoreGone,
            Difference::ExitRecorded if confirmed => Remedy::Forget,
            Difference::GangTimeout | Difference::Stopped | Difference::ExitRecorded => Remedy::Nothing,
        }
    }
}

#[cfg(test)]
mod tests;
