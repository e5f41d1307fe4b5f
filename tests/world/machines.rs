//! What happens by itself at each step: leases expire, machines boot and end, agents work and report.

use super::events::{Source, WorldEvent};
use super::settings::REPORT_S;
use super::worker::{TaskState, Worker};
use super::{World, s};
use finchquay::effects::{NoAnswer, Reply};
use rand::RngExt;
use std::collections::BTreeMap;

/// Reports that are kept for the next leader at most.
const MOST_KEPT: usize = 200;

impl World {
    pub fn add_worker(&mut self, name: &str) {
        let m = &self.cloud.machines[name];
        let nodes = self.nodes.len();
        let first = self.rng.random_range(0..nodes);
        let mut w = Worker::new(name, &m.zone, m.spot, first, nodes, self.now);
        w.fetch_s = self.rng.random_range(0.5..=self.size.fetch_s);
        self.workers.insert(name.to_string(), w);
    }

    /// Things that happen by themselves: leases, watches, agents, boots.
    pub(super) fn advance_surroundings(&mut self) {
        self.store.expire(self.now);
        for (node, id, status, body) in self.store.due_watches(self.now) {
            let lag = self.lag() + self.late(self.faults.late_watches).unwrap_or_default();
            let n = &self.nodes[node];
            if n.store_cut || n.answers_lost {
                self.at(REPORT_S * 4.0, WorldEvent::Answer(node, id, Err(NoAnswer)));
            } else {
                self.at(lag, WorldEvent::Answer(node, id, Ok(Reply { status, body })));
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
            self.work(&name);
        }
        self.gangs();
        self.deliver_to_next_leader();
        self.send_invalid_request();
        self.check_rules();
        self.check_capacity();
    }

    /// Gangs start once complete, and notice when they are not any more.
    pub(super) fn gangs(&mut self) {
        let now = self.now;
        for (uid, j) in self.jobs.iter().filter(|(_, j)| j.gang && j.submitted) {
            let mut attempts: BTreeMap<u64, (u32, u32)> = BTreeMap::new();
            for w in self.workers.values_mut() {
                if !w.gangs.contains(uid) {
                    w.gangs.insert(uid.clone());
                }
                let hangs = w.hangs.is_some();
                for ((_, attempt), t) in w.tasks.iter().filter(|(_, t)| t.job == *uid && !hangs) {
                    let n = attempts.entry(*attempt).or_default();
                    n.0 += u32::from(t.state == TaskState::WaitingForGang);
                    n.1 += u32::from(t.state == TaskState::Running);
                }
            }
            for (attempt, (gathering, runs)) in attempts {
                if runs == j.tasks {
                    // It is as fast as its slowest, and one that hung for a moment is that.
                    let ends = self.workers.values_mut().flat_map(|w| w.gang_ends(uid, attempt));
                    let last = ends.map(|end| *end).max().unwrap_or(now);
                    self.workers.values_mut().flat_map(|w| w.gang_ends(uid, attempt)).for_each(|end| *end = last);
                }
                for w in self.workers.values_mut().filter(|w| w.hangs.is_none()) {
                    if gathering == j.tasks {
                        w.gang_starts(uid, attempt, now);
                    } else if runs > 0 && runs < j.tasks && j.done.is_empty() {
                        w.gang_misses(uid, attempt, now);
                    }
                }
            }
        }
    }

    pub(super) fn work(&mut self, name: &str) {
        let now = self.now;
        let w = self.workers.get_mut(name).unwrap();
        for (job, index) in w.advance(now) {
            let Some(j) = self.jobs.get_mut(&job) else { continue };
            j.done.insert(index);
            let last = j.done.len() as u32 == j.tasks;
            if last && self.faults.cancel_at_last_end.is_some_and(|part| self.rng.random_bool(part)) {
                self.cancel(&job);
            }
        }
        let w = self.workers.get_mut(name).unwrap();
        let Some(body) = w.report_due(now) else { return };
        let (node, heartbeat_seq, cut) = (w.node, w.heartbeat_seq, w.cut);
        let jitter = self.rng.random_range(0.75..1.25);
        if let Some(after) = self.late(self.faults.duplicated_heartbeats) {
            let node = self.rng.random_range(0..self.nodes.len());
            self.at(after, WorldEvent::DuplicateHeartbeat(node, body.clone()));
        }
        if self.faults.duplicates_for_next_leader.is_some_and(|part| self.rng.random_bool(part))
            && self.kept_heartbeats.len() < MOST_KEPT
        {
            self.kept_heartbeats.push(body.clone());
        }
        self.workers.get_mut(name).unwrap().next_report = now + s(REPORT_S * jitter);
        let held = self.faults.heartbeats_held_for_next_leader.remove(name).map(|after| (after, body.clone()));
        let lost = cut || held.is_some();
        let conn = self.request(node, Source::Worker(name.to_string(), heartbeat_seq), "POST", "/checkin", body, lost);
        if let Some((after, body)) = held {
            self.held_heartbeats.push((conn, node, body, after));
        }
        self.at(4.0, WorldEvent::Timeout(conn));
    }
}
