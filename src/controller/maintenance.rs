//! Maintenance campaigns: the leader writes waves and permits, and the owners of the machines
//! stop a replica that has a permit once it can start elsewhere at once.

#![warn(missing_docs)]

use super::journal::max_value_bytes;
use super::*;
use crate::coordination::log_writer::MAX_VALUES_BYTES;
use crate::maintenance::budget::TeamReplicas;
use crate::maintenance::campaign::{
    Campaign, Candidate, DisruptionPermit, MaintenanceRecord, Step, StepLimits, WaitReason, next_step,
};
use crate::placement::{MachineCapacity, zone_capacity};
use crate::protocol::encode;
use crate::protocol::store::{Condition, Op};
use crate::protocol::user::JobKind;
use crate::state::Job;

/// State of the campaign that this process keeps beside the stored record.
#[derive(Debug, Default)]
pub(super) struct Maintenance {
    /// Permits whose replica has been placed elsewhere and may not run yet, and since when.
    starting: BTreeMap<DisruptionPermit, Instant>,
    /// Permits for this controller's machines, and since when they are known.
    known_since: BTreeMap<DisruptionPermit, Instant>,
    /// Why the campaign did not advance when this was last logged.
    logged_wait: Option<WaitReason>,
}

/// A replica that was placed on a machine with its image counts as running after this many
/// heartbeat intervals, since its start command is sent with the answer to the next heartbeat
/// at the latest. A replica with a permit waits as long for capacity on a machine with its image.
const START_INTERVALS: f64 = 2.0;
/// The largest number of permits in one step. It limits by how much a step makes the record
/// grow, which holds the names of machines and the permits.
const MAX_PERMITS_PER_STEP: usize = 16;

impl Controller {
    /// The current campaign, or else the first one that is not finished, by name. A campaign
    /// that is added to the file with an earlier name waits for the current one.
    fn campaign(&self, rec: &MaintenanceRecord) -> Option<(&String, &Campaign)> {
        let campaigns = &self.config.operator.campaign;
        let unfinished = || campaigns.iter().find(|(name, _)| !rec.finished_campaigns.contains(name));
        campaigns.get_key_value(&rec.name).or_else(unfinished)
    }

    /// Advances maintenance, on the leader: begins campaigns and waves, and issues permits as
    /// budgets allow.
    pub(super) fn advance_maintenance(&mut self) {
        let stored = self.state.maintenance.as_ref().map(|versioned| versioned.rec.clone()).unwrap_or_default();
        let campaign = self.campaign(&stored).map(|(name, campaign)| (name.clone(), campaign.clone()));
        let idle = stored.name.is_empty() && stored.wave.is_empty();
        if idle && campaign.is_none()
            || !self.startup.fleet_known()
            || self.transactions.is_locked(records::MAINTENANCE_KEY)
            || !self.may_write(1.0 + self.transactions.write_rate() * SUBMISSION_RESERVE_FRACTION)
        {
            return;
        }
        let mut rec = stored.clone();
        let Some((name, campaign)) = campaign.filter(|(name, _)| idle || *name == stored.name) else {
            // The campaign was cancelled: the machines of its wave take tasks again.
            let undrained = std::mem::take(&mut rec.wave);
            rec.permits.clear();
            tracing::info!(campaign = %stored.name, machines = undrained.len(), "campaign cancelled");
            self.write_maintenance(rec, &undrained, false);
            return;
        };
        if stored.name != name {
            let last_machine = self.state.machines.keys().next_back().cloned().unwrap_or_default();
            let finished = std::mem::take(&mut rec.finished_campaigns);
            rec = MaintenanceRecord {
                name: name.clone(),
                last_machine,
                finished_campaigns: finished,
                ..MaintenanceRecord::default()
            };
        }
        rec.wave.retain(|name| self.state.machines.contains_key(name));
        rec.machines_gone += (stored.wave.len() - rec.wave.len().min(stored.wave.len())) as u32;
        rec.finished_waves += u32::from(rec.wave.is_empty() && !stored.wave.is_empty());
        self.return_permits(&mut rec);
        let remaining = self.candidates(&campaign, &rec.last_machine);
        let teams = self.replicas_by_team(&rec);
        let budget = |team: &str| self.config.operator.budget.get(team).copied().unwrap_or_default();
        let longest_name = remaining.iter().map(|candidate| candidate.name.len()).max().unwrap_or(0);
        let limits = StepLimits::for_record(max_value_bytes(&self.config), longest_name, MAX_PERMITS_PER_STEP);
        let Step { wave, permits, finished, wait } = next_step(&rec, &campaign, &remaining, &teams, budget, limits);
        if self.maintenance.logged_wait != wait {
            tracing::info!(campaign = %name, waves = rec.finished_waves, gone = rec.machines_gone, left = remaining.len(), ?wait, "campaign progress");
            self.maintenance.logged_wait = wait;
        }
        if finished {
            tracing::info!(campaign = %name, waves = rec.finished_waves, gone = rec.machines_gone, "campaign finished");
            rec.finished_campaigns.push(std::mem::take(&mut rec.name));
        }
        for permit in &permits {
            tracing::debug!(job = %permit.job, index = permit.index, machine = %permit.machine, "disruption permit issued");
        }
        rec.permits.extend(permits);
        rec.wave.extend(wave.iter().cloned());
        self.write_maintenance(rec, &wave, true);
    }

