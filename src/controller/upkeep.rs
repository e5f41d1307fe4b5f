//! Campaigns: the leader writes waves and tickets, the owners of the machines stop
//! what has a ticket once it can start elsewhere at once.

use super::*;
use crate::bookkeeping::Job;
use crate::placement::{Room, zone_room};
use crate::protocol::store::{Cond, Op};
use crate::protocol::user::Form;
use crate::upkeep::budget::Standing;
use crate::upkeep::campaign::{Campaign, Candidate, Step, Ticket, UpkeepRec, next};

/// A replica that was placed elsewhere, with its image there, runs after so many report
/// intervals: its order goes with the next report at the latest. As long is waited for
/// room where the image is.
const SETTLE_REPORTS: f64 = 2.0;
/// A step may take this part of a record: names of machines and tickets.
const TICKETS: usize = 16;

impl Controller {
    /// The campaign that is under way, or the next one; one that comes into the file with
    /// an earlier name waits for it.
    fn campaign(&self, rec: &UpkeepRec) -> Option<(&String, &Campaign)> {
        let all = &self.set.operator.campaign;
        let open = || all.iter().find(|(name, _)| !rec.finished.contains(name));
        all.get_key_value(&rec.name).or_else(open)
    }

    /// By the leader: begins campaigns, waves and moves as budgets allow.
    pub(super) fn upkeep_tick(&mut self) {
        let stored = self.view.upkeep.as_ref().map(|u| u.rec.clone()).unwrap_or_default();
        let campaign = self.campaign(&stored).map(|(name, c)| (name.clone(), c.clone()));
        let idle = stored.name.is_empty() && stored.wave.is_empty();
        if idle && campaign.is_none()
            || !self.start.fleet_known()
            || self.busy.contains(records::UPKEEP_KEY)
            || !self.may_write(1.0 + self.writes.rate * ACCEPT_RESERVE)
        {
            return;
        }
        let mut rec = stored.clone();
        let Some((name, campaign)) = campaign.filter(|(name, _)| idle || *name == stored.name) else {
            // It was withdrawn: half-emptied machines take work again.
            let again = std::mem::take(&mut rec.wave);
            rec.tickets.clear();
            tracing::info!(campaign = %stored.name, machines = again.len(), "campaign is withdrawn");
            self.write_upkeep(rec, &again, false);
            return;
        };
        if stored.name != name {
            let upto = self.view.hosts.keys().next_back().cloned().unwrap_or_default();
            let finished = std::mem::take(&mut rec.finished);
            rec = UpkeepRec { name: name.clone(), upto, finished, ..UpkeepRec::default() };
        }
        rec.wave.retain(|m| self.view.hosts.contains_key(m));
        rec.gone += (stored.wave.len() - rec.wave.len().min(stored.wave.len())) as u32;
        rec.waves += u32::from(rec.wave.is_empty() && !stored.wave.is_empty());
        self.return_tickets(&mut rec);
        let left = self.candidates(&campaign, &rec.upto);
        let teams = self.standing_of_teams(&rec);
        let budget = |team: &str| self.set.operator.budget.get(team).copied().unwrap_or_default();
        let Step { wave, tickets, over, wait } = next(&rec, &campaign, &left, &teams, budget, TICKETS);
        if self.upkeep_wait != wait {
            tracing::info!(campaign = %name, waves = rec.waves, gone = rec.gone, left = left.len(), ?wait, "campaign");
            self.upkeep_wait = wait;
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
        self.write_upkeep(rec, &wave, true);
    }

    /// Whether the ticket's replica still has its place.
    fn stands(&self, t: &Ticket) -> bool {
        let on = self.view.placed.get(&t.machine);
        on.and_then(|p| p.get(&(t.job.clone(), t.index))) == Some(&t.attempt)
    }

    /// Tickets whose replica is proved gone from its machine, and runs again or is
    /// wanted no more, go back to the budget.
    fn return_tickets(&mut self, rec: &mut UpkeepRec) {
        let settle = self.report_s(SETTLE_REPORTS);
        let pull = self.types.iter().map(|t| t.pull_gb_per_s).fold(f64::INFINITY, f64::min);
        let now = self.now;
        let mut moved = std::mem::take(&mut self.settling);
        moved.retain(|t, _| rec.tickets.contains(t));
        rec.tickets.retain(|t| {
            if self.stands(t) {
                return true;
            }
            let Some(job) = self.view.jobs.get(&t.job).filter(|j| !j.withdrawn()) else { return false };
            if job.placed < job.spec.parcels {
                moved.remove(t);
                return true;
            }
            // Its image may have to come first, at the slowest rate there is.
            let fetch = self.secs(job.spec.size_gb / pull);
            now.saturating_sub(*moved.entry(t.clone()).or_insert(now)) < settle + fetch
        });
        self.settling = moved;
    }

    /// Machines that the campaign takes and that are there.
    fn candidates(&self, campaign: &Campaign, upto: &str) -> Vec<Candidate> {
        let takes = |n: &str, h: &records::HostRec| n <= upto && campaign.takes(n, &h.build, &h.site, h.spot);
        let hosts = self.view.hosts.iter().filter(|(n, h)| takes(n, &h.rec));
        hosts.map(|(name, _)| self.candidate(name)).collect()
    }

    fn candidate(&self, name: &str) -> Candidate {
        let heard = self.heard_now(name);
        let mut c = Candidate { name: name.to_string(), heard, ..Candidate::default() };
        for ((uid, index), attempt) in self.view.placed.get(name).into_iter().flatten() {
            let Some(j) = self.view.jobs.get(uid) else { continue };
            match j.spec.form {
                Form::Standing => {
                    let machine = name.to_string();
                    let ticket = Ticket { job: uid.clone(), index: *index, attempt: *attempt, machine };
                    c.standing.push((ticket, j.spec.desk.clone()));
                }
                Form::Batch => c.arrays += j.spec.cores,
                Form::Ensemble => c.gang = true,
            }
        }
        c
    }

    fn heard_now(&self, name: &str) -> bool {
        let limit = self.report_s(perches::HEARD_REPORTS);
        let ours = self.machines.get(name).and_then(|m| m.heard_at);
        ours.is_some_and(|t| self.now.saturating_sub(t) < limit) || self.told_newer(name, limit * 2)
    }

    /// What each team's services want, and what of it is away: waiting, where nobody
    /// hears the machine, or under a ticket.
    fn standing_of_teams(&self, rec: &UpkeepRec) -> BTreeMap<String, Standing> {
        let mut teams: BTreeMap<String, Standing> = BTreeMap::new();
        for j in self.view.jobs.values().filter(|j| j.spec.form == Form::Standing && !j.withdrawn()) {
            let s = teams.entry(j.spec.desk.clone()).or_default();
            s.wanted += j.spec.parcels;
            s.away += j.spec.parcels - j.placed.min(j.spec.parcels);
        }
        let silent = self.view.placed.iter().filter(|(name, _)| !self.heard_now(name));
        let unheard = silent.flat_map(|(_, on)| on.keys()).map(|(uid, _)| uid);
        // Those on silent machines are counted there; moved ones are placed again, but
        // not known to run.
        let ticket = |t: &&Ticket| self.settling.contains_key(*t) || self.stands(t) && self.heard_now(&t.machine);
        let ticketed = rec.tickets.iter().filter(ticket).map(|t| &t.job);
        let away = unheard.chain(ticketed).filter_map(|uid| self.view.jobs.get(uid));
        for j in away.filter(|j| j.spec.form == Form::Standing) {
            teams.entry(j.spec.desk.clone()).or_default().away += 1;
        }
        teams
    }

    /// Writes the record down with the marks of machines, in one transaction.
    fn write_upkeep(&mut self, mut rec: UpkeepRec, marked: &[String], drain: bool) {
        let stored = self.view.upkeep.as_ref();
        let version = stored.map_or(0, |u| u.version);
        let key = records::UPKEEP_KEY.to_string();
        let mut txn = Txn { conds: vec![self.lead_cond()], ops: Vec::new() };
        let mut packs: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for m in marked {
            if let Some(h) = self.view.hosts.get(m) {
                packs.entry(h.rec.pack.clone()).or_default().push(m.clone());
            }
        }
        let most = self.set.settings.state.txn_ops - 1;
        for (n, (pack, names)) in packs.iter().enumerate() {
            let marks = (n < most).then(|| self.marked_pack(pack, names, drain)).flatten();
            match marks {
                Some((conds, op)) => {
                    txn.conds.extend(conds);
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
        txn.conds.push(Cond { key: key.clone(), entry_no: version });
        txn.ops.push(Op::Put { key, data: records::to_value(&rec), lease: None });
        self.txn_keyed(txn, Why::Upkeep);
    }

    /// By the owner of a machine: replicas that have a ticket are stopped once they can
    /// start elsewhere at once.
    pub(super) fn move_ticketed(&mut self) {
        let Some(upkeep) = self.view.upkeep.as_ref().filter(|u| !u.rec.tickets.is_empty()) else { return };
        let patience = self.report_s(SETTLE_REPORTS);
        let (mut ours, mut all): (Option<Vec<Room>>, Option<Vec<Room>>) = (None, None);
        let mut stops: Vec<(String, (String, u32, u64))> = Vec::new();
        let mut since = std::mem::take(&mut self.ticketed);
        since.retain(|t, _| upkeep.rec.tickets.contains(t));
        for t in &upkeep.rec.tickets {
            let Some(m) = self.machines.get(&t.machine) else { continue };
            let key = (t.job.clone(), t.index, t.attempt);
            let Some(j) = self.view.jobs.get(&t.job).filter(|j| !j.withdrawn()) else { continue };
            if !self.stands(t) || m.preempted.contains_key(&key) || m.is_over(&key) {
                continue;
            }
            let rooms = |everyone| self.rooms(everyone).into_iter().map(|r| r.1).collect::<Vec<Room>>();
            let here = self.takes_elsewhere(ours.get_or_insert_with(|| rooms(false)), &t.machine, j, true);
            // Where its image is there is no room: any room will do, with the fetch as
            // part of what the budget is spent on.
            let waited = self.now.saturating_sub(*since.entry(t.clone()).or_insert(self.now)) >= patience;
            let go = here
                || waited && {
                    let all = all.get_or_insert_with(|| rooms(true));
                    self.takes_elsewhere(all, &t.machine, j, true) || self.takes_elsewhere(all, &t.machine, j, false)
                };
            if go {
                stops.push((t.machine.clone(), key));
            }
        }
        self.ticketed = since;
        for (machine, key) in stops {
            tracing::debug!(job = %key.0, index = key.1, %machine, "moved for a campaign");
            if let Some(m) = self.machines.get_mut(&machine) {
                m.preempted.insert(key, 0.0);
            }
            self.push(&machine);
        }
    }

    /// Whether a replica on `machine` could start in one of these rooms, at once where
    /// its image has to be there; takes the room.
    pub(super) fn takes_elsewhere(&self, rooms: &mut [Room], machine: &str, j: &Job, image: bool) -> bool {
        let site = self.view.hosts.get(machine).map(|h| h.rec.site.as_str());
        let mut zones = self.view.zones_of(j);
        if let Some(n) = site.and_then(|s| zones.get_mut(s)) {
            *n -= 1;
        }
        let takes = |r: &&mut Room| {
            let free = zone_room(&j.spec, j.spec.parcels, &zones, &r.site) > 0;
            free && r.fits(&j.spec) > 0 && (!image || r.image_s(&j.spec) <= 0.0)
        };
        match rooms.iter_mut().find(takes) {
            Some(room) => {
                room.take(&j.spec, 1);
                true
            }
            None => false,
        }
    }

    /// Replicas on machines of the wave, by job: they will want room.
    pub(super) fn leaving(&self) -> BTreeMap<&str, u32> {
        let mut leaving: BTreeMap<&str, u32> = BTreeMap::new();
        let wave = self.view.upkeep.iter().flat_map(|u| &u.rec.wave);
        for ((uid, _), _) in wave.filter_map(|m| self.view.placed.get(m)).flatten() {
            *leaving.entry(uid).or_default() += 1;
        }
        leaving
    }
}
