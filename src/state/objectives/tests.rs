//! How objectives apply to jobs and how misses are remembered.

use super::*;

#[test]
fn misses_show_and_fade() {
    let o = Objective {
        kind: "finished".into(),
        class: Some("c".into()),
        within_s: Some(10.0),
        share: Some(0.8),
        times: None,
    };
    let mut aims = Aims::new(vec![o]);
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

/// Arrays that missed the first of two aims counted as lost, and waited
/// behind all others until they had missed the second.
#[test]
fn after_one_aim_comes_the_next() {
    let o = |within_s| Objective {
        kind: "finished".into(),
        class: Some("c".into()),
        within_s: Some(within_s),
        share: Some(0.8),
        times: None,
    };
    let aims = Aims::new(vec![o(40.0), o(20.0)]);
    let spec = JobSpec::example("run-1");
    let from = |age_s| aims.end_from(&spec, age_s, 7.0);
    assert_eq!((from(0.0), from(14.0), from(50.0)), (Some(20.0), Some(40.0), Some(40.0)));
    assert_eq!(Aims::new(Vec::new()).end_from(&spec, 0.0, 7.0), None);
}
