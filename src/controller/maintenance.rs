//! Campaigns: the leader writes waves and tickets, the owners of the machines stop
//! what has a ticket once it can start elsewhere at once.

use super::*;
use crate::maintenance::budget::TeamReplicas;
use crate::maintenance::campaign::{Campaign, Candidate, MaintenanceRecord, Step, Ticket, Wait, next};
use crate::placement::{MachineCapacity, zone_capacity};
use crate::protocol::store::{Condition, Op};
use crate::protocol::user::JobKind;
use crate::state::Job;

/// What this process knows of the campaign beyond its record.
#[derive(Debug, Default)]
pub(super) struct Maintenance {
    /// Tickets whose replica was placed elsewhere, and since when.
    settling: BTreeMap<Ticket, Instant>,
    /// Tickets for machines of ours, and since when they are known.
    ticketed: BTreeMap<Ticket, Instant>,
    /// What the campaign waited for when it was last logged.
    wait: Option<Wait>,
}

/// A replica that was placed elsewhere, with its image there, runs after so many report
/// intervals: its order goes with the next report at the latest. As long is waited for
/// room where the image is.
const SETTLE_REPORTS: f64 = 2.0;
/// A step may take this part of a record: names of machines and tickets.
const TICKETS: usize = 16;

impl Controller {
    /// The campaign that is under way, or the next one; one that comes into the file with
    /// an earlier name waits for it.
    fn campaign(&self, rec: &MaintenanceRecord) -> Option<(&String, &Campaign)> {
        let all = &self.config.operator.campaign;
        let open = || all.iter().find(|(name, _)| !rec.finished.contains(name));
        all.get_key_value(&rec.name).or_else(open)
    }

    /// By the leader: begins campaigns, waves and moves as budgets allow.
    pub(super) fn advance_maintenance(&mut self) {
        let stored = self.state.maintenance.as_ref().map(|u| u.rec.clone()).unwrap_or_default();
        let campaign = self.campaign(&stored).map(|(name, c)| (name.clone(), c.clone()));
        let idle = stored.name.is_empty() && stored.wave.is_empty();
        if idle && campaign.is_none()
            || !self.startup.fleet_known()
            || self.transactions.is_locked(records::MAINTENANCE_KEY)
            || !self.may_write(1.0 + self.transactions.write_rate() * ACCEPT_RESERVE)
        {
            return;
        }
        let mut rec = stored.clone();
        let Some((name, campaign)) = campaign.filter(|(name, _)| idle || *name == stored.name) else {
            // It was cancelled: half-emptied machines take work again.
            let again = std::mem::take(&mut rec.wave);
            rec.tickets.clear();
            tracing::info!(campaign = %stored.name, machines = again.len(), "campaign is withdrawn");
            self.write_maintenance(rec, &again, false);
            return;
        };
        if stored.name != name {
            let upto = self.state.machines.keys().next_back().cloned().unwrap_or_default();
            let finished = std::mem::take(&mut rec.finished);
            rec = MaintenanceRecord { name: name.clone(), upto, finished, ..MaintenanceRecord::default() };
        }
        rec.wave.retain(|m| self.state.machines.contains_key(m));
        rec.gone += (stored.wave.len() - rec.wave.len().min(stored.wave.len())) as u32;
        rec.waves += u32::from(rec.wave.is_empty() && !stored.wave.is_empty());
        self.return_tickets(&mut rec);
        let left = self.candidates(&campaign, &rec.upto);
        let teams = self.standing_of_teams(&rec);
        let budget = |team: &str| self.config.operator.budget.get(team).copied().unwrap_or_default();
        let Step { wave, tickets, over, wait } = next(&rec, &campaign, &left, &teams, budget, TICKETS);
        if self.maintenance.wait != wait {
            tracing::info!(campaign = %name, waves = rec.waves, gone = rec.gone, left = left.len(), ?wait, "campaign");
            self.maintenance.wait = wait;
        }
        if over {
            tracing::info!(campaign = %name, waves = rec.waves, gone = rec.gone, "campaign is over");
            rec.finished.push(std::mem::take(&mut rec.name));
        }
        for t in &tickets {
            tracing::debug!(job = %t.job, index = t.index, machine = %t.machine, "ticket");
        }
        rec.tickets.extend(tickets);
        rec.wave.extend(wave.iter().cloned());
        self.write_maintenance(rec, &wave, true);
    }

    /// Whether the ticket's replica still has its place.
    fn stands(&self, t: &Ticket) -> bool {
        let on = self.state.placed.get(&t.machine);
        on.and_then(|p| p.get(&(t.job.clone(), t.index))) == Some(&t.attempt)
    }