    /// Whether the permit's replica is still placed on its machine.
    fn is_still_placed(&self, permit: &DisruptionPermit) -> bool {
        let placed = self.state.placed_tasks.get(&permit.machine);
        placed.and_then(|tasks| tasks.get(&(permit.job.clone(), permit.index))) == Some(&permit.attempt)
    }

    /// Returns permits to the budget: those whose replica is proved gone from its machine, and
    /// either runs again or is no longer wanted.
    fn return_permits(&mut self, rec: &mut MaintenanceRecord) {
        let start_time = self.heartbeat_intervals(START_INTERVALS);
        let pull_gb_per_s = self.cloud.slowest_pull_gb_per_s();
        let now = self.now;
        let mut starting = std::mem::take(&mut self.maintenance.starting);
        starting.retain(|permit, _| rec.permits.contains(permit));
        rec.permits.retain(|permit| {
            if self.is_still_placed(permit) {
                return true;
            }
            let Some(job) = self.state.jobs.get(&permit.job).filter(|job| !job.cancelled()) else { return false };
            if job.placed < job.spec.task_count {
                starting.remove(permit);
                return true;
            }
            // Its image may have to be fetched first, at worst at the lowest rate.
            let fetch_time = self.secs(job.spec.image_gb / pull_gb_per_s);
            now.saturating_sub(*starting.entry(permit.clone()).or_insert(now)) < start_time + fetch_time
        });
        self.maintenance.starting = starting;
    }

    /// The existing machines that the campaign selects, up to the machine `last_machine`.
    fn candidates(&self, campaign: &Campaign, last_machine: &str) -> Vec<Candidate> {
        let selected = |name: &str, machine: &records::MachineRecord| {
            name <= last_machine && campaign.selects(name, &machine.machine_type, &machine.zone, machine.spot)
        };
        let machines = self.state.machines.iter().filter(|(name, machine)| selected(name, &machine.rec));
        machines.map(|(name, _)| self.candidate(name)).collect()
    }

    /// What a campaign needs to know about this machine.
    fn candidate(&self, name: &str) -> Candidate {
        let heard = self.recently_heard(name);
        let mut candidate = Candidate { name: name.to_string(), heard, ..Candidate::default() };
        for ((uid, index), attempt) in self.state.placed_tasks.get(name).into_iter().flatten() {
            let Some(job) = self.state.jobs.get(uid) else { continue };
            match job.spec.kind {
                JobKind::Service => {
                    let machine = name.to_string();
                    let permit = DisruptionPermit { job: uid.clone(), index: *index, attempt: *attempt, machine };
                    candidate.replicas.push((permit, job.spec.team.clone()));
                }
                JobKind::Array => candidate.array_cores += job.spec.cores,
                JobKind::Gang => candidate.has_gang = true,
            }
        }
        candidate
    }

