//! Free room on this controller's machines and on those of the others.

use super::*;
use crate::placement::MachineCapacity;
use crate::protocol::user::{JobKind, JobSpec};

/// Of an image that should have come, this part is taken to be still missing:
/// rates vary by a third.
const LEAST_TO_COME: f64 = 0.2;

impl Controller {
    /// Rooms on this controller's machines, or on everyone's with their owners.
    pub(super) fn capacities(&self, everyone: bool) -> Vec<(String, MachineCapacity)> {
        self.capacities_counting(everyone, Counted::All)
    }

    /// The same, counting only some of the tasks.
    pub(super) fn capacities_counting(&self, everyone: bool, counted: Counted) -> Vec<(String, MachineCapacity)> {
        let silent = self.heartbeat_intervals(2.5);
        let now = self.now;
        let mut capacities = Vec::new();
        for (name, h) in &self.state.machines {
            let mine = self.owns(h);
            let Some(t) = self.machine_type(&h.rec.machine_type) else { continue };
            if h.rec.drain || (!mine && !everyone) || !self.state.owned(&h.rec) || !self.is_up(name) {
                continue;
            }
            let mut capacity = MachineCapacity::empty(name, t, &h.rec.zone, h.rec.spot);
            if mine {
                let Some(m) = self.agents.machines.get(name) else { continue };
                let quiet = self.now.saturating_sub(m.heard_at.unwrap_or(m.owned_since));
                let ready = m.heard_at.is_some() && quiet < silent && m.fencing_token == m.token();
                // One that has just joined cannot take tasks yet, but it is
                // there: left out of the reckoning it would be rented again.
                let there = if everyone { quiet < silent * 2 } else { ready };
                if !there || m.preemption_notice_s.is_some() || m.releasing || m.shut_until > self.now {
                    continue;
                }
                // What runs there though it should not takes room as well.
                let placed = self.state.placed.get(name);
                for s in m.tasks.iter().filter(|s| s.state != crate::protocol::worker::TaskState::Exited) {
                    if placed.is_none_or(|p| !p.contains_key(&(s.task.job.clone(), s.task.index))) {
                        match self.state.jobs.get(&s.task.job) {
                            Some(j) => capacity.take(&j.spec, 1),
                            None => capacity.cores = 0.0,
                        }
                    }
                }
            }
            if let Some(load) = self.state.loads.get(name) {
                let mut takes = load.all;
                if counted == Counted::Lasting {
                    takes.cores -= load.arrays.cores;
                    takes.gpus -= load.arrays.gpus;
                    takes.mem_gb -= load.arrays.mem_gb;
                }
                capacity.arrays = load.arrays;
                capacity.cores -= takes.cores;
                capacity.gpus -= takes.gpus;
                capacity.mem_gb -= takes.mem_gb;
                capacity.images[0] = load.images.clone();
            }
            if !mine && let Some(images) = self.agents.images.get(name) {
                capacity.images[1] = images.clone();
            }
            if let Some(m) = self.agents.machines.get(name).filter(|_| mine) {
                capacity.images[1] = m.images.clone();
                if let Some(load) = self.state.loads.get(name) {
                    let coming = load.by_image.iter().filter(|(i, _)| !m.images.contains(*i));
                    capacity.fetching_gb = coming
                        .map(|(i, b)| {
                            let since = m.fetches.get(i).map_or(now, |t| *t);
                            let came = now.saturating_sub(since).as_secs_f64() * t.pull_gb_per_s;
                            (b.image_gb - came).max(b.image_gb * LEAST_TO_COME)
                        })
                        .sum();
                }
                // Freed room counts at once, not only when the exit is stored.
                let placed = self.state.placed.get(name);
                for (job, index, attempt) in m.over() {
                    if let Some(j) = self.state.jobs.get(job)
                        && placed.is_some_and(|p| p.get(&(job.clone(), *index)) == Some(attempt))
                        && (counted == Counted::All || j.spec.kind != JobKind::Array)
                    {
                        capacity.put_back(&j.spec);
                    }
                }
            }
            capacities.push((h.rec.owner.clone(), capacity));
        }
        capacities
    }

    /// A service goes where its image is, even if arrays must make room there.
    pub(super) fn counted(&self, spec: &JobSpec) -> Counted {
        let soon = spec.kind == JobKind::Service && self.service_levels.objectives.start_within(spec).is_some();
        if soon { Counted::Lasting } else { Counted::All }
    }
}