    /// Tickets whose replica is proved gone from its machine, and runs again or is
    /// wanted no more, go back to the budget.
    fn return_tickets(&mut self, rec: &mut MaintenanceRecord) {
        let settle = self.heartbeat_intervals(SETTLE_REPORTS);
        let pull = self.cloud.slowest_pull_gb_per_s();
        let now = self.now;
        let mut moved = std::mem::take(&mut self.maintenance.settling);
        moved.retain(|t, _| rec.tickets.contains(t));
        rec.tickets.retain(|t| {
            if self.stands(t) {
                return true;
            }
            let Some(job) = self.state.jobs.get(&t.job).filter(|j| !j.cancelled()) else { return false };
            if job.placed < job.spec.task_count {
                moved.remove(t);
                return true;
            }
            // Its image may have to come first, at the slowest rate there is.
            let fetch = self.secs(job.spec.image_gb / pull);
            now.saturating_sub(*moved.entry(t.clone()).or_insert(now)) < settle + fetch
        });
        self.maintenance.settling = moved;
    }

    /// Machines that the campaign takes and that are there.
    fn candidates(&self, campaign: &Campaign, upto: &str) -> Vec<Candidate> {
        let takes =
            |n: &str, h: &records::MachineRecord| n <= upto && campaign.takes(n, &h.machine_type, &h.zone, h.spot);
        let machines = self.state.machines.iter().filter(|(n, h)| takes(n, &h.rec));
        machines.map(|(name, _)| self.candidate(name)).collect()
    }

    fn candidate(&self, name: &str) -> Candidate {
        let heard = self.heard_now(name);
        let mut c = Candidate { name: name.to_string(), heard, ..Candidate::default() };
        for ((uid, index), attempt) in self.state.placed.get(name).into_iter().flatten() {
            let Some(j) = self.state.jobs.get(uid) else { continue };
            match j.spec.kind {
                JobKind::Service => {
                    let machine = name.to_string();
                    let ticket = Ticket { job: uid.clone(), index: *index, attempt: *attempt, machine };
                    c.standing.push((ticket, j.spec.team.clone()));
                }
                JobKind::Array => c.arrays += j.spec.cores,
                JobKind::Gang => c.gang = true,
            }
        }
        c
    }

    fn heard_now(&self, name: &str) -> bool {
        let limit = self.heartbeat_intervals(agents::MAX_HEARTBEAT_GAP);
        let ours = self.agents.machine(name).and_then(|m| m.heard_at);
        ours.is_some_and(|t| self.now.saturating_sub(t) < limit) || self.reported_newer_elsewhere(name, limit * 2)
    }

    /// What each team's services want, and what of it is away: waiting, where nobody
    /// hears the machine, or under a ticket.
    fn standing_of_teams(&self, rec: &MaintenanceRecord) -> BTreeMap<String, TeamReplicas> {
        let mut teams: BTreeMap<String, TeamReplicas> = BTreeMap::new();
        for j in self.state.jobs.values().filter(|j| j.spec.kind == JobKind::Service && !j.cancelled()) {
            let s = teams.entry(j.spec.team.clone()).or_default();
            s.wanted += j.spec.task_count;
            s.away += j.spec.task_count - j.placed.min(j.spec.task_count);
        }
        let silent = self.state.placed.iter().filter(|(name, _)| !self.heard_now(name));
        let unheard = silent.flat_map(|(_, on)| on.keys()).map(|(uid, _)| uid);
        // Those on silent machines are counted there; moved ones are placed again, but
        // not known to run.
        let ticket =
            |t: &&Ticket| self.maintenance.settling.contains_key(*t) || self.stands(t) && self.heard_now(&t.machine);
        let ticketed = rec.tickets.iter().filter(ticket).map(|t| &t.job);
        let away = unheard.chain(ticketed).filter_map(|uid| self.state.jobs.get(uid));
        for j in away.filter(|j| j.spec.kind == JobKind::Service) {
            teams.entry(j.spec.team.clone()).or_default().away += 1;
        }
        teams
    }

