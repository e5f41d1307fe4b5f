//! Tests of placement and preemption.

use super::*;
use crate::protocol::heartbeat_size::TASKS_BYTES;
use crate::protocol::user::{JobKind, JobSpec, Priority};
use crate::state::{Images, Resources};
use std::collections::BTreeMap;

/// A machine in zone `a` with 8 cores, `cores` of them free, that holds `image`.
pub(crate) fn capacity(name: &str, cores: f64, image: &str) -> MachineCapacity {
    MachineCapacity {
        machine: name.into(),
        machine_type: "std".into(),
        zone: "a".into(),
        spot: false,
        cores,
        gpus: 0.0,
        mem_gb: 32.0,
        heartbeat_bytes: TASKS_BYTES as f64,
        total_cores: 8.0,
        total_gpus: 0.0,
        total_mem_gb: 32.0,
        disk_gb: 60.0,
        pull_gb_per_s: 0.25,
        images: [Images::default(), Images::new([image.to_string()].into())],
        used_by_arrays: Resources::default(),
        fetching_gb: 0.0,
    }
}

/// A job with `tasks` waiting tasks and no objective.
fn waiting_job(spec: &JobSpec, tasks: u32, slack_s: f64, work: f64) -> WaitingJob<'_> {
    WaitingJob {
        spec,
        tasks: (0..tasks).collect(),
        waited_s: 1.0,
        tasks_by_zone: BTreeMap::new(),
        slack_s,
        remaining_cpu_s: work,
        start_within_s: None,
        misses_start_objective: false,
        end_objective_s: None,
        waiting_for_image: 0,
    }
}

/// The starts of one round.
fn starts_of(capacities: &mut [MachineCapacity], mut waiting: Vec<WaitingJob>) -> Vec<Start> {
    let settings = PlacementSettings { window: 500, step_gb: 0.25, wait_limit_s: 30.0, kept_for_gangs: 0 };
    plan_starts(capacities, &mut waiting, &settings, &mut Knapsack::default())
}

/// Guards against gangs that start in part: they hold machines and make no progress.
#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut gang = JobSpec::example("run-1");
    gang.kind = JobKind::Gang;
    gang.task_count = 5;
    assert!(
        starts_of(&mut [capacity("m1", 3.0, ""), capacity("m2", 1.0, "")], vec![waiting_job(&gang, 5, 1.0, 1.0)])
            .is_empty()
    );
    assert_eq!(
        starts_of(&mut [capacity("m1", 3.0, ""), capacity("m2", 2.0, "")], vec![waiting_job(&gang, 5, 1.0, 1.0)]).len(),
        5
    );
    gang.zone_affinity = true;
    let mut other_zone = capacity("m2", 4.0, "");
    other_zone.zone = "b".into();
    assert!(starts_of(&mut [capacity("m1", 3.0, ""), other_zone], vec![waiting_job(&gang, 5, 1.0, 1.0)]).is_empty());
}

/// Guards against a backlog of older jobs that miss their deadline filling the window of the
/// oldest tasks, so that jobs that can still meet theirs are not considered.
#[test]
fn a_late_backlog_does_not_hide_jobs_that_can_meet_their_deadline() {
    let (late, in_time) = (JobSpec::example("run-1"), JobSpec::example("run-2"));
    let mut backlog = waiting_job(&late, 600, -5.0, 9.0);
    backlog.waited_s = 20.0;
    let starts = starts_of(&mut [capacity("m1", 4.0, "")], vec![backlog, waiting_job(&in_time, 3, 5.0, 9.0)]);
    assert_eq!(starts.iter().filter(|s| s.uid == "run-2").count(), 3);
}

/// In an overload all tasks have the same value and ties decide: serving late jobs first would
/// make every job miss its deadline.
#[test]
fn jobs_that_can_meet_their_deadline_go_before_late_ones() {
    let (late, big, small) = (JobSpec::example("run-1"), JobSpec::example("run-2"), JobSpec::example("run-3"));
    let waiting =
        vec![waiting_job(&late, 2, -1.0, 1.0), waiting_job(&big, 2, 5.0, 9.0), waiting_job(&small, 2, 5.0, 2.0)];
    let starts = starts_of(&mut [capacity("m1", 3.0, "")], waiting);
    let count = |uid: &str| starts.iter().filter(|s| s.uid == uid).count();
    assert_eq!((count("run-3"), count("run-2"), count("run-1")), (2, 1, 0));
}

