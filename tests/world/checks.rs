//! The rules that hold in every world, checked as tasks start and at every step.

use super::settings::CANCEL_S;
use super::worker::TaskState;
use super::{World, get, s, text, value};
use ciborium::Value;
use std::collections::BTreeMap;

impl World {
    /// Checks that hold at the moment a task starts.
    pub(super) fn check_starts(&mut self, name: &str, started: Vec<(String, u32)>) {
        for (job, index) in started {
            let cancelled = self.jobs.get(&job).is_some_and(|j| j.cancelled_at.is_some());
            self.counters.started_cancelled += u32::from(cancelled);
            self.counters.starts_of_completed_tasks +=
                u32::from(self.jobs.get(&job).is_some_and(|j| j.done.contains(&index)));
            for (other, w) in &self.workers {
                let there = w.tasks.values().any(|t| t.job == job && t.index == index && t.state != TaskState::Exited);
                assert!(
                    other == name || !there,
                    "seed {}, {:?}: {job}/{index} starts on {name} while on {other}",
                    self.seed,
                    self.now
                );
            }
            let Some(j) = self.jobs.get(&job) else {
                panic!("seed {}: {job} starts and was never submitted", self.seed);
            };
            let zone = &self.workers[name].zone;
            let wrong = j.zone.is_some_and(|only| only != zone);
            assert!(!wrong, "seed {}, {:?}: {job}/{index} starts in zone {zone}", self.seed, self.now);
            let mut here = 0;
            for w in self.workers.values() {
                let n = w.tasks.values().filter(|t| t.job == job && t.state != TaskState::Exited).count() as u32;
                let there = w.zone != *zone && n > 0;
                assert!(!j.zone_affinity || !there, "seed {}: {job}/{index} starts in another zone", self.seed);
                here += if w.zone == *zone { n } else { 0 };
            }
            assert!(
                !j.zone_anti_affinity || here <= j.tasks.div_ceil(2),
                "seed {}: {job}/{index} starts in a full zone",
                self.seed
            );
        }
    }

    /// Checks that hold at any moment.
    pub(super) fn check_rules(&self) {
        for (name, w) in &self.workers {
            let (mut cores, mut gpus) = (0.0, 0.0);
            for t in w.tasks.values().filter(|t| t.state != TaskState::Exited) {
                let j = &self.jobs[&t.job];
                cores += j.cores;
                gpus += j.gpus;
                if let Some(at) = j.cancelled_at {
                    let late = self.now > at + s(CANCEL_S);
                    assert!(!late, "seed {}: {}/{} runs long after its cancellation", self.seed, t.job, t.index);
                }
            }
            assert!(cores <= 8.0 && gpus <= 4.0, "seed {}: {name} is overfull", self.seed);
        }
        for (team, used) in self.used() {
            let max = self.limit(team);
            assert!(used <= max + 1e-9, "seed {}: the team uses {used} of {max}", self.seed);
        }
    }

    /// Orders go to an agent.
    pub(super) fn check_commands(&mut self, body: &[u8]) {
        for order in get(&value(body), "orders").and_then(Value::as_array).into_iter().flatten() {
            let task = text(order, "parcel");
            let job = task.split('/').next().and_then(|uid| self.jobs.get(uid));
            if let Some(cancelled_at) = job.and_then(|j| j.cancelled_at).filter(|_| text(order, "verb") == "run") {
                self.counters.longest_late_command =
                    self.counters.longest_late_command.max(self.now.saturating_sub(cancelled_at));
            }
        }
    }

    /// CPUs that the team's tasks may use.
    pub(super) fn limit(&self, team: &str) -> f64 {
        let max = if team == "capped" { self.size.team_max } else { self.size.free_max };
        if max > 0.0 { max } else { f64::INFINITY }
    }

    /// CPUs that each team's tasks use.
    pub fn used(&self) -> BTreeMap<&str, f64> {
        let mut used = BTreeMap::new();
        for t in self.workers.values().flat_map(|w| w.tasks.values()).filter(|t| t.state != TaskState::Exited) {
            let j = &self.jobs[&t.job];
            *used.entry(j.team.as_str()).or_default() += j.cores;
        }
        used
    }
}
