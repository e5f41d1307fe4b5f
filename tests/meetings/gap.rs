//! An outage of the store right after cancellations: the store refuses the leader alone, another
//! controller confirms cancellations, then the store is down for all controllers for longer than
//! `cancel_s`, while agents report to the old leader. The cancelled tasks must be gone within
//! `cancel_s` of the confirmation; no other task need stop.

use crate::world::helpers::running;
use crate::world::{CANCEL_S, CloseQueries, Job, LEASE_S, SMALL, Size, World, array, gang, s, service};

/// The faults of one scenario and their times.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    size: Size,
    /// How long the store refuses the leader, from 20 s on.
    refused_s: f64,
    /// Whether the watches of all controllers are stalled from then on, while writes are answered.
    watches_stalled: bool,
    /// When users cancel.
    cancel_at_s: f64,
    /// The controller that they ask, as an offset from the leader.
    canceller: usize,
    /// Start and length of the outage.
    outage: (f64, f64),
}

/// The scenario that the tests vary.
const BASE_SCENARIO: Scenario = Scenario {
    size: SMALL,
    refused_s: 10.0,
    watches_stalled: true,
    cancel_at_s: 21.0,
    canceller: 1,
    outage: (25.0, CANCEL_S * 1.5),
};

/// Jobs that are cancelled: an array of one task, an array of many, a gang and a service.
const CANCELLED_JOBS: [&str; 4] = ["run-109", "run-209", "run-309", "run-409"];

/// Runs the scenario, together with the faults that `more_faults` adds for the leader and the
/// canceller. Returns the world at the end and how many tasks had ended with their leases by the
/// end of the outage.
fn run_scenario(seed: u64, scenario: Scenario, more_faults: impl FnOnce(&mut World, usize, usize)) -> (World, u32) {
    let mut w = World::sized(seed, scenario.size);
    w.cloud.most = scenario.size.machines as usize;
    let jobs = [array(1, 1e6), array(scenario.size.machines, 1e6), gang(2), service(3)];
    for (uid, j) in CANCELLED_JOBS.iter().zip(jobs) {
        w.submit(uid, Job { run_s: 1e6, ..j });
    }
    w.submit("run-509", service(scenario.size.machines));
    w.run_until(20.0);
    let leader = w.store.leader().expect("no leader");
    let canceller = (leader + scenario.canceller) % scenario.size.controllers;
    let running_tasks = CANCELLED_JOBS.map(|uid| running(&w, uid));
    assert!(!running_tasks.contains(&0), "seed {seed}: nothing to cancel: {running_tasks:?}");
    w.nodes[leader].refused = true;
    w.store.mute.extend((0..scenario.size.controllers).filter(|_| scenario.watches_stalled));
    w.later(20.0 + scenario.refused_s, move |w| w.nodes[leader].refused = false);
    w.later(scenario.cancel_at_s, move |w| {
        for uid in CANCELLED_JOBS {
            let j = w.jobs.get_mut(uid).unwrap();
            (j.cancel_asked, j.via) = (true, Some(canceller));
        }
    });
    let (from_s, length_s) = scenario.outage;
    w.later(from_s, |w| w.store.set_down(w.now, true));
    w.later(from_s + length_s, |w| {
        w.store.mute.clear();
        w.store.set_down(w.now, false);
        w.jobs.values_mut().for_each(|j| j.via = None);
    });
    more_faults(&mut w, leader, canceller);
    w.run_until(from_s + length_s);
    let lapsed = w.workers.values().map(|x| x.lapsed).sum();
    w.run_until(from_s + length_s + 30.0);
    for uid in CANCELLED_JOBS {
        let j = &w.jobs[uid];
        assert!(j.cancelled_at.is_some() && running(&w, uid) == 0, "seed {seed}: {uid} is still there");
    }
    assert_eq!(running(&w, "run-509"), scenario.size.machines as usize, "seed {seed}");
    (w, lapsed)
}

/// Guards against cancelled tasks that run on during an outage. The canceller knew of the
/// cancellation from the answer to its write. Its watch was stalled from then on, and its
/// attestation told the old leader that nothing had changed, for as long as the outage took.
#[test]
fn only_cancelled_tasks_end_and_in_time() {
    for seed in 0..4 {
        let canceller = 1 + seed as usize % 2;
        let (w, lapsed) = run_scenario(4000 + seed, Scenario { canceller, ..BASE_SCENARIO }, |_, _, _| {});
        assert!(
            CANCELLED_JOBS.iter().all(|uid| w.jobs[*uid].cancelled_at.is_some_and(|t| t < s(25.0))),
            "seed {seed}: cancellations confirmed too late"
        );
        assert_eq!(lapsed, 0, "seed {seed}: tasks that were not cancelled ended with their leases");
    }
}

/// Cancelled tasks end whether the leader is refused for 1 s, one lease or three, whether the
/// answer to the cancellation comes before or with the start of the outage, and whether the
/// outage takes a second less than `cancel_s`, a second more, or three times that.
#[test]
fn cancelled_tasks_end_however_long_each_fault_lasts() {
    let mut n = 0;
    for refused_s in [1.0, LEASE_S, LEASE_S * 3.0] {
        for down_s in [CANCEL_S - 1.0, CANCEL_S + 1.0, CANCEL_S * 3.0] {
            for from in [22.0, 23.0, 25.0] {
                n += 1;
                let scenario = Scenario {
                    refused_s,
                    outage: (from, down_s),
                    canceller: 1 + n % 2,
                    watches_stalled: n % 3 > 0,
                    ..BASE_SCENARIO
                };
                run_scenario(4100 + n as u64, scenario, |_, _, _| {});
            }
        }
    }
}

