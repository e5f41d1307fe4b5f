//! Squaring one task of one machine: what the store says of an attempt, what the
//! worker shows of it, and the one act that follows. The list is closed: every
//! pair of the two is a case, and `docs/design.md` has the same table with the
//! proof that each act rests on.

use crate::protocol::worker::{Cause, TaskState};
use crate::state::PlacedTasks;

/// What the store says of an attempt on this machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stored {
    /// Its place is here and it shall run.
    Wanted,
    /// Its place is here, but it shall not run: its job was cancelled, it was
    /// preempted, or it was proved gone and the write is under way.
    Ending,
    /// No place here: it is elsewhere, under another attempt, of a job that is
    /// over, or of one that nobody knows.
    Nowhere,
}

impl Stored {
    /// Of the places on one machine: those that shall run, and all there are.
    pub fn of(wanted: &PlacedTasks, kept: &PlacedTasks, task: &(String, u32), attempt: u64) -> Stored {
        if wanted.get(task) == Some(&attempt) {
            Stored::Wanted
        } else if kept.get(task) == Some(&attempt) {
            Stored::Ending
        } else {
            Stored::Nowhere
        }
    }
}

/// What the newest report of the machine shows of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shown {
    /// It fetches, gathers, runs or saves.
    Alive,
    Exited(Option<Cause>),
    Absent,
}

impl Shown {
    pub fn of(state: TaskState, cause: Option<Cause>) -> Shown {
        if state == TaskState::Exited { Shown::Exited(cause) } else { Shown::Alive }
    }
}

/// How the two compare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Case {
    /// As it should be.
    Runs,
    /// Stored and not there: never ordered, dropped, or lapsed with a session.
    Missing,
    /// It completed, perhaps while nobody listened: the result counts.
    Finished,
    /// It ended here without a result.
    Failed,
    /// A gang's task gave up waiting for the others, which are on their way.
    GaveUp,
    /// It runs and shall not.
    Unwanted,
    /// It shall not run, and is not there.
    Vanished,
    /// It runs without a place: another attempt has it, or its job is over or
    /// unknown.
    Stranger,
    /// It ended, and the store knows.
    Told,
    /// Neither stored nor shown.
    Nothing,
}

/// What follows from a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Act {
    Leave,
    /// Order it to run.
    Run,
    /// Order it to stop.
    Kill,
    /// Store its result; the worker keeps it until then.
    StoreResult,
    /// Store that the attempt is gone from here.
    StoreGone,
    /// The worker may forget it.
    Forget,
    /// Forget it and order the same attempt again.
    Again,
}

/// Compares the two. `comes` says that a gang's other tasks are on their way, so
/// that one which gave up waiting is ordered again rather than given up.
pub fn case(stored: Stored, shown: Shown, comes: bool) -> Case {
    match (stored, shown) {
        (Stored::Wanted, Shown::Alive) => Case::Runs,
        (Stored::Wanted, Shown::Absent) => Case::Missing,
        (Stored::Wanted, Shown::Exited(Some(Cause::GangIncomplete))) if comes => Case::GaveUp,
        (Stored::Wanted | Stored::Ending, Shown::Exited(Some(Cause::Done))) => Case::Finished,
        (Stored::Wanted | Stored::Ending, Shown::Exited(_)) => Case::Failed,
        (Stored::Ending, Shown::Alive) => Case::Unwanted,
        (Stored::Ending, Shown::Absent) => Case::Vanished,
        (Stored::Nowhere, Shown::Alive) => Case::Stranger,
        (Stored::Nowhere, Shown::Exited(_)) => Case::Told,
        (Stored::Nowhere, Shown::Absent) => Case::Nothing,
    }
}

