//! The operators' claim about room: once all troubles are over, no job is left waiting
//! for 90 s while a machine that fits has room and its team is under its limit.

use super::worker::{TaskState, Worker};
use super::{LEASE_S, World, s};
use std::collections::BTreeSet;

/// So long a job may wait beside room.
const WAITS_S: f64 = 90.0;

/// What runs there may take no more than that.
const CORES: f64 = 8.0;
const GPUS: f64 = 4.0;

impl World {
    /// Looks at jobs of single tasks; gangs and jobs that must be apart need more than
    /// one machine with room.
    pub(super) fn check_capacity(&mut self) {
        let Some(calm) = self.calm_since else { return };
        let now = self.now;
        // The work is there for every step; once in half a second is enough.
        if !now.subsec_millis().is_multiple_of(500) {
            return;
        }
        let used = |w: &Worker| {
            let there = w.tasks.values().filter(|t| t.state != TaskState::Exited);
            let (c, g) = there.fold((0.0, 0.0), |(c, g), t| (c + self.jobs[&t.job].cores, g + self.jobs[&t.job].gpus));
            (w.zone.clone(), c, g)
        };
        let well = |w: &&Worker| {
            let known = now < w.lease_from + s(LEASE_S) && w.preempted_at.is_none();
            known && !w.cut && !w.deaf && !w.mute && !w.sick && w.hangs.is_none()
        };
        let free: Vec<(String, f64, f64)> = self.workers.values().filter(well).map(used).collect();
        let mut on: BTreeSet<(&str, u32)> = BTreeSet::new();
        let used_by = self.used();
        for t in self.workers.values().flat_map(|w| w.tasks.values()).filter(|t| t.state != TaskState::Exited) {
            on.insert((t.job.as_str(), t.index));
        }
        let mut waits = BTreeSet::new();
        for (uid, j) in
            self.jobs.iter().filter(|(_, j)| j.accepted && !j.cancel_asked && !j.gang && !j.zone_anti_affinity)
        {
            let there = on.range((uid.as_str(), 0)..=(uid.as_str(), u32::MAX)).filter(|t| !j.done.contains(&t.1));
            let waiting = (there.count() + j.done.len()) < j.tasks as usize;
            let there = |zone: &str| j.zone.is_none_or(|only| only == zone);
            let fits = free.iter().any(|(z, c, g)| there(z) && c + j.cores <= CORES && g + j.gpus <= GPUS);
            let team = used_by.get(j.team.as_str()).copied().unwrap_or(0.0);
            let allowed = team + j.cores <= self.limit(&j.team);
            if waiting && fits && allowed {
                waits.insert(uid.clone());
            }
        }
        for (uid, j) in &mut self.jobs {
            let since = waits.contains(uid).then(|| j.waits_since.unwrap_or(now));
            j.waits_since = since;
            let waited = since.map_or(0.0, |t| now.saturating_sub(t.max(calm)).as_secs_f64());
            assert!(waited <= WAITS_S, "seed {}, {now:?}: {uid} waits beside room: {j:?}", self.seed);
        }
    }
}
