//! The store is down for all controllers, from seconds to minutes, while users submit and cancel
//! jobs and repeat refused requests. Once it is back, every controller accepts and starts jobs
//! within two seconds, and all waiting users are served soon.

use super::{cancel, fleet};
use crate::world::helpers::running;
use crate::world::{Job, World, array, s, service};
use rand::RngExt;
use std::collections::BTreeSet;

/// Number of controllers.
const CONTROLLERS: usize = 7;
/// Start of the outage.
const OUTAGE_START_S: f64 = 20.0;

/// Requests that users repeat during an outage, by kind.
#[derive(Debug, Clone, Copy)]
struct PendingRequests {
    cancellations: u32,
    submissions: u32,
}

/// Runs an outage with these requests and returns the world at its end.
fn run_outage(seed: u64, down_s: f64, requests: PendingRequests) -> World {
    let mut w = fleet(seed, CONTROLLERS, 40);
    for n in 0..requests.cancellations {
        let at = w.rng.random_range(0.5..8.0);
        w.later(at, move |w| w.submit(&format!("run-1{n:03}9"), service(1)));
    }
    w.run_until(OUTAGE_START_S);
    let end = OUTAGE_START_S + down_s;
    for n in 0..requests.cancellations {
        assert_eq!(running(&w, &format!("run-1{n:03}9")), 1, "seed {seed}: nothing to cancel");
        let at = w.rng.random_range(OUTAGE_START_S..end);
        w.later(at, move |w| cancel(w, &format!("run-1{n:03}9"), None));
    }
    for n in 0..requests.submissions {
        let at = w.rng.random_range(OUTAGE_START_S..end);
        let via = Some(n as usize % CONTROLLERS).filter(|_| n as usize <= CONTROLLERS * 2);
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

/// Guards against a write budget that is overdrawn by an outage. Controllers sent each
/// cancellation to the store as often as its user repeated it, and each of these writes was
/// charged: for a minute after the outage they wrote nothing else.
#[test]
fn all_controllers_accept_and_start_jobs_after_an_outage() {
    let cases = [(5.0, 40, 40), (20.0, 60, 60), (70.0, 80, 80), (300.0, 30, 30)];
    for (n, (down_s, cancellations, submissions)) in cases.into_iter().enumerate() {
        let seed = 9900 + n as u64;
        let mut w = run_outage(seed, down_s, PendingRequests { cancellations, submissions });
        let end = OUTAGE_START_S + down_s;
        let before: Vec<String> = w.jobs.iter().filter(|(_, j)| j.accepted).map(|(uid, _)| uid.clone()).collect();
        w.run_until(end + 2.0);
        let accepted = |w: &World| -> Vec<String> {
            let new = |(uid, j): &(&String, &Job)| j.accepted && !before.contains(uid);
            w.jobs.iter().filter(new).map(|(uid, _)| uid.clone()).collect()
        };
        let first = accepted(&w);
        for node in 0..CONTROLLERS {
            let here = w.counters.acceptances.iter().any(|(at, by)| *at > s(end) && *by == node);
            assert!(here, "seed {seed}: controller {node} accepts nothing");
        }
        // Tasks that start may be preempted at once by more urgent ones.
        let mut started_jobs: BTreeSet<String> = BTreeSet::new();
        let mut started_by = |w: &mut World, until: f64| {
            while w.now.as_secs_f64() < until {
                w.run_until((w.now.as_secs_f64() + 0.25).min(until));
                started_jobs.extend(w.workers.values().flat_map(|x| x.tasks.values().map(|t| t.job.clone())));
                started_jobs.extend(w.jobs.iter().filter(|(_, j)| !j.done.is_empty()).map(|(uid, _)| uid.clone()));
            }
            started_jobs.clone()
        };
        // Two seconds more, and the time that commands are in flight.
        let started = started_by(&mut w, end + 4.5);
        let count = first.iter().filter(|uid| started.contains(*uid)).count();
        let most = count as f64 >= first.len() as f64 * 0.9;
        assert!(most, "seed {seed}: of {} that were accepted at once {count} are started", first.len());
        // The few jobs whose lease went to a controller without capacity are reassigned.
        let started = started_by(&mut w, end + 7.0);
        for uid in &first {
            assert!(started.contains(uid), "seed {seed}: {uid} was accepted at once and is not started");
        }
        let started = started_by(&mut w, end + 12.0);
        for (uid, j) in &w.jobs {
            assert!(
                j.accepted && (j.cancelled_at.is_some() || !j.cancel_asked),
                "seed {seed}: {uid} is not served: {j:?}"
            );
            assert!(j.cancel_asked || started.contains(uid), "seed {seed}: {uid} is accepted and not started");
        }
        // From then on no job may wait for long beside free capacity.
        w.calm_from(end + 12.0);
        w.run_until(end + 30.0);
        let left: Vec<&String> = w.jobs.iter().filter(|(_, j)| !j.standing && !j.confirmed_done).map(|j| j.0).collect();
        assert!(left.is_empty(), "seed {seed}: {left:?} are not finished");
    }
}
