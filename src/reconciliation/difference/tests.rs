//! Every combination of recorded and observed state.

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

fn for_every_combination(mut check: impl FnMut(Stored, Shown, bool, bool, Case, Act)) {
    let shown = [Shown::Alive, Shown::Absent].into_iter().chain(CAUSES.map(Shown::Exited));
    for shown in shown {
        for stored in [Stored::Wanted, Stored::Ending, Stored::Nowhere] {
            for comes in [false, true] {
                for confirmed in [false, true] {
                    let difference = case(stored, shown, comes);
                    check(stored, shown, comes, confirmed, difference, difference.act(confirmed));
                }
            }
        }
    }
}

/// Each assertion is a rule that a forbidden remedy broke, or would break.
#[test]
fn no_difference_allows_a_forbidden_remedy() {
    for_every_combination(|stored, shown, comes, confirmed, difference, act| {
        let combination = format!("{stored:?} {shown:?} comes {comes} confirmed {confirmed}: {difference:?} {act:?}");
        // ran_twice, ran_cancelled: only what the store wants here starts here.
        if matches!(act, Act::Run | Act::Again) {
            assert_eq!(stored, Stored::Wanted, "{combination}");
        }
        // Starting what is there already repeats without end and is refused as `in_use`.
        assert!(act != Act::Run || shown == Shown::Absent, "{combination}");
        // A result that is not recorded must not be forgotten, nor the task run again.
        if act == Act::Forget {
            assert!(stored == Stored::Nowhere && confirmed && matches!(shown, Shown::Exited(_)), "{combination}");
        }
        let done = shown == Shown::Exited(Some(Cause::Done));
        assert!(!(done && stored != Stored::Nowhere) || act == Act::StoreResult, "{combination}");
        // What a delayed command may still start is not gone.
        if act == Act::StoreGone && shown == Shown::Absent {
            assert!(confirmed, "{combination}");
        }
        // What runs and shall run is not touched.
        if stored == Stored::Wanted && shown == Shown::Alive {
            assert_eq!(act, Act::Leave, "{combination}");
        }
        // What runs and is not recorded to run is stopped.
        if stored != Stored::Wanted && shown == Shown::Alive {
            assert_eq!(act, Act::Kill, "{combination}");
        }
    });
}

/// A machine whose tasks are as recorded gets no command, however often it sends
/// heartbeats.
#[test]
fn only_differences_lead_to_commands() {
    assert_eq!(case(Stored::Wanted, Shown::Alive, false).act(true), Act::Leave);
    assert_eq!(case(Stored::Nowhere, Shown::Absent, false).act(true), Act::Leave);
    assert_eq!(case(Stored::Wanted, Shown::Exited(Some(Cause::GangIncomplete)), true).act(true), Act::Again);
    assert_eq!(case(Stored::Wanted, Shown::Exited(Some(Cause::GangIncomplete)), true).act(false), Act::Leave);
    assert_eq!(case(Stored::Wanted, Shown::Exited(Some(Cause::GangIncomplete)), false).act(true), Act::StoreGone);
}
