//! Service levels by class, by team and of the largest jobs.

use super::*;

fn spec(class: &str, team: &str) -> JobSpec {
    JobSpec { class: class.into(), team: team.into(), ..JobSpec::example("run-1") }
}

/// Half of the jobs of a class are in time, and all that are not are one team's.
#[test]
fn a_team_that_is_shut_out_shows_beside_a_class_that_is_well() {
    let mut s = Served::default();
    for _ in 0..20 {
        s.note(&spec("scores", "risk"), true);
    }
    for _ in 0..9 {
        s.note(&spec("scores", "treasury"), false);
    }
    let t = s.tallies(std::iter::empty(), 0);
    assert!(t[&Who::Class("scores".into())].least_share().unwrap() > HALF);
    assert_eq!(t[&Who::Team("treasury".into())].least_share(), Some(0.0));
    assert_eq!(t[&Who::Team("risk".into())].least_share(), Some(1.0));
}

/// All small jobs of a class went ahead of the large ones, and the class as a whole
/// looked well. Width, cores and memory are each asked about.
#[test]
fn the_largest_jobs_show_beside_their_class() {
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
    assert!(t[&Who::Class("scores".into())].least_share().unwrap() > HALF);
    let largest = t[&Who::Largest("scores".into())];
    assert!(largest.judged >= 20 && largest.least_share().unwrap() < HALF, "{largest:?}");
    let mut alike = Served::default();
    (0..20).for_each(|_| alike.note(&sized(3, 1.0), false));
    assert!(!alike.tallies(std::iter::empty(), 0).contains_key(&Who::Largest("scores".into())));
}

#[test]
fn a_few_jobs_are_no_share() {
    let mut s = Served::default();
    (0..ENOUGH - 1).for_each(|_| s.note(&spec("scores", "risk"), false));
    assert_eq!(s.tallies(std::iter::empty(), 0)[&Who::Class("scores".into())].least_share(), None);
    let services = ServiceTally { replicas: 10, placed: 4, live: 10, untouched: 2, ..ServiceTally::default() };
    assert_eq!(services.least_share(), Some(0.4), "the least of them counts");
}
