//! Scaling in: releases machines that never came up, and drains machines that have been
//! idle for long.

#![warn(missing_docs)]

use super::*;
use crate::controller::sharding::GroupRewrite;
use crate::placement::MachineCapacity;
use crate::protocol::cloud::{MAX_MACHINES_PER_RELEASE, Phase};
use crate::protocol::store::{Condition, Op};
use crate::protocol::user::JobKind;
use crate::scaling::all_fit;
use records::MachineRecord;

/// Tasks of arrays and gangs that waited up to this many boot times ago still count as
/// waiting. The second value applies while cost is saved.
const RECENT_WAIT_BOOTS: [f64; 2] = [4.0, 1.0];
/// Idle machines are kept this many times longer while objectives are being missed. The
/// second value applies while cost is saved.
const MISSED_OBJECTIVES_KEEP_FACTOR: [f64; 2] = [20.0, 4.0];

/// The smallest number of free cores over the time for which idle machines are kept.
#[derive(Debug)]
struct LeastFreeCores {
    /// For on-demand machines while cost is saved.
    on_demand: f64,
    /// For spot machines, and for all machines while rentals are cheap compared with the
    /// base fleet.
    cheap: f64,
}

/// Idle machines chosen to be drained.
#[derive(Debug, Default)]
struct IdleMachines {
    machines: Vec<IdleMachine>,
    /// The names of the machines by machine group.
    groups: BTreeMap<String, Vec<String>>,
}

/// An idle machine chosen to be drained, and its free cores.
#[derive(Debug)]
struct IdleMachine {
    name: String,
    free_cores: f64,
}

impl Controller {
    /// Seconds after its rental at which a machine of this type that is not up counts as
    /// failed. Practically infinite for an unknown type.
    pub(super) fn boot_limit_s(&self, machine_type: &str) -> f64 {
        self.machine_type(machine_type)
            .map_or(f64::MAX, |machine_type| machine_type.startup_s * self.config.operator.late_boots)
    }

    /// Records which machines are up now, and forgets those without a record.
    pub(super) fn update_up_times(&mut self) {
        let now = self.now;
        let mut last_up_at = std::mem::take(&mut self.autoscaler.last_up_at);
        last_up_at.retain(|name, _| self.state.machines.contains_key(name));
        for name in self.state.machines.keys().filter(|name| self.is_up(name)) {
            match last_up_at.get_mut(name) {
                Some(at) => *at = now,
                None => _ = last_up_at.insert(name.clone(), now),
            }
        }
        self.autoscaler.last_up_at = last_up_at;
    }

    /// Whether the machine is up or was up recently, before it fell silent. A machine that
    /// fell silent is not one that is still booting. Its owner decides what becomes of it,
    /// since the owner knows which other machines fell silent at the same time.
    pub(super) fn fell_silent(&self, name: &str) -> bool {
        let recent = self.secs(self.config.deployment.workers.lease_s * agents::CUT_OFF_LEASES);
        let listed = !self.cloud.unlisted().contains(name);
        listed && self.autoscaler.last_up_at.get(name).is_some_and(|at| self.now.saturating_sub(*at) < recent)
    }

    /// Releases machines that failed, and machines that were rented and never came up.
    pub(super) fn release_failed_machines(&mut self) {
        let mut names = Vec::new();
        // A recorded machine that stays silent for too long is not going to come up either,
        // even if the cloud does not list it.
        let now = self.now;
        let unseen_before = std::mem::take(&mut self.autoscaler.unseen_since);
        let mut already_released = Vec::new();
        let mut unseen = HashMap::new();
        for (name, machine) in self.state.machines.iter().filter(|(name, _)| !self.is_up(name)) {
            let since = unseen_before.get(name).copied().unwrap_or(now);
            unseen.insert(name.clone(), since);
            if self.releases.is_released(name) {
                already_released.push(name.clone());
            } else if now.saturating_sub(since).as_secs_f64() > self.boot_limit_s(&machine.rec.machine_type)
                && !self.releases.is_released_or_in_flight(name)
                && !self.fell_silent(name)
            {
                names.push(name.clone());
            }
        }
        self.autoscaler.unseen_since = unseen;
        self.remove_machines(already_released);
        for (name, listed) in self.cloud.machines() {
            let excluded = self.is_up(name) || names.contains(name) || self.fell_silent(name);
            let late = listed.phase != Phase::Failed && listed.rented_s > self.boot_limit_s(&listed.machine_type);
            if !excluded && (late || listed.phase == Phase::Failed) && !self.releases.is_released_or_in_flight(name) {
                names.push(name.clone());
            }
        }
        names.truncate(MAX_MACHINES_PER_RELEASE);
        if !names.is_empty() && self.may_call_cloud(RetryPurpose::Release) {
            tracing::info!(machines = names.len(), reason = "boot_timeout", "machine release requested");
            self.release_machines(names);
        }
    }

