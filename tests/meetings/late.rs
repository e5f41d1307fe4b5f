//! What is carried out late: transactions without an answer, after newer ones of the
//! same controller; direct commands that were held up; reports of long ago.

use super::{all_over, cancel, fleet};
use crate::known::all_are_known;
use crate::reconciliation::seeds;
use crate::world::helpers::running;
use crate::world::{LEASE_S, REPORT_S, World, array, gang, service};
use rand::RngExt;

/// Work of all kinds over a minute, some of it cancelled, and shards that move: machines
/// come and go with it.
fn work(w: &mut World, jobs: usize) {
    for n in 0..jobs {
        let at = w.rng.random_range(0.0..60.0);
        let tasks = w.rng.random_range(1..9);
        let (uid, job) = match n % 4 {
            0 => (format!("run-{n:02}9"), service(2)),
            1 => (format!("run-{n:02}{}", n % 5), gang(2)),
            _ => (format!("run-{n:02}{}", n % 5), array(tasks, 4.0)),
        };
        let (a, b) = (uid.clone(), uid);
        w.later(at, move |w| w.submit(&a, job));
        if n % 4 == 0 || n % 5 == 0 {
            let leave = w.rng.random_range(at..90.0);
            w.later(leave, move |w| cancel(w, &b, None));
        }
    }
}

/// A tenth and more of all transactions, of every kind, get no answer and are carried out
/// 2 to 12 s later, after what the same controller wrote since, while controllers end and
/// come back and shards are granted again.
#[test]
fn transactions_carried_out_after_newer_ones_change_nothing_they_should_not() {
    let mut kinds = std::collections::BTreeMap::new();
    for seed in 0..seeds(10) {
        let mut w = fleet(9000 + seed, [3, 7][seed as usize % 2], 24);
        w.faults.late_transactions = Some((0.05 + 0.05 * (seed % 4) as f64, (2.0, 12.0)));
        w.faults.restart_range_s = Some((0.01, 0.9));
        work(&mut w, 24);
        for n in 0..6 {
            let node = w.rng.random_range(0..w.nodes.len());
            w.later(12.0 + 11.0 * f64::from(n), move |w| w.crash(node));
        }
        w.later(90.0, |w| w.faults.late_transactions = None);
        w.run_until(240.0);
        all_over(&w);
        all_are_known(&mut w);
        for (kind, (done, refused)) in w.counters.late_transactions {
            let n: &mut (u32, u32) = kinds.entry(kind).or_default();
            (n.0, n.1) = (n.0 + done, n.1 + refused);
        }
    }
    // Leads, members, jobs, logs, machines, shards: each was late, carried out or refused.
    for kind in ["fq/lead", "fq/m", "fq/j", "fq/l", "fq/h", "fq/b"] {
        assert!(kinds.contains_key(kind), "no {kind} came late: {kinds:?}");
    }
}

/// Direct commands are held up for seconds to beyond a lease, and the machine then goes
/// on; meanwhile its shard moves, its tasks end, are forgotten, or start elsewhere.
#[test]
fn commands_held_up_start_nothing_twice() {
    for seed in 0..seeds(10) {
        let mut w = fleet(9100 + seed, [3, 7][seed as usize % 2], 24);
        w.faults.late_commands = Some((0.3, if seed % 3 == 0 { (1.0, REPORT_S * 4.0) } else { (2.0, LEASE_S * 2.0) }));
        w.faults.restart_range_s = Some((0.01, 0.9));
        work(&mut w, 24);
        for n in 0..8 {
            let node = w.rng.random_range(0..w.nodes.len());
            let which = w.rng.random_range(0..20);
            let at = 10.0 + 8.0 * f64::from(n);
            match n % 3 {
                0 => w.later(at, move |w| w.crash(node)),
                1 => w.later(at, move |w| {
                    // The machine hangs, and goes on within its lease or after it.
                    let Some(name) = w.workers.keys().nth(which).cloned() else { return };
                    w.cut_worker(&name, true);
                    w.later(at + 14.0, move |w| w.cut_worker(&name, false));
                }),
                _ => w.later(at, move |w| {
                    w.nodes[node].deaf = true;
                    w.later(at + 20.0, move |w| w.nodes[node].deaf = false);
                }),
            }
        }
        w.later(90.0, |w| w.faults.late_commands = None);
        w.run_until(240.0);
        all_over(&w);
        all_are_known(&mut w);
    }
}

