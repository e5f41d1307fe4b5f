//! The store is away for all, from seconds to minutes, while users submit and cancel
//! and repeat whatever was refused. Once it is back, every controller accepts and starts
//! within two seconds, and the crowd is served soon.

use super::{cancel, fleet};
use crate::world::helpers::running;
use crate::world::{Job, World, array, s, service};
use rand::RngExt;
use std::collections::BTreeSet;

const NODES: usize = 7;
const FROM_S: f64 = 20.0;

/// Users who wait for the end of an outage, by what they want.
#[derive(Debug, Clone, Copy)]
struct Crowd {
    leave: u32,
    come: u32,
}

/// Plays an outage with a crowd of users; the world at its end.
fn play(seed: u64, down_s: f64, crowd: Crowd) -> World {
    let mut w = fleet(seed, NODES, 40);
    for n in 0..crowd.leave {
        let at = w.rng.random_range(0.5..8.0);
        w.later(at, move |w| w.submit(&format!("run-1{n:03}9"), service(1)));
    }
    w.run_until(FROM_S);
    let end = FROM_S + down_s;
    for n in 0..crowd.leave {
        assert_eq!(running(&w, &format!("run-1{n:03}9")), 1, "seed {seed}: nothing to cancel");
        let at = w.rng.random_range(FROM_S..end);
        w.later(at, move |w| cancel(w, &format!("run-1{n:03}9"), None));
    }
    for n in 0..crowd.come {
        let at = w.rng.random_range(FROM_S..end);
        let via = Some(n as usize % NODES).filter(|_| n as usize <= NODES * 2);
        w.later(at, move |w| match n % 3 {
            0 => w.submit(&format!("run-2{n:03}1"), Job { via, ..array(3, 4.0) }),
            _ => w.submit(&format!("run-2{n:03}9"), Job { via, ..service(1) }),
        });
    }
    w.store.set_down(w.now, true);
    w.run_until(end);
    w.store.set_down(w.now, false);
    w
}

/// In an outage controllers sent each cancellation as often as its user repeated it, and
/// all of these were debts: for a minute after it they wrote nothing else.
#[test]
fn after_an_outage_all_controllers_accept_and_start() {
    let crowds = [(5.0, 40, 40), (20.0, 60, 60), (70.0, 80, 80), (300.0, 30, 30)];
    for (n, (down_s, leave, come)) in crowds.into_iter().enumerate() {
        let seed = 9900 + n as u64;
        let mut w = play(seed, down_s, Crowd { leave, come });
        let end = FROM_S + down_s;
        let before: Vec<String> = w.jobs.iter().filter(|(_, j)| j.accepted).map(|(uid, _)| uid.clone()).collect();
        w.run_until(end + 2.0);
        let accepted = |w: &World| -> Vec<String> {
            let new = |(uid, j): &(&String, &Job)| j.accepted && !before.contains(uid);
            w.jobs.iter().filter(new).map(|(uid, _)| uid.clone()).collect()
        };
        let first = accepted(&w);
        for node in 0..NODES {
            let here = w.counters.acceptances.iter().any(|(at, by)| *at > s(end) && *by == node);
            assert!(here, "seed {seed}: controller {node} accepts nothing");
        }
        // What begins may give way at once to what is more urgent.
        let mut begun: BTreeSet<String> = BTreeSet::new();
        let mut look = |w: &mut World, until: f64| {
            while w.now.as_secs_f64() < until {
                w.run_until((w.now.as_secs_f64() + 0.25).min(until));
                begun.extend(w.workers.values().flat_map(|x| x.tasks.values().map(|t| t.job.clone())));
                begun.extend(w.jobs.iter().filter(|(_, j)| !j.done.is_empty()).map(|(uid, _)| uid.clone()));
            }
            begun.clone()
        };
        // Two seconds more, and the way of the orders.
        let begins = look(&mut w, end + 4.5);
        let begun = first.iter().filter(|uid| begins.contains(*uid)).count();
        let most = begun as f64 >= first.len() as f64 * 0.9;
        assert!(most, "seed {seed}: of {} that were accepted at once {begun} are started", first.len());
        // The few whose lease went to a controller without room are reassigned.
        let begins = look(&mut w, end + 7.0);
        for uid in &first {
            assert!(begins.contains(uid), "seed {seed}: {uid} was accepted at once and is not started");
        }
        let begins = look(&mut w, end + 12.0);
        for (uid, j) in &w.jobs {
            assert!(j.accepted && (j.cancelled_at.is_some() || !j.cancel_asked), "seed {seed}: {uid} waits: {j:?}");
            assert!(j.cancel_asked || begins.contains(uid), "seed {seed}: {uid} is accepted and not started");
        }
        // Nothing may wait for long beside room from then on.
        w.calm_from(end + 12.0);
        w.run_until(end + 30.0);
        let left: Vec<&String> = w.jobs.iter().filter(|(_, j)| !j.standing && !j.confirmed_done).map(|j| j.0).collect();
        assert!(left.is_empty(), "seed {seed}: {left:?} are not over");
    }
}
