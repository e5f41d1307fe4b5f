//! Tests of which member a job's tasks are assigned to.

use super::*;
use crate::protocol::user::JobSpec;
use std::collections::BTreeMap;

/// A job that was assigned as a whole to a controller with a queue waited there, although other
/// shards had room a second later.
#[test]
fn waiting_tasks_are_assigned_to_the_shortest_queues() {
    let mut spec = JobSpec::example("run-1");
    spec.cores = 1.0;
    spec.task_count = 30;
    let members = ["a", "b", "c"].map(String::from);
    let queues = [("a", 40.0), ("b", 5.0)].map(|(m, cores)| (m.to_string(), ShardQueue::competing(cores))).into();
    let inputs = AssignmentInputs {
        members: &members,
        capacities: &[],
        queues: &queues,
        tasks_per_record: 10,
        tasks_by_zone: &BTreeMap::new(),
        waiting_with_image: &BTreeMap::new(),
    };
    let waiting: Vec<u32> = (0..30).collect();
    let task_ranges = assign_task_ranges(&spec, &waiting, &inputs, "a", false);
    let assigned = |member: &str| {
        task_ranges.iter().filter(|range| range.member == member).map(|range| range.to - range.from + 1).sum::<u32>()
    };
    assert_eq!((assigned("a"), assigned("b"), assigned("c")), (0, 10, 20));
    // The starts of two members that write the same record would conflict.
    assert!(task_ranges.iter().all(|range| range.from % 10 == 0));
    assert_eq!(assign_task_ranges(&spec, &waiting, &inputs, "a", true)[0].member, "c");
}

/// Guards against tasks that wait in a short queue while a shard with a long one has room that its
/// queue cannot use: they get that room first, and only what is left goes to the short queue.
#[test]
fn room_that_a_queue_cannot_use_is_assigned_before_shorter_queues() {
    let spec = JobSpec { task_count: 6, cores: 1.0, ..JobSpec::example("run-1") };
    let members = ["a", "b"].map(String::from);
    let capacities = [("a".to_string(), crate::placement::tests::capacity("m", 2.0, ""))];
    let assigned = |queue: ShardQueue| -> u32 {
        let inputs = AssignmentInputs {
            members: &members,
            capacities: &capacities,
            queues: &BTreeMap::from([("a".to_string(), queue)]),
            tasks_per_record: 1,
            tasks_by_zone: &BTreeMap::new(),
            waiting_with_image: &BTreeMap::new(),
        };
        let ranges = assign_task_ranges(&spec, &[0, 1, 2, 3, 4, 5], &inputs, "b", false);
        ranges.iter().filter(|range| range.member == "a").map(|range| range.to - range.from + 1).sum()
    };
    assert_eq!(assigned(ShardQueue { competing_cores: 0.0, backlog_cores: 100.0 }), 2);
    assert_eq!(assigned(ShardQueue::competing(100.0)), 0);
}

/// A shard with much room in a single zone cannot hold a job that must be spread over zones, and
/// a shard with little room in each zone cannot hold a gang that must run in one zone.
#[test]
fn only_capacity_in_permitted_zones_counts() {
    let mut spec = JobSpec::example("run-1");
    spec.task_count = 4;
    let capacity = |member: &str, zone: &str, cores| {
        let mut capacity = crate::placement::tests::capacity("m", cores, "");
        capacity.zone = zone.into();
        (member.to_string(), capacity)
    };
    let capacities = [capacity("a", "x", 8.0), capacity("b", "x", 2.0), capacity("b", "y", 3.0)];
    let members = ["a", "b"].map(String::from);
    let (queues, zones, waiting_with_image) = Default::default();
    let inputs = AssignmentInputs {
        members: &members,
        capacities: &capacities,
        queues: &queues,
        tasks_per_record: 8,
        tasks_by_zone: &zones,
        waiting_with_image: &waiting_with_image,
    };
    let assignee = |spec: &JobSpec| assign_task_ranges(spec, &[0, 1, 2, 3], &inputs, "a", true)[0].member.clone();
    spec.zone_anti_affinity = true;
    assert_eq!(assignee(&spec), "b");
    (spec.zone_anti_affinity, spec.zone_affinity) = (false, true);
    assert_eq!(assignee(&spec), "a");
}

/// Every shard ran a few replicas with each image, and in each shard a machine had to fetch it.
/// Jobs are assigned to the shard where their image is or will be.
#[test]
fn jobs_with_one_image_are_assigned_to_one_shard() {
    let mut spec = JobSpec::example("run-1");
    spec.kind = crate::protocol::user::JobKind::Service;
    let members = ["a", "b", "c"].map(String::from);
    let assignee = |queues: &[(&str, f64)], waiting_with_image: &[(&str, u32)]| {
        let queues = queues.iter().map(|(m, q)| (m.to_string(), ShardQueue::competing(*q))).collect();
        let waiting_with_image = waiting_with_image.iter().map(|(m, n)| (m.to_string(), *n)).collect();
        let zones = BTreeMap::new();
        let inputs = AssignmentInputs {
            members: &members,
            capacities: &[],
            queues: &queues,
            tasks_per_record: 8,
            tasks_by_zone: &zones,
            waiting_with_image: &waiting_with_image,
        };
        assign_task_ranges(&spec, &[0, 1], &inputs, "a", true)[0].member.clone()
    };
    assert_eq!(assignee(&[("a", 4.0), ("b", 2.0), ("c", 6.0)], &[("c", 2)]), "c");
    assert_eq!(assignee(&[("a", 4.0), ("b", 2.0), ("c", 6.0)], &[("b", 1), ("c", 2)]), "c");
    // A queue that is much longer than the others is avoided nevertheless.
    assert_eq!(assignee(&[("a", 4.0), ("b", 2.0), ("c", 60.0)], &[("c", 2)]), "b");
}