    /// Drains machines once at least as many cores as theirs have been free for long. A
    /// draining machine takes no new tasks and is released when it is empty. The time follows
    /// from what replacing the machine would take, since keeping it for a boot time costs as
    /// much as renting it again. Cheap machines are kept for longer while objectives are being
    /// missed.
    pub(super) fn drain_idle_machines(&mut self) {
        let with_owners = self.capacities(true);
        let capacities: Vec<MachineCapacity> = with_owners.into_iter().map(|(_, capacity)| capacity).collect();
        let saves_cost = self.saves_cost(&capacities);
        let least_free = self.update_free_cores(&capacities, saves_cost);
        let removable = self.removable_machines(&capacities, &least_free, saves_cost);
        let chosen = self.choose_idle(&removable, &least_free, saves_cost);
        if chosen.machines.is_empty() || !self.demand_fits_without(&chosen, &capacities) {
            return;
        }
        for (group, names) in &chosen.groups {
            if self.set_drain(group, names, true) {
                let in_group = chosen.machines.iter().filter(|machine| names.contains(&machine.name));
                self.autoscaler.free_cores.remove_cores(in_group.map(|machine| machine.free_cores).sum());
            }
        }
    }

    /// Records how many cores are free now, and returns the smallest numbers of free cores
    /// over the times for which idle machines are kept.
    fn update_free_cores(&mut self, capacities: &[MachineCapacity], saves_cost: bool) -> LeastFreeCores {
        let now = self.now;
        if self.runnable_jobs().any(|job| job.waiting_count() > 0 && job.spec.kind != JobKind::Service) {
            self.autoscaler.batch_waited_at = Some(now);
        }
        let free_cores = capacities.iter().map(|capacity| capacity.free_cores()).sum();
        self.autoscaler.free_cores.record(now, free_cores);
        let on_demand = self.idle_window(1.0);
        let cheap = self.idle_window(self.cheap_keep_factor(saves_cost));
        let longest = self.idle_window(MISSED_OBJECTIVES_KEEP_FACTOR[0]);
        self.autoscaler.free_cores.drop_older_than(now, longest);
        let tolerance = self.heartbeat_intervals(1.0);
        let least = |window| self.autoscaler.free_cores.least_over(now, window, tolerance);
        LeastFreeCores { on_demand: least(on_demand), cheap: least(cheap) }
    }

    /// How many times longer than others cheap machines are kept. Missed objectives are a
    /// reason to keep machines only if tasks of arrays or gangs have waited recently.
    fn cheap_keep_factor(&self, saves_cost: bool) -> f64 {
        let policy = usize::from(saves_cost);
        let recent = self.secs(self.cloud.longest_startup_s() * RECENT_WAIT_BOOTS[policy]);
        let batch_waited = self.autoscaler.batch_waited_at.is_some_and(|at| self.now.saturating_sub(at) < recent);
        let missed = batch_waited && self.service_levels.objectives.any_missed_recently();
        if missed { MISSED_OBJECTIVES_KEEP_FACTOR[policy] } else { 1.0 }
    }

    /// How long capacity has to be free before its machine is drained: `factor` times the
    /// setting `idle_boots` times what a replacement would take, which is the boot of a
    /// machine and the fetch of an image. Jobs that can run on no machine do not count.
    fn idle_window(&self, factor: f64) -> Duration {
        let pull_gb_per_s = self.cloud.fastest_pull_gb_per_s();
        let (mut jobs, mut seconds_until_image) = (0.0, 0.0);
        for job in self.runnable_jobs() {
            jobs += 1.0;
            seconds_until_image += job.spec.image_gb / pull_gb_per_s;
        }
        let mean_image_s = seconds_until_image / f64::max(jobs, 1.0);
        let replacement_s = self.cloud.longest_startup_s() + mean_image_s;
        self.secs(replacement_s * self.config.operator.idle_boots * factor)
    }

