use super::*;

fn process() -> Process {
    Process::new("a".into(), 7, Duration::from_secs(100), Duration::from_millis(20))
}

#[test]
fn an_earlier_incarnation_of_the_same_name_is_another_process() {
    assert!(process().is("a", 7));
    assert!(!process().is("a", 6));
    assert!(!process().is("b", 7));
}

#[test]
fn the_time_of_day_counts_from_the_start() {
    assert_eq!(process().wall_ms(Duration::from_millis(50)), 100_050);
}

#[test]
fn an_event_after_a_suspension_returns_the_time_since_the_previous_one() {
    let mut process = process();
    assert_eq!(process.suspension.observe_event(Duration::from_secs(3)), Some(Duration::from_secs(3)));
    assert_eq!(process.suspension.observe_event(Duration::from_secs(4)), Some(Duration::from_secs(1)));
}
