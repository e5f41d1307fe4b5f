//! Reports that meet a new leader: copies kept for it, from earlier sessions, attempts and
//! lives of a machine, and the agent's own calls that were held back until it had acted.

use super::{all_over, cancel, fleet};
use crate::known::all_are_known;
use crate::reconciliation::seeds;
use crate::world::helpers::running;
use crate::world::worker::Worker;
use crate::world::{CANCEL_S, Job, LEASE_S, REPORT_S, World, array, gang, service};
use rand::RngExt;

/// A machine ended, unheard, and was back; its first words reached a controller that knew
/// of neither life, just before that could call its lease over. A copy of the first words
/// of the life before shows the token (none) that the present life came with: it voided the
/// answer by which the present life had started its tasks, and they started elsewhere too.
#[test]
fn first_heartbeats_of_an_earlier_agent_epoch_void_no_answer() {
    let mut met = 0;
    for step in 0..16 {
        let mut w = fleet(9800, 1, 6);
        w.cloud.most = 6;
        let name = w.workers.keys().next().unwrap().clone();
        // Said before anybody had answered.
        let first: Vec<Vec<u8>> = (0..8).map(|_| w.workers.get_mut(&name).unwrap().report(w.now)).collect();
        w.submit("run-009", service(24));
        w.run_until(20.0);
        assert!(!w.workers[&name].tasks.is_empty());
        w.cut_worker(&name, true);
        // It can't be returned meanwhile.
        w.cloud.down = true;
        w.faults.restart_s = 0.05;
        w.crash(0);
        let back = 20.0 + CANCEL_S + 0.5 + 0.1 * f64::from(step);
        w.later(back, {
            let name = name.clone();
            move |w| {
                w.cut_worker(&name, false);
                let now = w.now;
                w.workers.get_mut(&name).unwrap().restart_agent(now);
            }
        });
        for (n, copy) in first.into_iter().enumerate() {
            w.later(back + 0.05 * (n + 1) as f64, move |w| w.send_duplicate(0, copy));
        }
        w.run_until(back + 0.6);
        met += usize::from(!w.workers[&name].tasks.is_empty());
        w.run_until(back + 60.0);
        assert_eq!(running(&w, "run-009"), 24, "step {step}");
    }
    assert!(met > 3, "the present life had started its tasks in {met} of 16");
}

/// Rounds in which whoever leads ends, so many seconds apart.
const ROUNDS: u32 = 7;
const ROUND_S: f64 = 12.0;

fn ends_at(round: u32) -> f64 {
    14.0 + ROUND_S * f64::from(round)
}

/// Work of all kinds, whose attempts are ordered again (machines on which all fails for a
/// while, gangs that give up waiting), and some of which is cancelled. Beside it a team at
/// its limit: the job that fills it is cancelled in each round, a second before the leader
/// ends and with its machines out of reach, and the next one waits for it.
fn work(w: &mut World, jobs: usize) {
    w.submit("run-999", service(16));
    for n in 0..jobs {
        let at = w.rng.random_range(0.0..ends_at(ROUNDS - 1));
        let tasks = w.rng.random_range(1..9);
        let (uid, job) = match n % 3 {
            0 => (format!("run-{n:02}9"), service(2)),
            1 => (format!("run-{n:02}{}", n % 5), gang(2)),
            _ => (format!("run-{n:02}{}", n % 5), array(tasks, 4.0)),
        };
        let (a, b) = (uid.clone(), uid);
        w.later(at, move |w| w.submit(&a, job));
        if n % 3 == 0 || n % 5 == 0 {
            let leave = w.rng.random_range(at..ends_at(ROUNDS));
            w.later(leave, move |w| cancel(w, &b, None));
        }
    }
    for n in 0..ROUNDS {
        let job = Job { team: "capped".into(), ..array(4, 1e6) };
        w.later(if n == 0 { 4.0 } else { ends_at(n - 1) - 2.0 }, move |w| w.submit(&format!("run-6{n}9"), job));
        let at = ends_at(n);
        w.later(at - 1.5, move |w| {
            let on = |x: &Worker| x.tasks.values().any(|t| t.job == format!("run-6{n}9"));
            let names: Vec<String> = w.workers.values().filter(|x| on(x)).map(|x| x.name.clone()).collect();
            for name in names {
                w.cut_worker(&name, true);
                w.later(at + 4.0, move |w| w.cut_worker(&name, false));
            }
        });
        w.later(at - 1.0, move |w| cancel(w, &format!("run-6{n}9"), None));
    }
}

