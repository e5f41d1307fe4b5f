//! What happens at each step without a request: leases expire, machines boot and go away, and
//! agents run tasks and send heartbeats.

#![warn(missing_docs)]

use super::events::{Source, WorldEvent};
use super::settings::REPORT_S;
use super::worker::{TaskState, Worker};
use super::{World, s};
use finchquay::effects::{NoAnswer, Reply};
use rand::RngExt;
use std::collections::BTreeMap;

/// The largest number of heartbeats that are kept for the next leader.
const MAX_KEPT_HEARTBEATS: usize = 200;

impl World {
    /// Starts the agent of a machine that has booted.
    pub fn add_worker(&mut self, name: &str) {
        let machine = &self.cloud.machines[name];
        let nodes = self.nodes.len();
        let first = self.rng.random_range(0..nodes);
        let mut worker = Worker::new(name, &machine.zone, machine.spot, first, nodes, self.now);
        worker.fetch_s = self.rng.random_range(0.5..=self.size.fetch_s);
        self.workers.insert(name.to_string(), worker);
    }

    /// Advances leases, watches, machines, agents and gangs to the present, and checks the rules.
    pub(super) fn advance_surroundings(&mut self) {
        self.store.expire(self.now);
        for (node, id, status, body) in self.store.due_watches(self.now) {
            let lag = self.draw_latency() + self.draw_delay(self.faults.late_watches).unwrap_or_default();
            let n = &self.nodes[node];
            if n.store_cut || n.answers_lost {
                self.schedule_after(REPORT_S * 4.0, WorldEvent::Answer(node, id, Err(NoAnswer)));
            } else {
                self.schedule_after(lag, WorldEvent::Answer(node, id, Ok(Reply { status, body })));
            }
        }
        let due = |w: &Worker| w.preempted_at.is_some_and(|t| t <= self.now);
        for name in self.workers.values().filter(|w| due(w)).map(|w| w.name.clone()).collect::<Vec<_>>() {
            self.cloud.machines.remove(&name);
            self.workers.remove(&name);
        }
        for name in self.cloud.booted(self.now) {
            self.add_worker(&name);
        }
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.advance_worker(&name);
        }
        self.advance_gangs();
        self.deliver_heartbeats_to_new_leader();
        self.send_invalid_request();
        self.check_rules();
        self.check_capacity();
    }

    /// Starts the gangs whose tasks all wait on their machines, and lets running gangs notice that
    /// tasks of theirs are missing.
    pub(super) fn advance_gangs(&mut self) {
        let now = self.now;
        for (uid, job) in self.jobs.iter().filter(|(_, j)| j.gang && j.submitted) {
            let mut attempts: BTreeMap<u64, (u32, u32)> = BTreeMap::new();
            for w in self.workers.values_mut() {
                if !w.gangs.contains(uid) {
                    w.gangs.insert(uid.clone());
                }
                let hangs = w.hung_since.is_some();
                for ((_, attempt), t) in w.tasks.iter().filter(|(_, t)| t.job == *uid && !hangs) {
                    let counts = attempts.entry(*attempt).or_default();
                    counts.0 += u32::from(t.state == TaskState::WaitingForGang);
                    counts.1 += u32::from(t.state == TaskState::Running);
                }
            }
            for (attempt, (waiting, running)) in attempts {
                if running == job.tasks {
                    // A gang ends with its slowest task, for example one whose machine hung for a while.
                    let ends = self.workers.values_mut().flat_map(|w| w.gang_task_ends(uid, attempt));
                    let last = ends.map(|end| *end).max().unwrap_or(now);
                    self.workers.values_mut().flat_map(|w| w.gang_task_ends(uid, attempt)).for_each(|end| *end = last);
                }
                for w in self.workers.values_mut().filter(|w| w.hung_since.is_none()) {
                    if waiting == job.tasks {
                        w.start_gang_tasks(uid, attempt, now);
                    } else if running > 0 && running < job.tasks && job.done.is_empty() {
                        w.check_gang_peers(uid, attempt, now);
                    }
                }
            }
        }
    }

    /// Lets an agent advance its tasks, and send a heartbeat if one is due.
    pub(super) fn advance_worker(&mut self, name: &str) {
        let now = self.now;
        let w = self.workers.get_mut(name).unwrap();
        for (uid, index) in w.advance(now) {
            let Some(job) = self.jobs.get_mut(&uid) else { continue };
            job.done.insert(index);
            let last = job.done.len() as u32 == job.tasks;
            if last && self.faults.cancel_at_last_end.is_some_and(|part| self.rng.random_bool(part)) {
                self.cancel(&uid);
            }
        }
        let w = self.workers.get_mut(name).unwrap();
        let Some(body) = w.take_due_heartbeat(now) else { return };
        let (node, heartbeat_seq, cut) = (w.node, w.heartbeat_seq, w.cut);
        let jitter = self.rng.random_range(0.75..1.25);
        if let Some(after) = self.draw_delay(self.faults.duplicated_heartbeats) {
            let node = self.rng.random_range(0..self.nodes.len());
            self.schedule_after(after, WorldEvent::DuplicateHeartbeat(node, body.clone()));
        }
        if self.faults.duplicates_for_next_leader.is_some_and(|part| self.rng.random_bool(part))
            && self.kept_heartbeats.len() < MAX_KEPT_HEARTBEATS
        {
            self.kept_heartbeats.push(body.clone());
        }
        self.workers.get_mut(name).unwrap().next_report = now + s(REPORT_S * jitter);
        let held = self.faults.heartbeats_held_for_next_leader.remove(name).map(|after| (after, body.clone()));
        let lost = cut || held.is_some();
        let conn =
            self.send_request(node, Source::Worker(name.to_string(), heartbeat_seq), "POST", "/checkin", body, lost);
        if let Some((after, body)) = held {
            self.held_heartbeats.push((conn, node, body, after));
        }
        self.schedule_after(4.0, WorldEvent::Timeout(conn));
    }
}
