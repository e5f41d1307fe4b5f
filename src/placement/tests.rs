//! Which tasks are placed where, and which are preempted.

use super::*;
use crate::protocol::user::{JobKind, JobSpec, Priority};
use crate::state::{Images, Resources};
use std::collections::BTreeMap;

pub(crate) fn capacity(name: &str, cores: f64, image: &str) -> MachineCapacity {
    MachineCapacity {
        machine: name.into(),
        machine_type: "std".into(),
        zone: "a".into(),
        spot: false,
        cores,
        gpus: 0.0,
        mem_gb: 32.0,
        total_cores: 8.0,
        total_gpus: 0.0,
        total_mem_gb: 32.0,
        pull_gb_per_s: 0.25,
        images: [Images::default(), Images::new([image.to_string()].into())],
        arrays: Resources::default(),
        fetching_gb: 0.0,
    }
}

fn waits(spec: &JobSpec, tasks: u32, slack_s: f64, work: f64) -> Waiting<'_> {
    Waiting {
        spec,
        tasks: (0..tasks).collect(),
        waited_s: 1.0,
        zones: BTreeMap::new(),
        slack_s,
        work,
        start_within_s: None,
        hopeless: false,
        aim_s: None,
        stay: 0,
    }
}

fn run(capacities: &mut [MachineCapacity], mut waiting: Vec<Waiting>) -> Vec<Start> {
    let rules = Rules { window: 500, step_gb: 0.25, wait_limit_s: 30.0, keep: 0 };
    plan(capacities, &mut waiting, &rules, &mut Knapsack::default())
}

/// An ensemble that starts in part holds machines and makes no progress.
#[test]
fn a_gang_starts_as_a_whole_or_not_at_all() {
    let mut gang = JobSpec::example("run-1");
    gang.kind = JobKind::Gang;
    gang.task_count = 5;
    assert!(run(&mut [capacity("m1", 3.0, ""), capacity("m2", 1.0, "")], vec![waits(&gang, 5, 1.0, 1.0)]).is_empty());
    assert_eq!(run(&mut [capacity("m1", 3.0, ""), capacity("m2", 2.0, "")], vec![waits(&gang, 5, 1.0, 1.0)]).len(), 5);
    gang.zone_affinity = true;
    let mut far = capacity("m2", 4.0, "");
    far.zone = "b".into();
    assert!(run(&mut [capacity("m1", 3.0, ""), far], vec![waits(&gang, 5, 1.0, 1.0)]).is_empty());
}

/// A backlog of late jobs, all older, filled the window of the oldest
/// tasks, and jobs that could still be saved were never looked at.
#[test]
fn a_late_backlog_does_not_hide_jobs_that_can_meet_their_deadline() {
    let (late, new) = (JobSpec::example("run-1"), JobSpec::example("run-2"));
    let mut old = waits(&late, 600, -5.0, 9.0);
    old.waited_s = 20.0;
    let starts = run(&mut [capacity("m1", 4.0, "")], vec![old, waits(&new, 3, 5.0, 9.0)]);
    assert_eq!(starts.iter().filter(|s| s.uid == "run-2").count(), 3);
}

/// In an overload all tasks weigh the same and ties decide: serving late
/// jobs first made every job late.
#[test]
fn jobs_that_can_meet_their_deadline_go_before_late_ones() {
    let (late, big, small) = (JobSpec::example("run-1"), JobSpec::example("run-2"), JobSpec::example("run-3"));
    let waiting = vec![waits(&late, 2, -1.0, 1.0), waits(&big, 2, 5.0, 9.0), waits(&small, 2, 5.0, 2.0)];
    let starts = run(&mut [capacity("m1", 3.0, "")], waiting);
    let count = |uid: &str| starts.iter().filter(|s| s.uid == uid).count();
    assert_eq!((count("run-3"), count("run-2"), count("run-1")), (2, 1, 0));
}

/// Spot machines, machine types, zones and memory: no task starts where its job rules it out.
#[test]
fn constraints_of_a_job_are_respected() {
    let mut s = JobSpec::example("run-1");
    s.spot_allowed = false;
    let mut spot = capacity("m1", 8.0, "");
    spot.spot = true;
    assert!(run(&mut [spot], vec![waits(&s, 2, 1.0, 1.0)]).is_empty());
    s.machine_types = Some(vec!["other".into()]);
    assert!(run(&mut [capacity("m1", 8.0, "")], vec![waits(&s, 2, 1.0, 1.0)]).is_empty());
    s.machine_types = None;
    s.zone_anti_affinity = true;
    s.task_count = 2;
    assert_eq!(run(&mut [capacity("m1", 8.0, "")], vec![waits(&s, 2, 1.0, 1.0)]).len(), 1);
    s.zone_anti_affinity = false;
    s.mem_gb = 20.0;
    assert_eq!(run(&mut [capacity("m1", 8.0, "")], vec![waits(&s, 2, 1.0, 1.0)]).len(), 1);
}

