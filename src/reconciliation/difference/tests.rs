//! Tests of every combination of recorded and observed state.

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
    let observations =
        [ObservedState::Alive, ObservedState::Absent].into_iter().chain(CAUSES.map(ObservedState::Exited));
    for observed in observations {
        for recorded in [RecordedState::Wanted, RecordedState::Ending, RecordedState::NotHere] {
            for gang_is_starting in [false, true] {
                for confirmed in [false, true] {
                    let difference = compare(recorded, observed, gang_is_starting);
                    check(recorded, observed, gang_is_starting, confirmed, difference, difference.remedy(confirmed));
                }
            }
        }
    }
}

/// Each assertion is a rule that a wrong remedy would break, or has broken.
#[test]
fn no_difference_allows_a_forbidden_remedy() {
    for_every_combination(|recorded, observed, gang_is_starting, confirmed, difference, remedy| {
        let combination = format!(
            "{recorded:?} {observed:?} starting {gang_is_starting} confirmed {confirmed}: {difference:?} {remedy:?}"
        );
        // `ran_twice` and `ran_cancelled` of the emulator's checker: only an attempt that the store
        // wants to run here is started here.
        if matches!(remedy, Remedy::Run | Remedy::Restart) {
            assert_eq!(recorded, RecordedState::Wanted, "{combination}");
        }
        // The agent refuses to start an attempt that is already there (`in_use`), so the command
        // would be repeated for ever.
        assert!(remedy != Remedy::Run || observed == ObservedState::Absent, "{combination}");
        // A result that is not recorded must not be forgotten, and its task must not run again.
        if remedy == Remedy::Forget {
            assert!(
                recorded == RecordedState::NotHere && confirmed && matches!(observed, ObservedState::Exited(_)),
                "{combination}"
            );
        }
        let done = observed == ObservedState::Exited(Some(Cause::Done));
        assert!(!(done && recorded != RecordedState::NotHere) || remedy == Remedy::StoreResult, "{combination}");
        // An absent attempt that a delayed command may still start is not gone.
        if remedy == Remedy::StoreGone && observed == ObservedState::Absent {
            assert!(confirmed, "{combination}");
        }
        // An attempt that runs and should run is left alone.
        if recorded == RecordedState::Wanted && observed == ObservedState::Alive {
            assert_eq!(remedy, Remedy::Nothing, "{combination}");
        }
        // An attempt that runs and should not run is stopped.
        if recorded != RecordedState::Wanted && observed == ObservedState::Alive {
            assert_eq!(remedy, Remedy::Kill, "{combination}");
        }
    });
}

/// A machine whose tasks are as recorded gets no commands, however many heartbeats it sends.
#[test]
fn only_differences_lead_to_commands() {
    assert_eq!(compare(RecordedState::Wanted, ObservedState::Alive, false).remedy(true), Remedy::Nothing);
    assert_eq!(compare(RecordedState::NotHere, ObservedState::Absent, false).remedy(true), Remedy::Nothing);
    assert_eq!(
        compare(RecordedState::Wanted, ObservedState::Exited(Some(Cause::GangIncomplete)), true).remedy(true),
        Remedy::Restart
    );
    assert_eq!(
        compare(RecordedState::Wanted, ObservedState::Exited(Some(Cause::GangIncomplete)), true).remedy(false),
        Remedy::Nothing
    );
    assert_eq!(
        compare(RecordedState::Wanted, ObservedState::Exited(Some(Cause::GangIncomplete)), false).remedy(true),
        Remedy::StoreGone
    );
}