/// Covers spot machines, machine types, zone anti-affinity and memory.
#[test]
fn tasks_start_only_where_their_job_may_run() {
    let mut spec = JobSpec::example("run-1");
    spec.spot_allowed = false;
    let mut spot = capacity("m1", 8.0, "");
    spot.spot = true;
    assert!(starts_of(&mut [spot], vec![waiting_job(&spec, 2, 1.0, 1.0)]).is_empty());
    spec.machine_types = Some(vec!["other".into()]);
    assert!(starts_of(&mut [capacity("m1", 8.0, "")], vec![waiting_job(&spec, 2, 1.0, 1.0)]).is_empty());
    spec.machine_types = None;
    spec.zone_anti_affinity = true;
    spec.task_count = 2;
    assert_eq!(starts_of(&mut [capacity("m1", 8.0, "")], vec![waiting_job(&spec, 2, 1.0, 1.0)]).len(), 1);
    spec.zone_anti_affinity = false;
    spec.mem_gb = 20.0;
    assert_eq!(starts_of(&mut [capacity("m1", 8.0, "")], vec![waiting_job(&spec, 2, 1.0, 1.0)]).len(), 1);
}

/// Where the service's image is on a full machine, the task there that loses the least work is
/// preempted, and never one of the same priority.
#[test]
fn preemption_takes_the_cheapest_victim_where_the_image_is() {
    let mut service = JobSpec::example("run-1");
    service.priority = Priority::High;
    let array = JobSpec::example("run-2");
    let victim =
        |index, spec, cost| Victim { uid: "run-2".into(), index, attempt: 1, spec, cost, would_miss_objective: false };
    let capacities = vec![
        (capacity("m1", 0.0, "other"), vec![victim(0, &array, 0.0)]),
        (capacity("m2", 0.0, "img"), vec![victim(1, &array, 9.0), victim(2, &array, 3.0)]),
    ];
    let mut zones = BTreeMap::new();
    let (machine, chosen) = preempt(&service, 1.0, &zones, &capacities).expect("room can be made");
    assert_eq!((machine, chosen.len(), chosen[0].index), (1, 1, 2));
    // Nothing is preempted in a zone where the job may have no more tasks: it would be in vain,
    // and was once repeated ten times a second.
    service.zone_anti_affinity = true;
    zones.insert("a".into(), 1);
    assert!(preempt(&service, 1.0, &zones, &capacities).is_none());
    service.zone_anti_affinity = false;
    service.priority = Priority::Normal;
    assert!(preempt(&service, 1.0, &zones, &capacities).is_none());
    // For an array, tasks of lower priority are preempted unless their job would miss its
    // objective by it; for a service, those as well.
    let low_priority = JobSpec { priority: Priority::Low, ..array.clone() };
    let candidates = |would_miss_objective| {
        let victim = Victim { would_miss_objective, ..victim(0, &low_priority, 1.0) };
        vec![(capacity("m1", 0.0, "img"), vec![victim])]
    };
    assert!(preempt(&array, f64::INFINITY, &zones, &candidates(false)).is_some());
    assert!(preempt(&array, f64::INFINITY, &zones, &candidates(true)).is_none());
    // A task that loses more than half of the work of an array's task is preempted for a service,
    // but not for the array.
    let too_much = array.cores * array.estimated_run_s * 0.6;
    let costs = vec![(capacity("m1", 0.0, "img"), vec![victim(0, &low_priority, too_much)])];
    assert!(preempt(&array, f64::INFINITY, &zones, &costs).is_none());
    let service = JobSpec { kind: JobKind::Service, ..array.clone() };
    assert!(preempt(&service, f64::INFINITY, &zones, &costs).is_some());
    assert!(preempt(&service, f64::INFINITY, &zones, &candidates(true)).is_some());
}

/// Guards against tasks with different images starting on one empty machine: each would wait
/// for the sum of all fetches. While a machine fetches one image it takes tasks of that image
/// only, as long as other machines are free.
#[test]
fn an_empty_machine_takes_tasks_of_one_image() {
    let (a, mut b) = (JobSpec::example("run-1"), JobSpec::example("run-2"));
    b.image = "other".into();
    let mut capacities = [capacity("m1", 8.0, ""), capacity("m2", 8.0, "")];
    let starts = starts_of(&mut capacities, vec![waiting_job(&a, 2, 1.0, 1.0), waiting_job(&b, 2, 1.0, 2.0)]);
    assert!(starts.iter().all(|s| (s.uid == "run-1") == (s.machine == "m1")), "{starts:?}");
    // Without another machine, both images are fetched on the same one.
    let starts =
        starts_of(&mut [capacity("m1", 8.0, "")], vec![waiting_job(&a, 2, 1.0, 1.0), waiting_job(&b, 2, 1.0, 2.0)]);
    assert_eq!(starts.len(), 4);
}

