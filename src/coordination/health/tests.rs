//! Tests of when a controller counts as healthy for the load balancer.

use super::*;

fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

fn starting(uptime: f64, other_staleness: &[f64]) -> HealthInputs {
    let other_staleness = other_staleness.iter().map(|t| s(*t)).collect();
    let freshness_limit = s(3.0);
    HealthInputs {
        uptime: s(uptime),
        loaded: false,
        staleness: None,
        has_others: true,
        other_staleness,
        may_act: false,
        store_unavailable: false,
        freshness_limit,
    }
}

/// All controllers restarted within 0.2 s. The load balancer took all of them out of rotation
/// because each had once answered that it was not ready, and the fleet got no work for half a
/// minute although nothing was wrong.
#[test]
fn a_quick_start_stays_healthy() {
    assert!(is_healthy(&starting(0.1, &[])), "no other controller is known to be fresh");
    assert!(is_healthy(&starting(0.4, &[1e9, 0.2])), "it is ready before the next probe");
    assert!(is_healthy(&starting(1.4, &[1e9, 1e9])), "all controllers are starting");
    assert!(!is_healthy(&starting(1.4, &[1e9, 0.2])), "another controller is fresh");
    assert!(!is_healthy(&starting(3.1, &[])), "the start has taken too long");
    assert!(!is_healthy(&starting(3.1, &[1e9])));
}

/// Without the state service no controller can read the state, so no other one serves users
/// better.
#[test]
fn an_outage_of_all_controllers_leaves_all_healthy() {
    assert!(is_healthy(&HealthInputs { store_unavailable: true, ..starting(20.0, &[30.0, 1e9]) }));
    assert!(
        !is_healthy(&HealthInputs { store_unavailable: true, ..starting(20.0, &[]) }),
        "no other controller reports the outage"
    );
    assert!(
        !is_healthy(&HealthInputs { store_unavailable: true, ..starting(20.0, &[0.1, 1e9]) }),
        "another controller is fresh"
    );
}

/// Users must not be sent to a controller that is the only one without access to the store.
#[test]
fn the_only_controller_without_the_store_is_unhealthy() {
    let with_replica = |staleness: f64, other_staleness: &[f64], may_act| HealthInputs {
        loaded: true,
        staleness: Some(s(staleness)),
        may_act,
        ..starting(100.0, other_staleness)
    };
    assert!(is_healthy(&with_replica(1.0, &[0.5], true)));
    assert!(!is_healthy(&with_replica(9.0, &[0.5, 9.0], true)), "one of the others is much fresher");
    assert!(is_healthy(&with_replica(9.0, &[8.0, 9.0], true)));
    assert!(is_healthy(&with_replica(40.0, &[39.0, 41.0], false)), "all replicas are as stale");
    assert!(!is_healthy(&with_replica(40.0, &[], false)));
    // A controller that reaches neither the store nor the others is probably cut off itself.
    // While it counted as healthy, its users got no answers for as long as it might have acted.
    assert!(!is_healthy(&with_replica(9.0, &[], true)));
    let single = HealthInputs { has_others: false, ..with_replica(9.0, &[], true) };
    assert!(is_healthy(&single), "no other controller could serve the users");
}