impl Case {
    /// The act. `confirmed`: the worker listens to nobody but us and to no
    /// message of ours that was given up on, so its report is all there is; what
    /// can't be taken back rests on it.
    pub fn act(self, confirmed: bool) -> Act {
        match self {
            Case::Runs | Case::Nothing => Act::Leave,
            // Safe unconfirmed: this attempt may start here and nowhere else.
            Case::Missing => Act::Run,
            Case::Unwanted | Case::Stranger => Act::Kill,
            Case::Finished => Act::StoreResult,
            Case::Failed => Act::StoreGone,
            // A late `run` would start what was forgotten or called gone.
            Case::GaveUp if confirmed => Act::Again,
            Case::Vanished if confirmed => Act::StoreGone,
            Case::Told if confirmed => Act::Forget,
            Case::GaveUp | Case::Vanished | Case::Told => Act::Leave,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const CAUSES: [Option<Cause>; 9] = [
        None,
        Some(Cause::Done),
        Some(Cause::Stopped),
        Some(Cause::GangMemberLost),
        Some(Cause::GangIncomplete),
        Some(Cause::Error),
        Some(Cause::NoCapacity),
        Some(Cause::AlreadyPresent),
        Some(Cause::UnknownTask),
    ];

    fn every(mut f: impl FnMut(Stored, Shown, bool, bool, Case, Act)) {
        let shown = [Shown::Alive, Shown::Absent].into_iter().chain(CAUSES.map(Shown::Exited));
        for shown in shown {
            for stored in [Stored::Wanted, Stored::Ending, Stored::Nowhere] {
                for comes in [false, true] {
                    for confirmed in [false, true] {
                        let c = case(stored, shown, comes);
                        f(stored, shown, comes, confirmed, c, c.act(confirmed));
                    }
                }
            }
        }
    }

    /// Each line is a rule that was, or would be, broken by the act it forbids.
    #[test]
    fn no_case_allows_what_a_rule_forbids() {
        every(|stored, shown, comes, confirmed, c, act| {
            let told = format!("{stored:?} {shown:?} comes {comes} confirmed {confirmed}: {c:?} {act:?}");
            // ran_twice, ran_cancelled: only what the store wants here starts here.
            if matches!(act, Act::Run | Act::Again) {
                assert_eq!(stored, Stored::Wanted, "{told}");
            }
            // A second start of what is there already is a storm, and `in_use`.
            assert!(act != Act::Run || shown == Shown::Absent, "{told}");
            // A result that nobody stored must not be forgotten, nor run again.
            if act == Act::Forget {
                assert!(stored == Stored::Nowhere && confirmed && matches!(shown, Shown::Exited(_)), "{told}");
            }
            let done = shown == Shown::Exited(Some(Cause::Done));
            assert!(!(done && stored != Stored::Nowhere) || act == Act::StoreResult, "{told}");
            // What may still start by a late order is not gone.
            if act == Act::StoreGone && shown == Shown::Absent {
                assert!(confirmed, "{told}");
            }
            // What runs and shall run is left in peace.
            if stored == Stored::Wanted && shown == Shown::Alive {
                assert_eq!(act, Act::Leave, "{told}");
            }
            // Nothing that runs without the store's will goes on.
            if stored != Stored::Wanted && shown == Shown::Alive {
                assert_eq!(act, Act::Kill, "{told}");
            }
        });
    }

    /// A machine that is as wanted gets no order at all, however often it reports.
    #[test]
    fn only_differences_lead_to_orders() {
        assert_eq!(case(Stored::Wanted, Shown::Alive, false).act(true), Act::Leave);
        assert_eq!(case(Stored::Nowhere, Shown::Absent, false).act(true), Act::Leave);
        assert_eq!(case(Stored::Wanted, Shown::Exited(Some(Cause::GangIncomplete)), true).act(true), Act::Again);
        assert_eq!(case(Stored::Wanted, Shown::Exited(Some(Cause::GangIncomplete)), true).act(false), Act::Leave);
        assert_eq!(case(Stored::Wanted, Shown::Exited(Some(Cause::GangIncomplete)), false).act(true), Act::StoreGone);
    }
}