    /// Writes the record down with the marks of machines, in one transaction.
    fn write_maintenance(&mut self, mut rec: MaintenanceRecord, marked: &[String], drain: bool) {
        let stored = self.state.maintenance.as_ref();
        let version = stored.map_or(0, |u| u.version);
        let key = records::MAINTENANCE_KEY.to_string();
        let mut txn = Txn { conditions: vec![self.leader_condition()], ops: Vec::new() };
        let mut machine_groups: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for m in marked {
            if let Some(h) = self.state.machines.get(m) {
                machine_groups.entry(h.rec.group.clone()).or_default().push(m.clone());
            }
        }
        let most = self.config.settings.state.txn_ops - 1;
        for (n, (group, names)) in machine_groups.iter().enumerate() {
            let marks = (n < most).then(|| self.marked_group(group, names, drain)).flatten();
            match marks {
                Some((conditions, op)) => {
                    txn.conditions.extend(conditions);
                    txn.ops.push(op);
                }
                // Its record is in another transaction: another time.
                None if drain => rec.wave.retain(|m| !names.contains(m)),
                None => rec.wave.extend(names.iter().cloned()),
            }
        }
        if !drain && rec.wave.is_empty() {
            rec.name.clear();
        }
        if stored.is_some_and(|u| u.rec == rec) {
            return; // all that is to be marked is in other transactions
        }
        txn.conditions.push(Condition { key: key.clone(), version });
        txn.ops.push(Op::Put { key, data: records::to_value(&rec), lease: None });
        self.txn_keyed(txn, Why::Maintenance);
    }

    /// By the owner of a machine: replicas that have a ticket are stopped once they can
    /// start elsewhere at once.
    pub(super) fn move_ticketed(&mut self) {
        let Some(maintenance) = self.state.maintenance.as_ref().filter(|u| !u.rec.tickets.is_empty()) else { return };
        let patience = self.heartbeat_intervals(SETTLE_REPORTS);
        let (mut ours, mut all): (Option<Vec<MachineCapacity>>, Option<Vec<MachineCapacity>>) = (None, None);
        let mut stops: Vec<(String, (String, u32, u64))> = Vec::new();
        let mut since = std::mem::take(&mut self.maintenance.ticketed);
        since.retain(|t, _| maintenance.rec.tickets.contains(t));
        for t in &maintenance.rec.tickets {
            let Some(m) = self.agents.machine(&t.machine) else { continue };
            let key = (t.job.clone(), t.index, t.attempt);
            let Some(j) = self.state.jobs.get(&t.job).filter(|j| !j.cancelled()) else { continue };
            if !self.stands(t) || m.preempted.contains_key(&key) || m.is_over(&key) {
                continue;
            }
            let capacities =
                |everyone| self.capacities(everyone).into_iter().map(|r| r.1).collect::<Vec<MachineCapacity>>();
            let here = self.takes_elsewhere(ours.get_or_insert_with(|| capacities(false)), &t.machine, j, true);
            // Where its image is there is no room: any room will do, with the fetch as
            // part of what the budget is spent on.
            let waited = self.now.saturating_sub(*since.entry(t.clone()).or_insert(self.now)) >= patience;
            let go = here
                || waited && {
                    let all = all.get_or_insert_with(|| capacities(true));
                    self.takes_elsewhere(all, &t.machine, j, true) || self.takes_elsewhere(all, &t.machine, j, false)
                };
            if go {
                stops.push((t.machine.clone(), key));
            }
        }
        self.maintenance.ticketed = since;
        for (machine, key) in stops {
            tracing::debug!(job = %key.0, index = key.1, %machine, "moved for a campaign");
            self.agents.mark_preempted(agents::Preemption::of_task(&machine, key, 0.0));
            self.push_commands(&machine);
        }
    }

    /// Whether a replica on `machine` could start in one of these rooms, at once where
    /// its image has to be there; takes the room.
    pub(super) fn takes_elsewhere(
        &self,
        capacities: &mut [MachineCapacity],
        machine: &str,
        j: &Job,
        image: bool,
    ) -> bool {
        let zone = self.state.machines.get(machine).map(|h| h.rec.zone.as_str());
        let mut zones = self.state.tasks_by_zone(j);
        if let Some(n) = zone.and_then(|s| zones.get_mut(s)) {
            *n -= 1;
        }
        let takes = |r: &&mut MachineCapacity| {
            let free = zone_capacity(&j.spec, j.spec.task_count, &zones, &r.zone) > 0;
            free && r.fits(&j.spec) > 0 && (!image || r.image_s(&j.spec) <= 0.0)
        };
        match capacities.iter_mut().find(takes) {
            Some(capacity) => {
                capacity.take(&j.spec, 1);
                true
            }
            None => false,
        }
    }

    /// Replicas on machines of the wave, by job: they will want room.
    pub(super) fn leaving(&self) -> BTreeMap<&str, u32> {
        let mut leaving: BTreeMap<&str, u32> = BTreeMap::new();
        let wave = self.state.maintenance.iter().flat_map(|u| &u.rec.wave);
        for ((uid, _), _) in wave.filter_map(|m| self.state.placed.get(m)).flatten() {
            *leaving.entry(uid).or_default() += 1;
        }
        leaving
    }
}
