//! When a controller counts as healthy for the load balancer.

use super::*;

fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

fn starting(age: f64, others: &[f64]) -> Facts {
    let others = others.iter().map(|t| s(*t)).collect();
    let margin = s(3.0);
    Facts {
        age: s(age),
        loaded: false,
        stale: None,
        has_others: true,
        others,
        entitled: false,
        store_away: false,
        margin,
    }
}

/// All controllers were back within 0.2 s, and the load balancer took all of them
/// out for having said once that they were not ready: for half a minute the fleet
/// ran empty with nothing wrong.
#[test]
fn a_quick_start_stays_healthy() {
    assert!(healthy(&starting(0.1, &[])), "nobody is known to be better off");
    assert!(healthy(&starting(0.4, &[1e9, 0.2])), "it is ready before the next probe");
    assert!(healthy(&starting(1.4, &[1e9, 1e9])), "all of them start");
    assert!(!healthy(&starting(1.4, &[1e9, 0.2])), "the others go on serving");
    assert!(!healthy(&starting(3.1, &[])), "a start that takes long is no quick one");
    assert!(!healthy(&starting(3.1, &[1e9])));
}

/// Without the state service nobody can load: users stay where they are.
#[test]
fn an_outage_of_all_controllers_leaves_all_healthy() {
    assert!(healthy(&Facts { store_away: true, ..starting(20.0, &[30.0, 1e9]) }));
    assert!(!healthy(&Facts { store_away: true, ..starting(20.0, &[]) }), "nobody else says so");
    assert!(!healthy(&Facts { store_away: true, ..starting(20.0, &[0.1, 1e9]) }), "it is we alone");
}

/// Users must not be sent to a controller that is the only one without the store.
#[test]
fn a_controller_that_alone_lost_the_store_is_unhealthy() {
    let view = |stale: f64, others: &[f64], entitled| Facts {
        loaded: true,
        stale: Some(s(stale)),
        entitled,
        ..starting(100.0, others)
    };
    assert!(healthy(&view(1.0, &[0.5], true)));
    assert!(!healthy(&view(9.0, &[0.5, 9.0], true)), "one of the others is much fresher");
    assert!(healthy(&view(9.0, &[8.0, 9.0], true)));
    assert!(healthy(&view(40.0, &[39.0, 41.0], false)), "all are as badly off");
    assert!(!healthy(&view(40.0, &[], false)));
    // Without the store and without the others it is rather we who are cut off: users
    // asked in vain for as long as it might have acted.
    assert!(!healthy(&view(9.0, &[], true)));
    let single = Facts { has_others: false, ..view(9.0, &[], true) };
    assert!(healthy(&single), "nobody else could serve them");
}
