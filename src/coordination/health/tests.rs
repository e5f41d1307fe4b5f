//! Tests of when a controller counts as healthy for the load balancer.

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

/// All controllers restarted within 0.2 s. The load balancer took all of them out of rotation
/// because each had once answered that it was not ready, and the fleet got no work for half a
/// minute although nothing was wrong.
#[test]
fn a_quick_start_stays_healthy() {
    assert!(healthy(&starting(0.1, &[])), "no other controller is known to be fresh");
    assert!(healthy(&starting(0.4, &[1e9, 0.2])), "it is ready before the next probe");
    assert!(healthy(&starting(1.4, &[1e9, 1e9])), "all controllers are starting");
    assert!(!healthy(&starting(1.4, &[1e9, 0.2])), "another controller is fresh");
    assert!(!healthy(&starting(3.1, &[])), "the start has taken too long");
    assert!(!healthy(&starting(3.1, &[1e9])));
}

/// Without the state service no controller can read the state, so no other one serves users
/// better.
#[test]
fn an_outage_of_all_controllers_leaves_all_healthy() {
    assert!(healthy(&Facts { store_away: true, ..starting(20.0, &[30.0, 1e9]) }));
    assert!(!healthy(&Facts { store_away: true, ..starting(20.0, &[]) }), "no other controller reports the outage");
    assert!(!healthy(&Facts { store_away: true, ..starting(20.0, &[0.1, 1e9]) }), "another controller is fresh");
}

/// Users must not be sent to a controller that is the only one without access to the store.
#[test]
fn the_only_controller_without_the_store_is_unhealthy() {
    let with_replica = |stale: f64, others: &[f64], entitled| Facts {
        loaded: true,
        stale: Some(s(stale)),
        entitled,
        ..starting(100.0, others)
    };
    assert!(healthy(&with_replica(1.0, &[0.5], true)));
    assert!(!healthy(&with_replica(9.0, &[0.5, 9.0], true)), "one of the others is much fresher");
    assert!(healthy(&with_replica(9.0, &[8.0, 9.0], true)));
    assert!(healthy(&with_replica(40.0, &[39.0, 41.0], false)), "all replicas are as stale");
    assert!(!healthy(&with_replica(40.0, &[], false)));
    // A controller that reaches neither the store nor the others is probably cut off itself.
    // While it counted as healthy, its users got no answers for as long as it might have acted.
    assert!(!healthy(&with_replica(9.0, &[], true)));
    let single = Facts { has_others: false, ..with_replica(9.0, &[], true) };
    assert!(healthy(&single), "no other controller could serve the users");
}