/// Guards against tasks that run for less time than the fetch takes starting on machines without
/// their image: they would start later than those that wait for a machine that holds it.
#[test]
fn tasks_wait_for_a_machine_with_their_image_if_that_is_sooner() {
    let spec = JobSpec::example("run-1");
    let mut job = waiting_job(&spec, 6, 1.0, 1.0);
    job.waiting_for_image = 2;
    let starts = starts_of(&mut [capacity("m1", 1.0, "img"), capacity("m2", 8.0, "")], vec![job]);
    let on = |machine: &str| starts.iter().filter(|s| s.machine == machine).count();
    assert_eq!((on("m1"), on("m2")), (1, 3));
}

/// Where GPUs are scarcer than cores they limit what is placed, and a machine whose GPUs are all
/// in use has no free capacity.
#[test]
fn gpus_limit_placement_like_cores() {
    let (mut big, mut small) = (JobSpec::example("run-1"), JobSpec::example("run-2"));
    (big.gpus, small.gpus) = (2.0, 1.0);
    let mut machine = capacity("m1", 8.0, "img");
    (machine.gpus, machine.total_gpus) = (4.0, 4.0);
    let starts = starts_of(
        std::slice::from_mut(&mut machine),
        vec![waiting_job(&big, 4, 1.0, 1.0), waiting_job(&small, 3, 1.0, 2.0)],
    );
    assert_eq!(starts.iter().filter(|s| s.uid == "run-2").count(), 2);
    assert_eq!(starts.iter().filter(|s| s.uid == "run-1").count(), 1);
    assert_eq!(machine.free_cores(), 0.0);
}

/// A gang waits for its last fetch, and the tasks that are ready first may give up meanwhile. So
/// it is placed where all its tasks find the image, whatever the machines' names.
#[test]
fn a_gang_is_placed_where_its_image_is() {
    let mut gang = JobSpec::example("run-1");
    gang.kind = JobKind::Gang;
    gang.zone_affinity = true;
    gang.cores = 8.0;
    let at = |name: &str, zone: &str, image: &str| MachineCapacity { zone: zone.into(), ..capacity(name, 8.0, image) };
    let zones = [("m1", "a", "img"), ("m2", "a", ""), ("m3", "b", ""), ("m4", "b", "img"), ("m5", "b", "img")];
    let mut capacities = zones.map(|(name, zone, image)| at(name, zone, image));
    let starts = starts_of(&mut capacities, vec![waiting_job(&gang, 2, 1.0, 1.0)]);
    let on: Vec<&str> = starts.iter().map(|s| s.machine.as_str()).collect();
    assert_eq!(on, ["m4", "m5"]);
}

/// Guards against a service that waits for a machine with its image while that machine is full
/// of other services: it waits only for capacity that is free or used by arrays.
#[test]
fn no_task_waits_for_a_machine_whose_capacity_cannot_be_freed() {
    let mut service = JobSpec::example("run-1");
    (service.kind, service.image_gb) = (JobKind::Service, 10.0);
    let waiting = || WaitingJob { start_within_s: Some(4.0), ..waiting_job(&service, 1, 1.0, 1.0) };
    let full = capacity("m1", 0.0, "img");
    let starts = starts_of(&mut [full.clone(), capacity("m2", 8.0, "")], vec![waiting()]);
    assert_eq!(starts.len(), 1);
    let used_by_arrays =
        MachineCapacity { used_by_arrays: Resources { cores: 2.0, mem_gb: 2.0, ..Resources::default() }, ..full };
    assert!(starts_of(&mut [used_by_arrays, capacity("m2", 8.0, "")], vec![waiting()]).is_empty());
}

/// Guards against gangs of two that wait (90 s were seen) while gangs of one start at once: the
/// first machine that came free was taken by others before there was a second.
#[test]
fn a_waiting_gang_reserves_the_machines_it_found() {
    let mut gang = JobSpec::example("run-1");
    gang.kind = JobKind::Gang;
    gang.zone_affinity = true;
    gang.cores = 8.0;
    let array = JobSpec::example("run-2");
    let mut capacities: Vec<MachineCapacity> = ["m1", "m2", "m3", "m4"].map(|m| capacity(m, 2.0, "img")).into();
    capacities[2] = capacity("m3", 8.0, "img");
    let starts = starts_of(&mut capacities, vec![waiting_job(&gang, 2, 1.0, 1.0), waiting_job(&array, 9, 1.0, 1.0)]);
    assert_eq!(starts.iter().filter(|s| s.machine != "m3").count(), 6);
    assert_eq!(starts.iter().filter(|s| s.machine == "m3").count(), 0);
    // In a small shard, nothing is reserved: the share that may be is less than one machine.
    let starts = starts_of(
        &mut [capacity("m3", 8.0, "img")],
        vec![waiting_job(&gang, 2, 1.0, 1.0), waiting_job(&array, 9, 1.0, 1.0)],
    );
    assert_eq!(starts.len(), 8);
}