    /// Machines that may be drained, in the order in which they are chosen. Machines with
    /// services are left out, since services are not moved for this. On-demand machines,
    /// which cost more, come before spot machines, and less used machines before others.
    fn removable_machines<'a>(
        &self,
        capacities: &'a [MachineCapacity],
        least_free: &LeastFreeCores,
        saves_cost: bool,
    ) -> Vec<&'a MachineCapacity> {
        let has_services =
            |name: &str| self.state.machine_loads.get(name).is_some_and(|load| !load.service_replicas.is_empty());
        let group_locked =
            |machine: &MachineRecord| self.transactions.is_locked(&records::machine_group_key(&machine.group));
        let mut removable: Vec<&MachineCapacity> = capacities
            .iter()
            .filter(|c| c.total_cores <= if c.spot || !saves_cost { least_free.cheap } else { least_free.on_demand })
            .filter(|c| !has_services(&c.machine))
            .filter(|c| {
                let machine = self.state.machines.get(&c.machine);
                machine.is_some_and(|machine| !machine.rec.is_base && !group_locked(&machine.rec))
            })
            .collect();
        removable.sort_by(|a, b| {
            let used = |c: &MachineCapacity| c.total_cores - c.free_cores();
            a.spot.cmp(&b.spot).then(used(a).total_cmp(&used(b))).then_with(|| b.machine.cmp(&a.machine))
        });
        removable
    }

    /// Chooses machines to drain: no more cores than have been free all the time, and no
    /// more machine groups than there are writes to spare for now.
    fn choose_idle(
        &self,
        removable: &[&MachineCapacity],
        least_free: &LeastFreeCores,
        saves_cost: bool,
    ) -> IdleMachines {
        let spare_writes =
            self.transactions.unspent_writes(self.now) - self.transactions.write_rate() * SPARE_WRITES_FRACTION;
        let max_groups = if self.may_write(0.0) { spare_writes.max(0.0) as usize } else { 0 };
        // Unless cost is saved, machines are drained one at a time: the capacity of several
        // might be needed again before replacements are up.
        let max_machines = if saves_cost { usize::MAX } else { 1 };
        let mut cores_left = least_free.on_demand.max(least_free.cheap);
        let mut chosen = IdleMachines::default();
        for capacity in removable {
            if chosen.machines.len() >= max_machines {
                break;
            }
            let Some(machine) = self.state.machines.get(&capacity.machine) else { continue };
            let group = &machine.rec.group;
            let over_groups = chosen.groups.len() >= max_groups && !chosen.groups.contains_key(group);
            if capacity.total_cores > cores_left || over_groups {
                continue;
            }
            cores_left -= capacity.total_cores;
            let (name, free_cores) = (capacity.machine.clone(), capacity.free_cores());
            chosen.machines.push(IdleMachine { name, free_cores });
            chosen.groups.entry(group.clone()).or_default().push(capacity.machine.clone());
        }
        chosen
    }

    /// Whether all demand fits in the fleet without these machines, so that nothing would
    /// be rented in their place.
    fn demand_fits_without(&self, chosen: &IdleMachines, capacities: &[MachineCapacity]) -> bool {
        let demand = self.demand(capacities);
        let leaving: BTreeSet<&str> = chosen.machines.iter().map(|machine| machine.name.as_str()).collect();
        let stays = |capacity: &MachineCapacity| !leaving.contains(capacity.machine.as_str());
        let lasting = self.capacities_counting(true, CountedTasks::ExceptArrays).into_iter().map(|(_, c)| c);
        let mut for_services: Vec<MachineCapacity> = lasting.filter(stays).collect();
        let mut for_others: Vec<MachineCapacity> = capacities.iter().filter(|c| stays(c)).cloned().collect();
        all_fit(&demand.services, &mut for_services) && all_fit(&demand.others, &mut for_others)
    }

    /// Sets or clears the drain mark of machines of one machine group. False if the group's
    /// record cannot be written now.
    pub(super) fn set_drain(&mut self, group: &str, names: &[String], drain: bool) -> bool {
        let Some((conditions, op)) = self.drain_change(group, names, drain) else { return false };
        tracing::debug!(machines = ?names, drain, "drain marks changed");
        let mut txn = Txn { conditions: vec![self.leader_condition()], ops: vec![op] };
        txn.conditions.extend(conditions);
        self.transact_locking_machines(txn, TxnPurpose::Mark);
        true
    }

    /// The write that sets or clears the drain mark of machines of one machine group, with
    /// its conditions. None if the group has no record, or while another write of its record
    /// is in flight.
    pub(in crate::controller) fn drain_change(
        &self,
        group: &str,
        names: &[String],
        drain: bool,
    ) -> Option<([Condition; 2], Op)> {
        let GroupRewrite { key, mut record, conditions } = self.group_rewrite(group)?;
        record.draining.retain(|name| !names.contains(name));
        if drain {
            record.draining.extend_from_slice(names);
        }
        Some((conditions, Op::Put { key, data: records::to_value(&record), lease: None }))
    }
}
