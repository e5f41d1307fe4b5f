//! The gap: the store refuses the leader alone, another controller confirms
//! cancellations, then the store is down for all for longer than `cancel_s`, while
//! agents report to the old leader. The cancelled tasks must be gone within `cancel_s` of
//! the confirmation; nothing else need stop.

use crate::world::helpers::running;
use crate::world::{CANCEL_S, CloseQueries, Job, LEASE_S, SMALL, Size, World, array, gang, s, service};

/// What meets, and how.
#[derive(Debug, Clone, Copy)]
struct Gap {
    size: Size,
    /// The leader is refused for so long, from 20 s on.
    refused_s: f64,
    /// The watch of all others stands still from then on, while writes are answered.
    mute: bool,
    /// Users cancel at that time, by this controller after the leader.
    asks_s: f64,
    by: usize,
    /// The outage's begin and length.
    down: (f64, f64),
}

const GAP: Gap = Gap { size: SMALL, refused_s: 10.0, mute: true, asks_s: 21.0, by: 1, down: (25.0, CANCEL_S * 1.5) };

/// Jobs that are cancelled: of one task and of many, an array, a gang and a service.
const LEAVE: [&str; 4] = ["run-109", "run-209", "run-309", "run-409"];

/// The world at the end, and how many tasks were ended by leases in the outage.
fn play(seed: u64, gap: Gap, also: impl FnOnce(&mut World, usize, usize)) -> (World, u32) {
    let mut w = World::sized(seed, gap.size);
    w.cloud.most = gap.size.machines as usize;
    let jobs = [array(1, 1e6), array(gap.size.machines, 1e6), gang(2), service(3)];
    for (uid, j) in LEAVE.iter().zip(jobs) {
        w.submit(uid, Job { run_s: 1e6, ..j });
    }
    w.submit("run-509", service(gap.size.machines));
    w.run_until(20.0);
    let leader = w.store.leader().expect("somebody leads");
    let by = (leader + gap.by) % gap.size.controllers;
    let runs = LEAVE.map(|uid| running(&w, uid));
    assert!(!runs.contains(&0), "seed {seed}: nothing to cancel: {runs:?}");
    w.nodes[leader].refused = true;
    w.store.mute.extend((0..gap.size.controllers).filter(|_| gap.mute));
    w.later(20.0 + gap.refused_s, move |w| w.nodes[leader].refused = false);
    w.later(gap.asks_s, move |w| {
        for uid in LEAVE {
            let j = w.jobs.get_mut(uid).unwrap();
            (j.cancel_asked, j.via) = (true, Some(by));
        }
    });
    let (from, length) = gap.down;
    w.later(from, |w| w.store.set_down(w.now, true));
    w.later(from + length, |w| {
        w.store.mute.clear();
        w.store.set_down(w.now, false);
        w.jobs.values_mut().for_each(|j| j.via = None);
    });
    also(&mut w, leader, by);
    w.run_until(from + length);
    let lapsed = w.workers.values().map(|x| x.lapsed).sum();
    w.run_until(from + length + 30.0);
    for uid in LEAVE {
        let j = &w.jobs[uid];
        assert!(j.cancelled_at.is_some() && running(&w, uid) == 0, "seed {seed}: {uid} is still there");
    }
    assert_eq!(running(&w, "run-509"), gap.size.machines as usize, "seed {seed}");
    (w, lapsed)
}

/// The canceller knew of the cancellation by the answer to its write; its watch stood still
/// from then on, and its word told the old leader that nothing had changed, for as long as
/// the outage took.
#[test]
fn cancelled_tasks_end_in_time_and_nothing_else_does() {
    for seed in 0..4 {
        let by = 1 + seed as usize % 2;
        let (w, lapsed) = play(4000 + seed, Gap { by, ..GAP }, |_, _, _| {});
        assert!(
            LEAVE.iter().all(|uid| w.jobs[*uid].cancelled_at.is_some_and(|t| t < s(25.0))),
            "seed {seed}: told too late"
        );
        assert_eq!(lapsed, 0, "seed {seed}: what was not cancelled ended with its lease");
    }
}

