//! Service levels by class, by team and of the largest jobs.

use super::*;

fn spec(class: &str, team: &str) -> JobSpec {
    JobSpec { class: class.into(), team: team.into(), ..JobSpec::example("run-1") }
}

/// Most jobs of a class are in time, and all that are not belong to one team.
#[test]
fn an_unserved_team_shows_although_its_class_does_well() {
    let mut s = Served::default();
    for _ in 0..20 {
        s.note(&spec("scores", "risk"), true);
    }
    for _ in 0..9 {
        s.note(&spec("scores", "treasury"), false);
    }
    let t = s.tallies(std::iter::empty(), 0);
    assert!(t[&JobGroup::Class("scores".into())].least_share().unwrap() > HARDLY_SERVED_SHARE);
    assert_eq!(t[&JobGroup::Team("treasury".into())].least_share(), Some(0.0));
    assert_eq!(t[&JobGroup::Team("risk".into())].least_share(), Some(1.0));
}

/// All small jobs of a class started before the large ones, and the class as a whole
/// seemed to do well. Jobs are large by number of tasks, by cores or by memory.
#[test]
fn unserved_large_jobs_show_although_their_class_does_well() {
    let mut s = Served::default();
    let sized = |task_count, mem_gb| JobSpec { task_count, mem_gb, ..spec("scores", "risk") };
    for n in 0..100 {
        s.note(&sized(1 + n % 5, 1.0), true);
        if n % 4 == 0 {
            s.note(&sized(200, 1.0), false);
            s.note(&sized(1, 900.0), false);
        }
    }
    let t = s.tallies(std::iter::empty(), 0);
    assert!(t[&JobGroup::Class("scores".into())].least_share().unwrap() > HARDLY_SERVED_SHARE);
    let largest = t[&JobGroup::Largest("scores".into())];
    assert!(largest.judged >= 20 && largest.least_share().unwrap() < HARDLY_SERVED_SHARE, "{largest:?}");
    let mut alike = Served::default();
    (0..20).for_each(|_| alike.note(&sized(3, 1.0), false));
    assert!(!alike.tallies(std::iter::empty(), 0).contains_key(&JobGroup::Largest("scores".into())));
}

/// A share of a few jobs says nothing, and the least of several shares is reported.
#[test]
fn a_share_needs_enough_jobs() {
    let mut s = Served::default();
    (0..FEWEST_JOBS - 1).for_each(|_| s.note(&spec("scores", "risk"), false));
    assert_eq!(s.tallies(std::iter::empty(), 0)[&JobGroup::Class("scores".into())].least_share(), None);
    let services = ServiceTally { replicas: 10, placed: 4, live: 10, untouched: 2, ..ServiceTally::default() };
    assert_eq!(services.least_share(), Some(0.4), "the least of them counts");
}