/// The same holds with seven controllers, two zones, hundreds of tasks and a store at its limits.
#[test]
fn cancelled_tasks_end_on_a_large_fleet() {
    for seed in 0..2 {
        let size = Size { controllers: 7, machines: 100, write_rps: 40.0, txn_ops: 16, zones: &["a", "b"], ..SMALL };
        let scenario =
            Scenario { size, canceller: 1 + 3 * seed as usize, outage: (25.0, CANCEL_S * 1.5), ..BASE_SCENARIO };
        let (_, lapsed) = run_scenario(4200 + seed, scenario, |_, _, _| {});
        assert_eq!(lapsed, 0, "seed {seed}");
    }
}

/// A third fault is added: the canceller crashes after its answer and is back within 50 ms or
/// stays away, or its heartbeats to the other controllers are lost; heartbeats of agents are
/// late; machines receive nothing, or the leader restarts half-way.
#[test]
fn cancelled_tasks_end_with_a_third_fault() {
    for seed in 0..24u64 {
        let scenario = Scenario {
            canceller: 1 + seed as usize % 2,
            outage: (22.0 + 0.7 * (seed % 5) as f64, CANCEL_S * 1.6),
            ..BASE_SCENARIO
        };
        run_scenario(4300 + seed, scenario, |w, leader, canceller| {
            let at = 21.5 + 0.8 * (seed / 6) as f64;
            match seed % 6 {
                0 => {
                    w.faults.restart_s = 0.03;
                    w.later(at, move |w| w.crash(canceller));
                }
                1 => {
                    w.faults.restart_s = 70.0;
                    w.later(at, move |w| w.crash(canceller));
                }
                2 => w.later(at, move |w| {
                    // What the others observe of a paused process.
                    let others: Vec<usize> = (0..w.nodes.len()).filter(|o| *o != canceller).collect();
                    w.faults.peers_cut.extend(others.into_iter().map(|o| (canceller, o)));
                    w.later(at + 60.0, |w| w.faults.peers_cut.clear());
                }),
                3 => w.faults.late_heartbeats = Some((0.5, (0.5, 25.0))),
                4 => w.later(at, |w| {
                    for x in w.workers.values_mut().take(2) {
                        x.deaf = true;
                    }
                    w.later(70.0, |w| w.workers.values_mut().for_each(|x| x.deaf = false));
                }),
                _ => {
                    w.faults.restart_s = 0.03;
                    w.later(at + 10.0, move |w| w.crash(leader));
                }
            }
        });
    }
}

/// The store answers slowly before it refuses the leader alone and then all controllers, and
/// users query all controllers for their jobs meanwhile: no answer is older than an earlier one,
/// and the cancelled tasks end in time.
#[test]
fn answers_do_not_go_back_while_the_store_is_slow() {
    for seed in 0..4 {
        let scenario = Scenario {
            canceller: 1 + seed as usize % 2,
            watches_stalled: seed % 2 == 0,
            outage: (26.0, CANCEL_S * 1.5),
            ..BASE_SCENARIO
        };
        let (w, _) = run_scenario(4500 + seed, scenario, |w, _, _| {
            w.faults.transaction_delay_s = 0.3 + 0.3 * seed as f64;
            w.faults.close_queries = Some(CloseQueries { cancel: 0.0 });
            for n in 0..60 {
                w.later(20.5 + f64::from(n), move |w| CANCELLED_JOBS.iter().for_each(|uid| w.query_closely(uid)));
            }
        });
        assert!(w.counters.close_queries > 200, "seed {seed}: {} answers", w.counters.close_queries);
    }
}

/// Guards against a job that is closed while its starts are in flight. One controller started a
/// task; another one, whose watch had not reached the start, cancelled the job and closed its
/// record as if no task were left. The task no longer counted for its team, and no machine was
/// told of the cancellation any more.
#[test]
fn a_job_is_not_closed_while_its_starts_are_in_flight() {
    let (mut started, mut closed) = (0, 0);
    for seed in 0..12 {
        let mut w = World::sized(4400 + seed, SMALL);
        w.cloud.most = 4;
        w.run_until(10.0);
        let by = seed as usize % 3;
        w.store.mute.insert(by);
        for n in 0..4 {
            w.submit(&format!("run-{n}09"), Job { via: Some(by), ..array(6, 1e6) });
        }
        w.run_until(13.0);
        started += (0..4).map(|n| running(&w, &format!("run-{n}09"))).sum::<usize>();
        let others: Vec<usize> = (0..3).filter(|i| *i != by).collect();
        others.iter().for_each(|i| w.nodes[*i].refused = true);
        w.jobs.values_mut().for_each(|j| j.cancel_asked = true);
        w.later(17.0, |w| w.store.set_down(w.now, true));
        w.run_until(17.0);
        closed += w.jobs.values().filter(|j| j.cancelled_at.is_some()).count();
        w.later(17.0 + CANCEL_S * 1.5, |w| {
            w.store.mute.clear();
            w.store.set_down(w.now, false);
            w.nodes.iter_mut().for_each(|n| n.refused = false);
        });
        w.run_until(17.0 + CANCEL_S * 1.5 + 30.0);
    }
    assert!(started >= 60 && closed >= 20, "{started} tasks ran, {closed} jobs were cancelled");
}
