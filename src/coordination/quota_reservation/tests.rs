//! What of a quota one controller may reserve by itself.

use super::*;

const NONE: Limit = Limit { used: 0.0, max: 0.0 };

fn gpus(n: f64) -> Resources {
    Resources { gpus: n, ..Resources::default() }
}

/// Each start of a team with a limit far above its use changed the team's
/// record, and the starts of five controllers refused each other.
#[test]
fn the_shares_of_all_controllers_stay_within_the_limit() {
    let s = Duration::from_secs;
    let of = |used| Limit { used, max: 40.0 };
    let mut reservation = QuotaReservation::default();
    assert!(reservation.allow(gpus(4.0), NONE, of(20.0), 5, s(1), s(6)));
    assert!(!reservation.allow(gpus(4.1), NONE, of(20.0), 5, s(1), s(6)), "more than a fifth of the half");
    assert!(!reservation.allow(gpus(1.0), NONE, of(20.1), 5, s(1), s(6)), "more than half is in use");
    reservation.sent(gpus(3.0));
    assert!(!reservation.allow(gpus(2.0), NONE, of(0.0), 5, s(1), s(6)), "under way");
    reservation.answered(gpus(3.0), Some(true), s(2));
    assert!(!reservation.allow(gpus(2.0), NONE, of(3.0), 5, s(14), s(6)), "others may not see it yet");
    assert!(reservation.allow(gpus(2.0), NONE, of(3.0), 5, s(15), s(6)));
    reservation.sent(gpus(3.0));
    reservation.answered(gpus(3.0), None, s(20));
    assert!(!reservation.allow(gpus(2.0), NONE, of(0.0), 5, s(900), s(6)), "may still be carried out");
    reservation.record_changed();
    assert!(reservation.allow(gpus(2.0), NONE, of(0.0), 5, s(901), s(6)));
}
