//! How well jobs are served: ends and missed objectives, and the summary in the log.

use super::*;
use crate::state::service_levels::{HALF, Served, ServiceTally};

/// Ends and missed objectives as this process saw them.
#[derive(Debug)]
pub(super) struct ServiceLevels {
    /// The objectives of the settings, and how well they are met of late.
    pub(super) objectives: Aims,
    /// Shares served, by class, team and the largest jobs.
    pub(super) served: Served,
    /// When the first machine was seen, by the time of day.
    pub(super) fleet_since_ms: Option<u64>,
    /// It was seen only after a boot time: the fleet began with nothing.
    pub(super) fleet_cold: bool,
    /// Live jobs whose objective has passed.
    pub(super) missed: BTreeSet<String>,
    /// When the next summary is logged.
    pub(super) summary_next: Instant,
}

impl ServiceLevels {
    /// No job has ended yet.
    pub(super) fn new(objectives: Aims) -> ServiceLevels {
        ServiceLevels {
            objectives,
            served: Served::default(),
            fleet_since_ms: None,
            fleet_cold: false,
            missed: BTreeSet::new(),
            summary_next: Duration::ZERO,
        }
    }
}

impl Controller {
    /// What was written, and from the leader the state of the whole cluster,
    /// at a steady interval.
    pub(super) fn summary(&mut self) {
        self.transactions.log_summary();
        let failed = self.retry.take_counts();
        if !failed.is_empty() {
            tracing::debug!(?failed, "calls that failed");
        }
        if !self.am_leader() {
            return;
        }
        let capacities = self.capacities(true);
        let sum = |f: fn(&crate::placement::MachineCapacity) -> f64| capacities.iter().map(|(_, r)| f(r)).sum::<f64>();
        let mut waiting: BTreeMap<&str, u32> = BTreeMap::new();
        for j in self.state.jobs.values() {
            let n = j.waiting_count();
            if n > 0 {
                *waiting.entry(&j.spec.class).or_default() += n;
            }
        }
        let booting = self.expected_capacities(Counted::All).len() - capacities.len();
        tracing::debug!(
            jobs = self.state.jobs.len(),
            ?waiting,
            machines = capacities.len(),
            booting,
            cores = sum(|r| r.total_cores),
            free_cores = sum(crate::placement::MachineCapacity::free_cores),
            behind = self.service_levels.objectives.behind(),
            "cluster"
        );
        for (who, t) in self.service_levels.served.tallies(self.state.jobs.values(), self.wall_ms()) {
            let ServiceTally { judged, in_time, live, untouched, waits_s, replicas, placed } = t;
            tracing::debug!(?who, judged, in_time, live, untouched, waits_s, replicas, placed, "served");
            if let Some(share) = t.least_share().filter(|s| *s < HALF) {
                tracing::warn!(
                    ?who,
                    share,
                    judged,
                    in_time,
                    live,
                    untouched,
                    waits_s,
                    replicas,
                    placed,
                    "hardly served"
                );
            }
        }
    }

    pub(super) fn note_end(&mut self, spec: &crate::protocol::user::JobSpec, at_ms: u64) {
        let took_s = self.wall_ms().saturating_sub(at_ms) as f64 / 1000.0;
        if let Some(aim_s) = self.service_levels.objectives.end_within(spec) {
            self.service_levels.served.note(spec, took_s <= aim_s);
        }
        // What came while the first machines were still to boot says nothing
        // of their number.
        let boot_ms = self.cloud.types.iter().map(|t| t.startup_s * 1000.0).fold(0.0, f64::max) as u64;
        let boot_ms = if self.service_levels.fleet_cold { boot_ms } else { 0 };
        if self.service_levels.fleet_since_ms.is_some_and(|t| at_ms >= t + boot_ms) {
            self.service_levels.objectives.note_end(spec, took_s);
        }
    }

    /// A job whose aim has passed is a miss now: in an overload the late ones
    /// wait longest, and counting ends alone would see only the good ones.
    pub(super) fn note_overdue(&mut self) {
        let now_ms = self.wall_ms();
        let mut late = Vec::new();
        for (uid, j) in
            self.state.jobs.iter().filter(|(uid, j)| !j.cancelled() && !self.service_levels.missed.contains(*uid))
        {
            let age_s = now_ms.saturating_sub(j.rec.rec.at_ms) as f64 / 1000.0;
            if self.service_levels.objectives.end_within(&j.spec).is_some_and(|a| age_s > a) {
                late.push((uid.clone(), j.spec.clone(), j.rec.rec.at_ms));
            }
        }
        for (uid, spec, at_ms) in late {
            self.service_levels.missed.insert(uid);
            self.note_end(&spec, at_ms);
        }
        let view = &self.state;
        self.service_levels.missed.retain(|uid| view.jobs.contains_key(uid));
    }
}
