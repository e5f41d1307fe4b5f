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

fn for_every_combination(mut check: impl FnMut(RecordedState, ObservedState, bool, bool, Difference, Remedy)) {
    let shown = [ObservedState::Alive, ObservedState::Absent].into_iter().chain(CAUSES.map(ObservedState::Exited));
    for shown in shown {
        for stored in [RecordedState::Wanted, RecordedState::Ending, RecordedState::Nowhere] {
            for comes in [false, true] {
                for confirmed in [false, true] {
                    let difference = compare(stored, shown, comes);
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
        if matches!(act, Remedy::Run | Remedy::Restart) {
            assert_eq!(stored, RecordedState::Wanted, "{combination}");
        }
        // Starting what is there already repeats without end and is refused as `in_use`.
        assert!(act != Remedy::Run || shown == ObservedState::Absent, "{combination}");
        // A result that is not recorded must not be forgotten, nor the task run again.
        if act == Remedy::Forget {
            assert!(
                stored == RecordedState::Nowhere && confirmed && matches!(shown, ObservedState::Exited(_)),
                "{combination}"
            );
        }
        let done = shown == ObservedState::Exited(Some(Cause::Done));
        assert!(!(done && stored != RecordedState::Nowhere) || act == Remedy::StoreResult, "{combination}");
        // What a delayed command may still start is not gone.
        if act == Remedy::StoreGone && shown == ObservedState::Absent {
            assert!(confirmed, "{combination}");
        }
        // What runs and shall run is not touched.
        if stored == RecordedState::Wanted && shown == ObservedState::Alive {
            assert_eq!(act, Remedy::Nothing, "{combination}");
        }
        // What runs and is not recorded to run is stopped.
        if stored != RecordedState::Wanted && shown == ObservedState::Alive {
            assert_eq!(act, Remedy::Kill, "{combination}");
        }
    });
}

/// A machine whose tasks are as recorded gets no command, however often it sends
/// heartbeats.
#[test]
fn only_differences_lead_to_commands() {
    assert_eq!(compare(RecordedState::Wanted, ObservedState::Alive, false).act(true), Remedy::Nothing);
    assert_eq!(compare(RecordedState::Nowhere, ObservedState::Absent, false).act(true), Remedy::Nothing);
    assert_eq!(
        compare(RecordedState::Wanted, ObservedState::Exited(Some(Cause::GangIncomplete)), true).act(true),
        Remedy::Restart
    );
    assert_eq!(
        compare(RecordedState::Wanted, ObservedState::Exited(Some(Cause::GangIncomplete)), true).act(false),
        Remedy::Nothing
    );
    assert_eq!(
        compare(RecordedState::Wanted, ObservedState::Exited(Some(Cause::GangIncomplete)), false).act(true),
        Remedy::StoreGone
    );
}