/// The service's image is on a full machine: the task there that lost
/// least makes room, and no task of the same urgency ever does.
#[test]
fn preemption_takes_the_cheapest_victim_where_the_image_is() {
    let mut service = JobSpec::example("run-1");
    service.priority = Priority::High;
    let array = JobSpec::example("run-2");
    let victim = |index, spec, cost| Victim { uid: "run-2".into(), index, attempt: 1, spec, cost, keeps: false };
    let capacities = vec![
        (capacity("m1", 0.0, "other"), vec![victim(0, &array, 0.0)]),
        (capacity("m2", 0.0, "img"), vec![victim(1, &array, 9.0), victim(2, &array, 3.0)]),
    ];
    let mut zones = BTreeMap::new();
    let (at, chosen) = preempt(&service, 1.0, &zones, &capacities).expect("room can be made");
    assert_eq!((at, chosen.len(), chosen[0].index), (1, 1, 2));
    // Where the job may have no more tasks room is made in vain, and was
    // made again ten times a second.
    service.zone_anti_affinity = true;
    zones.insert("a".into(), 1);
    assert!(preempt(&service, 1.0, &zones, &capacities).is_none());
    service.zone_anti_affinity = false;
    service.priority = Priority::Normal;
    assert!(preempt(&service, 1.0, &zones, &capacities).is_none());
    // An array takes the room of less urgent work, but not of what would miss its
    // own aim for it; a service does.
    let idle = JobSpec { priority: Priority::Low, ..array.clone() };
    let keeps = |keeps| vec![(capacity("m1", 0.0, "img"), vec![Victim { keeps, ..victim(0, &idle, 1.0) }])];
    assert!(preempt(&array, f64::INFINITY, &zones, &keeps(false)).is_some());
    assert!(preempt(&array, f64::INFINITY, &zones, &keeps(true)).is_none());
    // Tasks that cannot save lost more work than the arrays that took their room did.
    let dear = array.cores * array.estimated_run_s * 0.6;
    let costs = vec![(capacity("m1", 0.0, "img"), vec![victim(0, &idle, dear)])];
    assert!(preempt(&array, f64::INFINITY, &zones, &costs).is_none());
    let service = JobSpec { kind: JobKind::Service, ..array.clone() };
    assert!(preempt(&service, f64::INFINITY, &zones, &costs).is_some());
    assert!(preempt(&service, f64::INFINITY, &zones, &keeps(true)).is_some());
}

/// Four tasks with four images on one empty machine all waited for the sum
/// of the fetches: while it fetches one image it takes tasks of that only,
/// where other machines are free.
#[test]
fn an_empty_machine_takes_tasks_of_one_image() {
    let (a, mut b) = (JobSpec::example("run-1"), JobSpec::example("run-2"));
    b.image = "other".into();
    let mut capacities = [capacity("m1", 8.0, ""), capacity("m2", 8.0, "")];
    let starts = run(&mut capacities, vec![waits(&a, 2, 1.0, 1.0), waits(&b, 2, 1.0, 2.0)]);
    assert!(starts.iter().all(|s| (s.uid == "run-1") == (s.machine == "m1")), "{starts:?}");
    // Where there is no other, the second image comes after the first.
    let starts = run(&mut [capacity("m1", 8.0, "")], vec![waits(&a, 2, 1.0, 1.0), waits(&b, 2, 1.0, 2.0)]);
    assert_eq!(starts.len(), 4);
}

/// Tasks shorter than the fetch were sent to machines without the image,
/// and started later than those that stayed where it was.
#[test]
fn tasks_wait_for_a_machine_with_their_image_if_that_is_sooner() {
    let s = JobSpec::example("run-1");
    let mut w = waits(&s, 6, 1.0, 1.0);
    w.stay = 2;
    let starts = run(&mut [capacity("m1", 1.0, "img"), capacity("m2", 8.0, "")], vec![w]);
    let on = |m: &str| starts.iter().filter(|s| s.machine == m).count();
    assert_eq!((on("m1"), on("m2")), (1, 3));
}

/// GPUs bind where cores are left: a set that cannot stand is no answer,
/// and a machine with its GPUs taken is full.
#[test]
fn gpus_limit_placement_like_cores() {
    let (mut big, mut small) = (JobSpec::example("run-1"), JobSpec::example("run-2"));
    (big.gpus, small.gpus) = (2.0, 1.0);
    let mut r = capacity("m1", 8.0, "img");
    (r.gpus, r.total_gpus) = (4.0, 4.0);
    let starts = run(std::slice::from_mut(&mut r), vec![waits(&big, 4, 1.0, 1.0), waits(&small, 3, 1.0, 2.0)]);
    assert_eq!(starts.iter().filter(|s| s.uid == "run-2").count(), 2);
    assert_eq!(starts.iter().filter(|s| s.uid == "run-1").count(), 1);
    assert_eq!(r.free_cores(), 0.0);
}