/// The same where the leader is refused from 1 s to three leases, the answer comes before
/// or with the outage's begin, and the outage takes from a second less than `cancel_s` to
/// three times that.
#[test]
fn however_long_each_fault_lasts() {
    let mut n = 0;
    for refused_s in [1.0, LEASE_S, LEASE_S * 3.0] {
        for down_s in [CANCEL_S - 1.0, CANCEL_S + 1.0, CANCEL_S * 3.0] {
            for from in [22.0, 23.0, 25.0] {
                n += 1;
                let gap = Gap { refused_s, down: (from, down_s), by: 1 + n % 2, mute: n % 3 > 0, ..GAP };
                play(4100 + n as u64, gap, |_, _, _| {});
            }
        }
    }
}

/// Seven controllers, two zones, hundreds of tasks, a store whose limits bind.
#[test]
fn at_size() {
    for seed in 0..2 {
        let size = Size { controllers: 7, machines: 100, write_rps: 40.0, txn_ops: 16, zones: &["a", "b"], ..SMALL };
        let gap = Gap { size, by: 1 + 3 * seed as usize, down: (25.0, CANCEL_S * 1.5), ..GAP };
        let (_, lapsed) = play(4200 + seed, gap, |_, _, _| {});
        assert_eq!(lapsed, 0, "seed {seed}");
    }
}

/// The canceller ends after its answer, is back within 50 ms or not, or says nothing any
/// more; heartbeats are lost, or late; machines are deaf, or move in the middle.
#[test]
fn with_a_third_fault() {
    for seed in 0..24u64 {
        let gap = Gap { by: 1 + seed as usize % 2, down: (22.0 + 0.7 * (seed % 5) as f64, CANCEL_S * 1.6), ..GAP };
        play(4300 + seed, gap, |w, leader, by| {
            let at = 21.5 + 0.8 * (seed / 6) as f64;
            match seed % 6 {
                0 => {
                    w.faults.restart_s = 0.03;
                    w.later(at, move |w| w.crash(by));
                }
                1 => {
                    w.faults.restart_s = 70.0;
                    w.later(at, move |w| w.crash(by));
                }
                2 => w.later(at, move |w| {
                    // As a process that stands still is seen from outside.
                    let others: Vec<usize> = (0..w.nodes.len()).filter(|o| *o != by).collect();
                    w.faults.peers_cut.extend(others.into_iter().map(|o| (by, o)));
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

/// The store answers slowly before it refuses the leader alone and then everybody, and
/// users ask all controllers for their jobs all the while: nobody is told less than before, and
/// the cancelled tasks end in time.
#[test]
fn a_slow_store_and_users_who_ask() {
    for seed in 0..4 {
        let gap = Gap { by: 1 + seed as usize % 2, mute: seed % 2 == 0, down: (26.0, CANCEL_S * 1.5), ..GAP };
        let (w, _) = play(4500 + seed, gap, |w, _, _| {
            w.faults.transaction_delay_s = 0.3 + 0.3 * seed as f64;
            w.faults.close_queries = Some(CloseQueries { cancel: 0.0 });
            for n in 0..60 {
                w.later(20.5 + f64::from(n), move |w| LEAVE.iter().for_each(|uid| w.query_closely(uid)));
            }
        });
        assert!(w.counters.close_queries > 200, "seed {seed}: {} answers", w.counters.close_queries);
    }
}

/// One controller started a task, another, whose watch had not come to that, withdrew the
/// job and ended its record, as if nothing of it were left: the task no longer counted for
/// its team, and nobody was told of the cancellation any more.
#[test]
fn a_job_is_not_over_while_its_starts_are_on_their_way() {
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
