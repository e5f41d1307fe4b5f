//! Which member the tasks of a job are assigned to.

use super::*;
use crate::protocol::user::JobSpec;
use std::collections::BTreeMap;

/// A job assigned as a whole to a controller with a queue waited there while
/// other shards stood free a second later.
#[test]
fn waiting_tasks_are_assigned_to_the_shortest_queues() {
    let mut s = JobSpec::example("run-1");
    s.cores = 1.0;
    s.task_count = 30;
    let members = ["a", "b", "c"].map(String::from);
    let queues = BTreeMap::from([("a".to_string(), 40.0), ("b".to_string(), 5.0)]);
    let inputs = AssignmentInputs {
        members: &members,
        capacities: &[],
        queues: &queues,
        grain: 10,
        zones: &BTreeMap::new(),
        alike: &BTreeMap::new(),
    };
    let waiting: Vec<u32> = (0..30).collect();
    let task_ranges = assign_task_ranges(&s, &waiting, &inputs, "a", false);
    let of = |m: &str| task_ranges.iter().filter(|s| s.member == m).map(|s| s.to - s.from + 1).sum::<u32>();
    assert_eq!((of("a"), of("b"), of("c")), (0, 10, 20));
    // Two writers of one record would refuse each other's starts.
    assert!(task_ranges.iter().all(|s| s.from % 10 == 0));
    assert_eq!(assign_task_ranges(&s, &waiting, &inputs, "a", true)[0].member, "c");
}

/// A shard with much room in one zone only cannot hold a job that must be
/// apart, nor one with little room in each a gang that must be together.
#[test]
fn a_task_range_counts_capacity_where_the_job_may_use_it() {
    let mut s = JobSpec::example("run-1");
    s.task_count = 4;
    let capacity = |m: &str, zone: &str, cores| {
        let mut r = crate::placement::tests::capacity("m", cores, "");
        r.zone = zone.into();
        (m.to_string(), r)
    };
    let capacities = [capacity("a", "x", 8.0), capacity("b", "x", 2.0), capacity("b", "y", 3.0)];
    let members = ["a", "b"].map(String::from);
    let (queues, zones, alike) = Default::default();
    let inputs = AssignmentInputs {
        members: &members,
        capacities: &capacities,
        queues: &queues,
        grain: 8,
        zones: &zones,
        alike: &alike,
    };
    let holder = |s: &JobSpec| assign_task_ranges(s, &[0, 1, 2, 3], &inputs, "a", true)[0].member.clone();
    s.zone_anti_affinity = true;
    assert_eq!(holder(&s), "b");
    (s.zone_anti_affinity, s.zone_affinity) = (false, true);
    assert_eq!(holder(&s), "a");
}

/// Each shard had a few replicas of every image, each on a machine of its
/// own that had to fetch it: jobs wait where their image is or will be.
#[test]
fn jobs_with_one_image_are_assigned_to_one_shard() {
    let mut s = JobSpec::example("run-1");
    s.kind = crate::protocol::user::JobKind::Service;
    let members = ["a", "b", "c"].map(String::from);
    let holder = |queues: &[(&str, f64)], alike: &[(&str, u32)]| {
        let queues = queues.iter().map(|(m, q)| (m.to_string(), *q)).collect();
        let alike = alike.iter().map(|(m, n)| (m.to_string(), *n)).collect();
        let zones = BTreeMap::new();
        let inputs = AssignmentInputs {
            members: &members,
            capacities: &[],
            queues: &queues,
            grain: 8,
            zones: &zones,
            alike: &alike,
        };
        assign_task_ranges(&s, &[0, 1], &inputs, "a", true)[0].member.clone()
    };
    assert_eq!(holder(&[("a", 4.0), ("b", 2.0), ("c", 6.0)], &[("c", 2)]), "c");
    assert_eq!(holder(&[("a", 4.0), ("b", 2.0), ("c", 6.0)], &[("b", 1), ("c", 2)]), "c");
    // Not behind a queue that is much longer than the others.
    assert_eq!(holder(&[("a", 4.0), ("b", 2.0), ("c", 60.0)], &[("c", 2)]), "b");
}
