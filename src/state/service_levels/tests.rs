//! Tests of service levels by class, by team and of the largest jobs.

use super::*;

fn spec(class: &str, team: &str) -> JobSpec {
    JobSpec { class: class.into(), team: team.into(), ..JobSpec::example("run-1") }
}

/// Most jobs of a class are in time, and all of those that are not belong to one team. The
/// share of the class alone would hide that the team is not served.
#[test]
fn an_unserved_team_is_seen_although_its_class_is_served_well() {
    let mut served = ServiceLevelCounts::default();
    for _ in 0..20 {
        served.record(&spec("scores", "risk"), true);
    }
    for _ in 0..9 {
        served.record(&spec("scores", "treasury"), false);
    }
    let tallies = served.tallies(std::iter::empty(), 0);
    assert!(tallies[&JobGroup::Class("scores".into())].least_share().unwrap() > HARDLY_SERVED_SHARE);
    assert_eq!(tallies[&JobGroup::Team("treasury".into())].least_share(), Some(0.0));
    assert_eq!(tallies[&JobGroup::Team("risk".into())].least_share(), Some(1.0));
}

/// If all small jobs of a class start before the large ones, the share of the class alone hides
/// that the large ones are not served. A job is large by its number of tasks, by its cores or
/// by its memory.
#[test]
fn unserved_large_jobs_are_seen_although_their_class_is_served_well() {
    let mut served = ServiceLevelCounts::default();
    let sized = |task_count, mem_gb| JobSpec { task_count, mem_gb, ..spec("scores", "risk") };
    for n in 0..100 {
        served.record(&sized(1 + n % 5, 1.0), true);
        if n % 4 == 0 {
            served.record(&sized(200, 1.0), false);
            served.record(&sized(1, 900.0), false);
        }
    }
    let tallies = served.tallies(std::iter::empty(), 0);
    assert!(tallies[&JobGroup::Class("scores".into())].least_share().unwrap() > HARDLY_SERVED_SHARE);
    let largest = tallies[&JobGroup::Largest("scores".into())];
    assert!(largest.judged >= 20 && largest.least_share().unwrap() < HARDLY_SERVED_SHARE, "{largest:?}");
    let mut alike = ServiceLevelCounts::default();
    (0..20).for_each(|_| alike.record(&sized(3, 1.0), false));
    assert!(!alike.tallies(std::iter::empty(), 0).contains_key(&JobGroup::Largest("scores".into())));
}

/// No share is reported for a few jobs, and the smallest of several shares is reported.
#[test]
fn a_share_is_reported_only_for_enough_jobs() {
    let mut served = ServiceLevelCounts::default();
    (0..MIN_JOBS_FOR_SHARE - 1).for_each(|_| served.record(&spec("scores", "risk"), false));
    assert_eq!(served.tallies(std::iter::empty(), 0)[&JobGroup::Class("scores".into())].least_share(), None);
    let services = ServiceTally { replicas: 10, placed: 4, live: 10, not_started: 2, ..ServiceTally::default() };
    assert_eq!(services.least_share(), Some(0.4), "the smallest share counts");
}

/// Users name classes as they like. With a class of its own for each job, the sizes by class took more
/// memory with each job that ended, until the controller was killed.
#[test]
fn classes_beyond_the_memory_count_as_one() {
    let max_classes = 5;
    let mut served = ServiceLevelCounts::with_limit(["scores"], max_classes * MAX_CLASS_BYTES);
    for n in 0..1_000 {
        served.record(&spec(&format!("class-{n}"), "risk"), n % 2 == 0);
    }
    served.record(&spec("scores", "risk"), true);
    let tallies = served.tallies(std::iter::empty(), 0);
    let judged = |class: &str| tallies.get(&JobGroup::Class(class.into())).map(|tally| tally.judged);
    assert!(served.sizes.by_class.len() <= max_classes + 1, "{} classes", served.sizes.by_class.len());
    assert_eq!((judged("scores"), judged("class-0"), judged("class-900")), (Some(1), Some(1), None));
    assert_eq!(judged(OTHER_CLASSES), Some(1_000 - (max_classes as u32 - 1)), "no job is left out");
    assert_eq!(tallies[&JobGroup::Team("risk".into())].judged, 1_001);
    let largest = JobSpec { cores: f64::MAX, mem_gb: f64::MAX, ..spec("scores", "risk") };
    served.record(&largest, true);
    let sizes = &served.sizes.by_class["scores"];
    assert!(2 * sizes.0.iter().map(|histogram| histogram.distinct_values() * 8).sum::<usize>() <= MAX_CLASS_BYTES);
}