    /// Whether this or another controller has heard the machine recently.
    fn recently_heard(&self, name: &str) -> bool {
        let limit = self.heartbeat_intervals(agents::MAX_HEARTBEAT_GAP_INTERVALS);
        let heard_here = self.agents.machine(name).and_then(|machine| machine.heard_at);
        heard_here.is_some_and(|at| self.now.saturating_sub(at) < limit)
            || self.peer_has_newer_heartbeat(name, limit * 2)
    }

    /// How many service replicas each team wants, and how many of these are away: waiting, on
    /// a machine that no controller hears, or with a permit.
    fn replicas_by_team(&self, rec: &MaintenanceRecord) -> BTreeMap<String, TeamReplicas> {
        let mut teams: BTreeMap<String, TeamReplicas> = BTreeMap::new();
        for job in self.state.jobs.values().filter(|job| job.spec.kind == JobKind::Service && !job.cancelled()) {
            let replicas = teams.entry(job.spec.team.clone()).or_default();
            replicas.wanted += job.spec.task_count;
            replicas.away += job.spec.task_count - job.placed.min(job.spec.task_count);
        }
        let silent = self.state.placed_tasks.iter().filter(|(name, _)| !self.recently_heard(name));
        let on_silent = silent.flat_map(|(_, tasks)| tasks.keys()).map(|(uid, _)| uid);
        // Replicas with a permit on silent machines are counted in `on_silent` already. Replicas in
        // `starting` are placed again, but not known to run.
        let is_away = |permit: &&DisruptionPermit| {
            self.maintenance.starting.contains_key(*permit)
                || self.is_still_placed(permit) && self.recently_heard(&permit.machine)
        };
        let with_permit = rec.permits.iter().filter(is_away).map(|permit| &permit.job);
        let away = on_silent.chain(with_permit).filter_map(|uid| self.state.jobs.get(uid));
        for job in away.filter(|job| job.spec.kind == JobKind::Service) {
            teams.entry(job.spec.team.clone()).or_default().away += 1;
        }
        teams
    }

    /// Writes the record, and sets or clears the drain marks of the `marked` machines, in one
    /// transaction.
    fn write_maintenance(&mut self, mut rec: MaintenanceRecord, marked: &[String], drain: bool) {
        let stored = self.state.maintenance.as_ref();
        let version = stored.map_or(0, |versioned| versioned.version);
        let key = records::MAINTENANCE_KEY.to_string();
        let mut txn = Txn { conditions: vec![self.leader_condition()], ops: Vec::new() };
        let mut machine_groups: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for name in marked {
            if let Some(machine) = self.state.machines.get(name) {
                machine_groups.entry(machine.rec.group.clone()).or_default().push(name.clone());
            }
        }
        let max_groups = self.config.deployment.state.txn_ops - 1;
        let mut bytes_left = MAX_VALUES_BYTES.saturating_sub(encode(&rec).len());
        for (index, (group, names)) in machine_groups.iter().enumerate() {
            let change = (index < max_groups).then(|| self.drain_change(group, names, drain)).flatten();
            let bytes = change.as_ref().map_or(0, |(_, op)| encode(op).len());
            let change = change.filter(|_| bytes <= bytes_left);
            bytes_left = bytes_left.saturating_sub(bytes);
            match change {
                Some((conditions, op)) => {
                    txn.conditions.extend(conditions);
                    txn.ops.push(op);
                }
                // The group's record is locked by another transaction, or this one is full: its
                // machines are marked later.
                None if drain => rec.wave.retain(|name| !names.contains(name)),
                None => rec.wave.extend(names.iter().cloned()),
            }
        }
        if !drain && rec.wave.is_empty() {
            rec.name.clear();
        }
        if stored.is_some_and(|versioned| versioned.rec == rec) {
            return; // the records of all groups to be marked are locked by other transactions
        }
        txn.conditions.push(Condition { key: key.clone(), version });
        txn.ops.push(Op::Put { key, data: records::to_value(&rec), lease: None });
        self.transact_locking_machines(txn, TxnPurpose::Maintenance);
    }