/// Whoever leads fills the fleet, and each direct command of it is on its way when it ends
/// or is deposed; the next leader has its machines, kills there what was cancelled or gives
/// way to urgent work, starts that in its place, and then the commands arrive. They start
/// nothing that runs elsewhere or has no room any more.
#[test]
fn commands_of_a_deposed_leader_arrive_after_the_new_ones() {
    let mut came = (0, 0);
    for seed in 0..seeds(4) {
        let mut w = fleet(9250 + seed, [3, 7][seed as usize % 2], 12);
        w.cloud.most = 12;
        w.submit("run-999", service(10));
        w.run_until(14.0);
        for round in 0..4u32 {
            let at = 15.0 + 20.0 * f64::from(round);
            // Ended for long or for a moment, or refused by the store and alive.
            let way = (seed as u32 + round) % 3;
            w.later(at, move |w| w.faults.late_commands = Some((1.0, (1.0, 12.0))));
            for n in 0..8 {
                let uid = format!("run-{round}{n:02}9");
                // Six fill what is free; two are urgent and come once another leads.
                let begins = if n < 6 { at + w.rng.random_range(0.0..0.5) } else { at + w.rng.random_range(1.0..6.0) };
                let (job, name) = (if n < 6 { array(8, 1e6) } else { service(16) }, uid.clone());
                w.later(begins, move |w| w.submit(&name, job));
                // Some leave before anybody started them, some after, and all for the next round.
                let leaves = if n % 3 == 0 { begins + w.rng.random_range(0.1..6.0) } else { at + 15.0 };
                w.later(leaves, move |w| cancel(w, &uid, None));
            }
            w.later(at + 0.8, move |w| {
                w.faults.late_commands = None;
                let Some(leader) = w.store.leader() else { return };
                w.faults.restart_s = [0.1, 14.0][way as usize % 2];
                if way < 2 {
                    return w.crash(leader);
                }
                w.nodes[leader].refused = true;
                w.later(at + 12.0, move |w| w.nodes[leader].refused = false);
            });
        }
        w.calm_from(110.0);
        w.run_until(200.0);
        all_over(&w);
        assert_eq!(running(&w, "run-999"), 10, "seed {seed}");
        all_are_known(&mut w);
        came = (came.0 + w.counters.late_commands.0, came.1 + w.counters.late_commands.1);
    }
    assert!(came.0 > 10 && came.1 > 50, "{came:?} came late, carried out and refused");
}

/// Half of all reports come again, up to three leases later, while shards move, machines
/// are back at once with their counters begun anew, and jobs are cancelled.
///
/// Seed 15: a copy from before a machine's end was above all that its present life had
/// said; it counted as proof that our answer to that had not come, the lease as over, and
/// what ran there was started elsewhere.
#[test]
fn old_heartbeats_after_newer_ones_are_ignored() {
    for seed in (0..seeds(6)).chain([15]) {
        let mut w = fleet(9200 + seed, [3, 7][seed as usize % 2], 24);
        w.faults.duplicated_heartbeats = Some((0.5, (2.0, LEASE_S * 3.0)));
        work(&mut w, 24);
        w.submit("run-999", service(20));
        for n in 0..8 {
            let node = w.rng.random_range(0..w.nodes.len());
            let which = w.rng.random_range(0..20);
            w.later(10.0 + 8.0 * f64::from(n), move |w| {
                let now = w.now;
                if n % 2 == 0 {
                    w.crash(node);
                } else if let Some(x) = w.workers.values_mut().nth(which) {
                    x.restart_agent(now);
                }
            });
        }
        w.later(90.0, |w| w.faults.duplicated_heartbeats = None);
        w.run_until(240.0);
        all_over(&w);
        assert_eq!(running(&w, "run-999"), 20, "seed {seed}");
        all_are_known(&mut w);
    }
}