/// Guards against gangs that wait forever behind their own reservation: all of it was in one zone,
/// where a gang may have only half of its tasks, or in several zones, where it must be in one.
#[test]
fn machines_are_reserved_only_in_zones_that_the_gang_can_use() {
    let mut gang = JobSpec::example("run-1");
    (gang.kind, gang.cores, gang.task_count) = (JobKind::Gang, 8.0, 4);
    let array = JobSpec { cores: 6.0, ..JobSpec::example("run-2") };
    let in_zone =
        |name: &str, zone: &str, cores: f64| MachineCapacity { zone: zone.into(), ..capacity(name, cores, "img") };
    // The machines that the array leaves alone although it fits there.
    let reserved = |gang: &JobSpec, capacities: &[MachineCapacity]| -> Vec<String> {
        let overdue = WaitingJob { waited_s: 1e4, ..waiting_job(gang, 4, 1.0, 1.0) };
        let starts = starts_of(&mut capacities.to_vec(), vec![overdue, waiting_job(&array, 9, 1.0, 1.0)]);
        let names = capacities.iter().map(|c| c.machine.clone());
        names.filter(|name| starts.iter().all(|start| start.machine != *name)).collect()
    };
    // The emptiest machines are in zone a.
    let capacities: Vec<MachineCapacity> = (0..4)
        .map(|n| in_zone(&format!("a{n}"), "a", 7.0))
        .chain((0..3).map(|n| in_zone(&format!("b{n}"), "b", 6.0)))
        .collect();
    gang.zone_anti_affinity = true;
    assert_eq!(reserved(&gang, &capacities), ["a0", "a1", "b0", "b1"]);
    // Zone a has the emptiest machines, but only three.
    let capacities: Vec<MachineCapacity> = (0..3)
        .map(|n| in_zone(&format!("a{n}"), "a", 7.0))
        .chain((0..4).map(|n| in_zone(&format!("b{n}"), "b", 6.0)))
        .collect();
    (gang.zone_anti_affinity, gang.zone_affinity) = (false, true);
    assert_eq!(reserved(&gang, &capacities), ["b0", "b1", "b2", "b3"]);
}

/// Guards against on-demand machines that were rented for gangs going to arrays, which may run on
/// spot machines, in shards where no gang waits yet: more would be rented then.
#[test]
fn machines_are_kept_for_gangs_that_wait_elsewhere() {
    let (array, mut on_demand_only) = (JobSpec::example("run-1"), JobSpec::example("run-2"));
    on_demand_only.spot_allowed = false;
    let mut capacities = [capacity("m1", 8.0, "img"), capacity("m2", 8.0, "img"), capacity("m3", 7.0, "img")];
    capacities[1].spot = true;
    let settings = PlacementSettings { window: 500, step_gb: 0.25, wait_limit_s: 30.0, kept_for_gangs: 1 };
    let mut waiting = vec![waiting_job(&array, 30, 1.0, 1.0), waiting_job(&on_demand_only, 1, 1.0, 2.0)];
    let starts = plan_starts(&mut capacities, &mut waiting, &settings, &mut Knapsack::default());
    let on = |machine: &str| starts.iter().filter(|s| s.machine == machine && s.uid == "run-1").count();
    assert_eq!((on("m1"), on("m2"), on("m3")), (0, 8, 7));
    assert!(starts.iter().any(|s| s.uid == "run-2" && s.machine == "m1"));
}

/// A job whose image exceeds the disk of every machine was accepted by an earlier version. It was
/// placed where it could never fetch its image, and once it was overdue, it kept the emptiest
/// machine from taking other tasks.
#[test]
fn a_job_that_fits_no_machine_takes_and_reserves_none() {
    let (mut too_large, usual) = (JobSpec::example("run-1"), JobSpec::example("run-2"));
    for set in [
        |spec: &mut JobSpec| spec.image_gb = 1e30,
        |spec: &mut JobSpec| spec.mem_gb = 1e30,
        |spec: &mut JobSpec| spec.gpus = 1e30,
        |spec: &mut JobSpec| spec.cores = 1e30,
    ] {
        set(&mut too_large);
        let overdue = WaitingJob { waited_s: 100.0, ..waiting_job(&too_large, 1, 1.0, 1.0) };
        let started = starts_of(&mut [capacity("m1", 8.0, "img")], vec![overdue, waiting_job(&usual, 2, 1.0, 1.0)]);
        assert!(started.len() == 2 && started.iter().all(|start| start.uid == "run-2"), "{started:?}");
        too_large = JobSpec::example("run-1");
    }
}