    /// Stops replicas that have a permit, on the owner of their machine, once they can start
    /// elsewhere at once.
    pub(super) fn stop_permitted_replicas(&mut self) {
        let Some(maintenance) = self.state.maintenance.as_ref().filter(|stored| !stored.rec.permits.is_empty()) else {
            return;
        };
        let image_wait = self.heartbeat_intervals(START_INTERVALS);
        let mut own_capacities: Option<Vec<MachineCapacity>> = None;
        let mut all_capacities: Option<Vec<MachineCapacity>> = None;
        let mut stops: Vec<(String, (String, u32, u64))> = Vec::new();
        let mut known_since = std::mem::take(&mut self.maintenance.known_since);
        known_since.retain(|permit, _| maintenance.rec.permits.contains(permit));
        for permit in &maintenance.rec.permits {
            let Some(agent) = self.agents.machine(&permit.machine) else { continue };
            let key = (permit.job.clone(), permit.index, permit.attempt);
            let Some(job) = self.state.jobs.get(&permit.job).filter(|job| !job.cancelled()) else { continue };
            if !self.is_still_placed(permit) || agent.preempted.contains_key(&key) || agent.has_ended(&key) {
                continue;
            }
            let capacities =
                |all_owners| self.capacities(all_owners).into_iter().map(|(_, c)| c).collect::<Vec<MachineCapacity>>();
            let own = own_capacities.get_or_insert_with(|| capacities(false));
            let fits_on_own = self.reserve_elsewhere(own, &permit.machine, job, true);
            // If there is no capacity where the image is for some time, any capacity will do. The
            // replica then stays away, and counts against the budget, during the fetch as well.
            let waited = self.now.saturating_sub(*known_since.entry(permit.clone()).or_insert(self.now)) >= image_wait;
            let can_move = fits_on_own
                || waited && {
                    let all = all_capacities.get_or_insert_with(|| capacities(true));
                    self.reserve_elsewhere(all, &permit.machine, job, true)
                        || self.reserve_elsewhere(all, &permit.machine, job, false)
                };
            if can_move {
                stops.push((permit.machine.clone(), key));
            }
        }
        self.maintenance.known_since = known_since;
        for (machine, key) in stops {
            tracing::debug!(job = %key.0, index = key.1, %machine, "replica stopped for a campaign");
            self.agents.mark_preempted(agents::Preemption::of_task(&machine, key, 0.0));
            self.push_commands(&machine);
        }
    }

    /// Whether a replica on `machine` could start in one of these capacities, which is then
    /// reduced by what the replica needs. With `needs_image`, only machines that hold its image
    /// count, where it can start at once.
    pub(super) fn reserve_elsewhere(
        &self,
        capacities: &mut [MachineCapacity],
        machine: &str,
        job: &Job,
        needs_image: bool,
    ) -> bool {
        let zone = self.state.machines.get(machine).map(|stored| stored.rec.zone.as_str());
        let mut tasks_by_zone = self.state.tasks_by_zone(job);
        if let Some(tasks) = zone.and_then(|zone| tasks_by_zone.get_mut(zone)) {
            *tasks -= 1;
        }
        let can_start = |capacity: &&mut MachineCapacity| {
            let zone_allows = zone_capacity(&job.spec, job.spec.task_count, &tasks_by_zone, &capacity.zone) > 0;
            zone_allows
                && capacity.fitting_tasks(&job.spec) > 0
                && (!needs_image || capacity.seconds_until_image(&job.spec) <= 0.0)
        };
        match capacities.iter_mut().find(can_start) {
            Some(capacity) => {
                capacity.take(&job.spec, 1);
                true
            }
            None => false,
        }
    }

    /// The number of tasks placed on machines of the wave, by job. They will need capacity
    /// elsewhere.
    pub(super) fn replicas_leaving(&self) -> BTreeMap<&str, u32> {
        let mut leaving: BTreeMap<&str, u32> = BTreeMap::new();
        let wave = self.state.maintenance.iter().flat_map(|stored| &stored.rec.wave);
        for ((uid, _), _) in wave.filter_map(|name| self.state.placed_tasks.get(name)).flatten() {
            *leaving.entry(uid).or_default() += 1;
        }
        leaving
    }
}
