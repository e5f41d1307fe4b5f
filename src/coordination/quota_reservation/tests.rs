//! Tests of how much of a quota one controller may reserve by itself.

use super::*;

const UNLIMITED: QuotaLimit = QuotaLimit { used: 0.0, max: 0.0 };

fn gpus(n: f64) -> Resources {
    Resources { gpus: n, ..Resources::default() }
}

/// Every start of a team changed the team's record, although its use was far below its limit,
/// and so the starts of five controllers conflicted with each other.
#[test]
fn the_shares_of_all_controllers_stay_within_the_limit() {
    let s = Duration::from_secs;
    let limit = |used| QuotaLimit { used, max: 40.0 };
    let mut reservation = QuotaReservation::default();
    assert!(reservation.allows_start(gpus(4.0), UNLIMITED, limit(20.0), 5, s(1), s(6)));
    assert!(
        !reservation.allows_start(gpus(4.1), UNLIMITED, limit(20.0), 5, s(1), s(6)),
        "more than a fifth of one half"
    );
    assert!(!reservation.allows_start(gpus(1.0), UNLIMITED, limit(20.1), 5, s(1), s(6)), "more than half is in use");
    reservation.record_sent(gpus(3.0));
    assert!(!reservation.allows_start(gpus(2.0), UNLIMITED, limit(0.0), 5, s(1), s(6)), "a start is in flight");
    reservation.record_outcome(gpus(3.0), Some(true), s(2));
    assert!(
        !reservation.allows_start(gpus(2.0), UNLIMITED, limit(3.0), 5, s(14), s(6)),
        "other controllers may not see the start yet"
    );
    assert!(reservation.allows_start(gpus(2.0), UNLIMITED, limit(3.0), 5, s(15), s(6)));
    reservation.record_sent(gpus(3.0));
    reservation.record_outcome(gpus(3.0), None, s(20));
    assert!(
        !reservation.allows_start(gpus(2.0), UNLIMITED, limit(0.0), 5, s(900), s(6)),
        "the start may still be carried out"
    );
    reservation.record_changed();
    assert!(reservation.allows_start(gpus(2.0), UNLIMITED, limit(0.0), 5, s(901), s(6)));
}