/// A gang waits for its last fetch, and its first tasks give up meanwhile:
/// it goes where all of it finds the image, whatever the machines' names.
#[test]
fn a_gang_is_placed_where_its_image_is() {
    let mut gang = JobSpec::example("run-1");
    gang.kind = JobKind::Gang;
    gang.zone_affinity = true;
    gang.cores = 8.0;
    let at = |name: &str, zone: &str, image: &str| MachineCapacity { zone: zone.into(), ..capacity(name, 8.0, image) };
    let zones = [("m1", "a", "img"), ("m2", "a", ""), ("m3", "b", ""), ("m4", "b", "img"), ("m5", "b", "img")];
    let mut capacities = zones.map(|(name, zone, image)| at(name, zone, image));
    let starts = run(&mut capacities, vec![waits(&gang, 2, 1.0, 1.0)]);
    let on: Vec<&str> = starts.iter().map(|s| s.machine.as_str()).collect();
    assert_eq!(on, ["m4", "m5"]);
}

/// A replica waited for a machine with its image that was full of other
/// services: only room that is there, or that arrays can make, is waited for.
#[test]
fn no_task_waits_for_a_machine_that_cannot_get_capacity() {
    let mut service = JobSpec::example("run-1");
    (service.kind, service.image_gb) = (JobKind::Service, 10.0);
    let wait = || Waiting { start_within_s: Some(4.0), ..waits(&service, 1, 1.0, 1.0) };
    let full = capacity("m1", 0.0, "img");
    let starts = run(&mut [full.clone(), capacity("m2", 8.0, "")], vec![wait()]);
    assert_eq!(starts.len(), 1);
    let yields = MachineCapacity { arrays: Resources { cores: 2.0, gpus: 0.0, mem_gb: 2.0 }, ..full };
    assert!(run(&mut [yields, capacity("m2", 8.0, "")], vec![wait()]).is_empty());
}

/// Gangs of two waited 90 s while gangs of one started at once: the first
/// machine that came free was taken before there was a second.
#[test]
fn a_waiting_gang_reserves_the_machines_it_found() {
    let mut gang = JobSpec::example("run-1");
    gang.kind = JobKind::Gang;
    gang.zone_affinity = true;
    gang.cores = 8.0;
    let array = JobSpec::example("run-2");
    let mut capacities: Vec<MachineCapacity> = ["m1", "m2", "m3", "m4"].map(|m| capacity(m, 2.0, "img")).into();
    capacities[2] = capacity("m3", 8.0, "img");
    let starts = run(&mut capacities, vec![waits(&gang, 2, 1.0, 1.0), waits(&array, 9, 1.0, 1.0)]);
    assert_eq!(starts.iter().filter(|s| s.machine != "m3").count(), 6);
    assert_eq!(starts.iter().filter(|s| s.machine == "m3").count(), 0);
    // A small block is not idled by its gangs.
    let starts = run(&mut [capacity("m3", 8.0, "img")], vec![waits(&gang, 2, 1.0, 1.0), waits(&array, 9, 1.0, 1.0)]);
    assert_eq!(starts.len(), 8);
}

/// Ordinary machines that came up for gangs were taken by arrays, which may
/// use spot ones, in blocks where no gang waited yet; more were rented.
#[test]
fn machines_are_kept_for_gangs_that_wait_elsewhere() {
    let (array, mut ordinary) = (JobSpec::example("run-1"), JobSpec::example("run-2"));
    ordinary.spot_allowed = false;
    let mut capacities = [capacity("m1", 8.0, "img"), capacity("m2", 8.0, "img"), capacity("m3", 7.0, "img")];
    capacities[1].spot = true;
    let rules = Rules { window: 500, step_gb: 0.25, wait_limit_s: 30.0, keep: 1 };
    let mut waiting = vec![waits(&array, 30, 1.0, 1.0), waits(&ordinary, 1, 1.0, 2.0)];
    let starts = plan(&mut capacities, &mut waiting, &rules, &mut Knapsack::default());
    let on = |m: &str| starts.iter().filter(|s| s.machine == m && s.uid == "run-1").count();
    assert_eq!((on("m1"), on("m2"), on("m3")), (0, 8, 7));
    assert!(starts.iter().any(|s| s.uid == "run-2" && s.machine == "m1"));
}