/// What happens to some machine a few seconds before a leader ends, so that what it said
/// before comes to the next one.
fn trouble(w: &mut World, kind: u32, at: f64) {
    let which = w.rng.random_range(0..14);
    let name = move |w: &World| w.workers.keys().nth(which).cloned();
    w.later(at, move |w| {
        let (now, Some(name)) = (w.now, name(w)) else { return };
        let x = w.workers.get_mut(&name).unwrap();
        match kind % 4 {
            // It ends and is back: another life.
            0 => x.restart_agent(now),
            // Its lease lapses: another session.
            1 => {
                w.cut_worker(&name, true);
                w.later(at + LEASE_S + 4.0, move |w| w.cut_worker(&name, false));
            }
            // Its tasks fail, and are tried again: other attempts.
            2 => {
                x.sick = true;
                w.later(at + 6.0, move |w| w.workers.get_mut(&name).into_iter().for_each(|x| x.sick = false));
            }
            // It hears nothing for a while; then it ends.
            _ => {
                x.deaf = true;
                w.later(at + 7.0, move |w| {
                    let now = w.now;
                    let Some(x) = w.workers.get_mut(&name) else { return };
                    x.deaf = false;
                    x.restart_agent(now);
                });
            }
        }
    });
}

/// Half of all reports come to every controller once more as another leader begins, and
/// some of them again to those after it, while machines end and are back, lose their
/// leases, fail and hear nothing, so that they are of other lives, sessions and attempts.
#[test]
fn old_heartbeats_reach_every_controller_as_a_term_begins() {
    for seed in 0..seeds(2) {
        let mut w = fleet(9810 + seed, [3, 7][seed as usize % 2], 16);
        w.faults.duplicates_for_next_leader = Some(0.5);
        w.faults.restart_range_s = Some(if seed % 4 < 2 { (0.01, 0.9) } else { (2.0, 9.0) });
        work(&mut w, 20);
        for n in 0..ROUNDS {
            let at = ends_at(n);
            for i in 0..2 {
                let before = w.rng.random_range(0.0..5.0);
                trouble(&mut w, n + i, at - before);
            }
            w.later(at, move |w| {
                w.crash_leader();
                if n % 3 < 2 {
                    (0..w.nodes.len()).for_each(|i| w.crash(i));
                }
            });
        }
        w.later(ends_at(ROUNDS), |w| w.faults.duplicates_for_next_leader = None);
        w.calm_from(ends_at(ROUNDS) + 25.0);
        w.run_until(200.0);
        all_over(&w);
        assert_eq!(running(&w, "run-999"), 16, "seed {seed}");
        all_are_known(&mut w);
        assert!(
            w.counters.duplicates_for_next_leader > 100,
            "seed {seed}: {} came",
            w.counters.duplicates_for_next_leader
        );
    }
}

/// One report of each machine, its own call, is held back until another leader has begun
/// and has acted for up to seconds; then it comes, to a machine that still waits for its
/// answer or has gone on to the next controller long ago.
#[test]
fn heartbeats_delayed_past_a_failover_are_as_old_as_they_are() {
    let mut came = (0, 0);
    for seed in 0..seeds(2) {
        let mut w = fleet(9820 + seed, [3, 7][seed as usize % 2], 16);
        w.faults.restart_range_s = Some(if seed % 4 < 2 { (0.01, 0.9) } else { (2.0, 9.0) });
        work(&mut w, 20);
        for n in 0..ROUNDS {
            let at = ends_at(n);
            // The last before the end of the leader, or one from before the team's tasks.
            let (held, within) = if n % 3 == 0 { (at - REPORT_S, 0.5) } else { (at + 4.0 - ROUND_S, 3.0) };
            w.later(held, move |w| {
                w.faults.heartbeats_held_for_next_leader = w.workers.keys().map(|x| (x.clone(), within)).collect()
            });
            let before = w.rng.random_range(0.0..5.0);
            trouble(&mut w, n, at - before);
            w.later(at, move |w| {
                w.faults.heartbeats_held_for_next_leader.clear();
                w.crash_leader();
                if n % 3 > 0 {
                    (0..w.nodes.len()).for_each(|i| w.crash(i));
                }
            });
        }
        w.calm_from(ends_at(ROUNDS) + 25.0);
        w.run_until(200.0);
        all_over(&w);
        assert_eq!(running(&w, "run-999"), 16, "seed {seed}");
        all_are_known(&mut w);
        came = (came.0 + w.counters.held_heartbeats.0, came.1 + w.counters.held_heartbeats.1);
    }
    assert!(came.0 > 10 && came.1 > 50, "{came:?} came");
}
