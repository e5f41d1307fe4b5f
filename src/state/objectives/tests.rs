//! How objectives apply to jobs and how misses are remembered.

use super::*;

/// An objective that eight of ten jobs shall complete within a time.
fn completion_within(within_s: f64) -> Objective {
    Objective {
        kind: "finished".into(),
        class: Some("c".into()),
        within_s: Some(within_s),
        share: Some(0.8),
        times: None,
    }
}

/// A few misses show at once, and later jobs in time make up for them.
#[test]
fn recent_misses_count_and_are_forgotten() {
    let mut aims = Objectives::new(vec![completion_within(10.0)]);
    let spec = JobSpec::example("run-1");
    assert_eq!(aims.end_within(&spec), Some(10.0));
    assert!(!aims.behind());
    for _ in 0..3 {
        aims.note_end(&spec, 11.0);
    }
    assert!(aims.behind());
    for _ in 0..9 {
        aims.note_end(&spec, 9.0);
    }
    assert!(!aims.behind());
}

/// Arrays that missed the first of two objectives counted as lost, and waited behind all
/// others until they had missed the second.
#[test]
fn a_job_that_missed_one_objective_has_the_next_to_meet() {
    let aims = Objectives::new(vec![completion_within(40.0), completion_within(20.0)]);
    let spec = JobSpec::example("run-1");
    let from = |age_s| aims.end_from(&spec, age_s, 7.0);
    assert_eq!((from(0.0), from(14.0), from(50.0)), (Some(20.0), Some(40.0), Some(40.0)));
    assert_eq!(Objectives::new(Vec::new()).end_from(&spec, 0.0, 7.0), None);
}
