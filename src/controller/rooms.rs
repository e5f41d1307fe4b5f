//! Free room on this controller's machines and on those of the others.

use super::*;
use crate::placement::Room;
use crate::protocol::user::{Form, JobSpec};

/// Of an image that should have come, this part is taken to be still missing:
/// rates vary by a third.
const LEAST_TO_COME: f64 = 0.2;

impl Controller {
    /// Rooms on this controller's machines, or on everyone's with their owners.
    pub(super) fn rooms(&self, everyone: bool) -> Vec<(String, Room)> {
        self.rooms_beside(everyone, Counted::All)
    }

    /// The same, counting only some of the tasks.
    pub(super) fn rooms_beside(&self, everyone: bool, counted: Counted) -> Vec<(String, Room)> {
        let silent = self.report_s(2.5);
        let now = self.now;
        let mut rooms = Vec::new();
        for (name, h) in &self.view.hosts {
            let mine = self.owns(h);
            let Some(t) = self.machine_type(&h.rec.build) else { continue };
            if h.rec.drain || (!mine && !everyone) || !self.view.owned(&h.rec) || !self.is_up(name) {
                continue;
            }
            let mut room = Room::empty(name, t, &h.rec.site, h.rec.spot);
            if mine {
                let Some(m) = self.machines.get(name) else { continue };
                let quiet = self.now.saturating_sub(m.heard_at.unwrap_or(m.owned_since));
                let ready = m.heard_at.is_some() && quiet < silent && m.warrant == m.token();
                // One that has just joined cannot take tasks yet, but it is
                // there: left out of the reckoning it would be rented again.
                let there = if everyone { quiet < silent * 2 } else { ready };
                if !there || m.recall_s.is_some() || m.releasing || m.shut_until > self.now {
                    continue;
                }
                // What runs there though it should not takes room as well.
                let placed = self.view.placed.get(name);
                for s in m.tasks.iter().filter(|s| s.state != crate::protocol::worker::TaskState::Exited) {
                    if placed.is_none_or(|p| !p.contains_key(&(s.task.job.clone(), s.task.index))) {
                        match self.view.jobs.get(&s.task.job) {
                            Some(j) => room.take(&j.spec, 1),
                            None => room.cores = 0.0,
                        }
                    }
                }
            }
            if let Some(load) = self.view.loads.get(name) {
                let mut takes = load.all;
                if counted == Counted::Lasting {
                    takes.cores -= load.arrays.cores;
                    takes.gpus -= load.arrays.gpus;
                    takes.mem_gb -= load.arrays.mem_gb;
                }
                room.arrays = load.arrays;
                room.cores -= takes.cores;
                room.gpus -= takes.gpus;
                room.mem_gb -= takes.mem_gb;
                room.images[0] = load.images.clone();
            }
            if !mine && let Some(images) = self.images.get(name) {
                room.images[1] = images.clone();
            }
            if let Some(m) = self.machines.get(name).filter(|_| mine) {
                room.images[1] = m.images.clone();
                if let Some(load) = self.view.loads.get(name) {
                    let coming = load.bundles.iter().filter(|(i, _)| !m.images.contains(*i));
                    room.fetching_gb = coming
                        .map(|(i, b)| {
                            let since = m.fetches.get(i).map_or(now, |t| *t);
                            let came = now.saturating_sub(since).as_secs_f64() * t.pull_gb_per_s;
                            (b.size_gb - came).max(b.size_gb * LEAST_TO_COME)
                        })
                        .sum();
                }
                // Freed room counts at once, not only when the exit is stored.
                let placed = self.view.placed.get(name);
                for (job, index, attempt) in m.over() {
                    if let Some(j) = self.view.jobs.get(job)
                        && placed.is_some_and(|p| p.get(&(job.clone(), *index)) == Some(attempt))
                        && (counted == Counted::All || j.spec.form != Form::Batch)
                    {
                        room.put_back(&j.spec);
                    }
                }
            }
            rooms.push((h.rec.owner.clone(), room));
        }
        rooms
    }

    /// A service goes where its image is, even if arrays must make room there.
    pub(super) fn counted(&self, spec: &JobSpec) -> Counted {
        let soon = spec.form == Form::Standing && self.aims.start_within(spec).is_some();
        if soon { Counted::Lasting } else { Counted::All }
    }
}
