//! Tests of how objectives apply to jobs, and of how recent misses count.

use super::*;

/// The objective that eight of ten jobs complete within a time.
fn completion_within(within_s: f64) -> Objective {
    Objective {
        kind: "finished".into(),
        class: Some("c".into()),
        within_s: Some(within_s),
        share: Some(0.8),
        deadline_factor: None,
    }
}

/// A few misses count at once, and later jobs that are in time make up for them.
#[test]
fn recent_misses_count_until_later_jobs_are_in_time() {
    let mut objectives = Objectives::new(vec![completion_within(10.0)]);
    let spec = JobSpec::example("run-1");
    assert_eq!(objectives.completion_limit_s(&spec), Some(10.0));
    assert!(!objectives.any_missed_recently());
    for _ in 0..3 {
        objectives.record_completion(&spec, 11.0);
    }
    assert!(objectives.any_missed_recently());
    for _ in 0..9 {
        objectives.record_completion(&spec, 9.0);
    }
    assert!(!objectives.any_missed_recently());
}

/// If a job that misses the first of two objectives counted as too late for both, it would
/// wait behind all others until it had missed the second as well.
#[test]
fn a_job_that_missed_one_objective_has_the_next_to_meet() {
    let objectives = Objectives::new(vec![completion_within(40.0), completion_within(20.0)]);
    let spec = JobSpec::example("run-1");
    let from = |age_s| objectives.next_completion_limit_s(&spec, age_s, 7.0);
    assert_eq!((from(0.0), from(14.0), from(50.0)), (Some(20.0), Some(40.0), Some(40.0)));
    assert_eq!(Objectives::new(Vec::new()).next_completion_limit_s(&spec, 0.0, 7.0), None);
}
