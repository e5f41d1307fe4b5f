//! Tests of the conversion of seconds to durations.

use super::*;

/// A number from a user, the cloud or the settings that no `Duration` can hold ended the process.
#[test]
fn every_number_of_seconds_is_a_duration() {
    for seconds in [f64::NAN, f64::NEG_INFINITY, -1.0, -0.0] {
        assert_eq!(duration_from_secs(seconds), Duration::ZERO, "{seconds}");
    }
    for seconds in [f64::INFINITY, f64::MAX, 1e30, 1.9e19] {
        assert_eq!(duration_from_secs(seconds), MAX_DURATION, "{seconds}");
        assert_eq!(scale_duration(Duration::from_secs(2), seconds), MAX_DURATION, "{seconds}");
    }
    assert_eq!(duration_from_secs(f64::MIN_POSITIVE), Duration::ZERO);
    for seconds in [0.1, 1.0 / 3.0, 4.5, 86_400.25] {
        assert_eq!(duration_from_secs(seconds), Duration::from_secs_f64(seconds));
        assert_eq!(scale_duration(Duration::from_secs(3), seconds), Duration::from_secs(3).mul_f64(seconds));
    }
}
