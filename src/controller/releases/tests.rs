use super::*;

const PERIOD_S: f64 = 10.0;

#[test]
fn silent_machines_are_released_at_a_limited_rate() {
    let mut releases = Releases::new();
    assert!(releases.try_acquire());
    assert!(!releases.try_acquire());
    releases.refill(Duration::from_secs(4), 2.0, PERIOD_S);
    assert!(!releases.try_acquire());
    releases.refill(Duration::from_secs(5), 2.0, PERIOD_S);
    assert!(releases.try_acquire());
    releases.refill(Duration::from_secs(1000), 2.0, PERIOD_S);
    assert_eq!((0..5).filter(|_| releases.try_acquire()).count(), 2);
}

#[test]
fn only_a_confirmed_release_is_final() {
    let mut releases = Releases::new();
    releases.begin(&["m-1".to_string(), "m-2".to_string()]);
    assert!(releases.is_released_or_in_flight("m-1") && !releases.is_released("m-1"));
    releases.finish("m-1", true);
    releases.finish("m-2", false);
    assert!(releases.is_released("m-1"));
    assert!(!releases.is_released_or_in_flight("m-2"));
}
