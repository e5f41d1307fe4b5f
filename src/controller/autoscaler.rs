//! Renting and returning machines, by the leader: what the cloud offers and
//! lists, what is wanted beyond it, what stood idle long enough.

use super::registration::GROUP_FROM;
use super::scheduler::OPTIMISTIC_RUN_SHARE;
use super::*;
use crate::placement::MachineCapacity;
use crate::protocol::cloud::{
    CATALOG, Catalog, Page, Phase, RELEASE_LIMIT, RENT, RENT_LIMIT, RentRequest, RentResponse, list_path,
};
use crate::protocol::store::{Condition, Op};
use crate::protocol::user::{JobKind, JobSpec};
use crate::protocol::{decode, encode};
use crate::scaling::{Demand, Offer, Rental, fits, take_up, wanted_rentals};
use records::{MachineGroupRecord, MachineRecord};

/// The cloud's catalog and list of machines, and this controller's part of its rate limit.
#[derive(Debug)]
pub(super) struct CloudAccess {
    /// This controller's part of the cloud's request limit.
    pub(super) rate: Account,
    /// Machine types of the catalog.
    pub(super) types: Vec<MachineType>,
    /// When the catalog is read next.
    pub(super) types_next: Instant,
    /// A read of the catalog is under way.
    pub(super) types_busy: bool,
    /// Machines by the newest list.
    pub(super) list: BTreeMap<String, ListedMachine>,
    /// When each machine was first listed.
    pub(super) listed_since: HashMap<String, Instant>,
    /// Recorded machines that the cloud lists no more, or as failed.
    pub(super) unlisted: BTreeSet<String>,
    /// The list that is being read.
    pub(super) list_new: BTreeMap<String, ListedMachine>,
    /// When the cloud first refused a later page of the list that is being read, for its
    /// rate: the pages before it are kept, and the list goes on there.
    pub(super) list_stalled: Option<Instant>,
    /// When the newest list was complete.
    pub(super) list_at: Option<Instant>,
    /// When the list is read next.
    pub(super) list_next: Instant,
    /// A page of the list is under way.
    pub(super) list_busy: bool,
}

impl CloudAccess {
    /// Nothing was read yet; `rate` is this controller's part of the requests a second.
    pub(super) fn new(rate: f64) -> CloudAccess {
        CloudAccess {
            rate: Account::new(rate),
            types: Vec::new(),
            types_next: Duration::ZERO,
            types_busy: false,
            list: BTreeMap::new(),
            listed_since: HashMap::new(),
            unlisted: BTreeSet::new(),
            list_new: BTreeMap::new(),
            list_stalled: None,
            list_at: None,
            list_next: Duration::ZERO,
            list_busy: false,
        }
    }
}

/// Scaling out and in, by the leader.
#[derive(Debug, Default)]
pub(super) struct Autoscaler {
    /// Machines that were rented and are not known to be up.
    pub(super) rented: BTreeMap<String, Rented>,
    /// Machines that were rented while the cluster began, by us or by the leader's word.
    pub(super) young: BTreeSet<String>,
    /// When each recorded machine was last known to be up.
    pub(super) up_at: HashMap<String, Instant>,
    /// Rentals whose machines shall be recorded together.
    pub(super) unrecorded: VecDeque<(crate::scaling::Offer, Vec<String>)>,
    /// Recorded machines that nobody hears, and since when.
    pub(super) unseen_since: HashMap<String, Instant>,
    /// Rental requests under way.
    pub(super) renting: u32,
    /// Offers that the cloud had none of, and until when they are not asked for.
    pub(super) refused: BTreeMap<crate::scaling::Offer, Instant>,
    /// Free cores of late, for the least that stayed free.
    pub(super) slack: VecDeque<(Instant, f64)>,
    /// When array tasks last waited.
    pub(super) pressed_at: Option<Instant>,
    /// When the fleet is looked at next.
    pub(super) check_next: Instant,
}

/// Machines that are given back to the cloud, and how many may be at a time.
#[derive(Debug)]
pub(super) struct Releases {
    /// Releases without an answer.
    pub(super) in_flight: BTreeSet<String>,
    /// Machines whose release was confirmed: nothing is left there.
    pub(super) gone: BTreeSet<String>,
    /// Releases of silent machines that may go now.
    pub(super) tokens: f64,
    /// When `tokens` was last refilled.
    pub(super) refilled_at: Instant,
}

impl Releases {
    /// Nothing was released yet.
    pub(super) fn new() -> Releases {
        Releases { in_flight: BTreeSet::new(), gone: BTreeSet::new(), tokens: 1.0, refilled_at: Duration::ZERO }
    }
}

/// A job that will be late gets machines for one in this many of its tasks.
const LATE_SHARE: u32 = 4;
/// Tasks that waited this many boot times ago still count as pressure; the
/// second holds while thrift is due.
const PRESSED_BOOTS: [f64; 2] = [4.0, 1.0];
/// Idle machines are kept this many times longer while aims are missed.
const BEHIND_KEEPS: [f64; 2] = [20.0, 4.0];
/// Ordinary machines for arrays that may use spot ones are not rented while
/// more than this part of what is up is booting.
const GROWTH: f64 = 0.5;
/// A machine that was listed for so many lags of the list is in any later list,
/// unless it is gone: lists are at most two lags old.
const SURE_LAGS: f64 = 2.5;
/// A machine type takes no more than this of a record.
const CATALOG_BYTES: usize = 512;
/// The cloud's answer above its rate limit.
const TOO_MANY_REQUESTS: u16 = 429;
/// The fleet is looked at this often while the machine list grows old.
const FLEET_LAG_SHARE: f64 = 0.1;

impl Controller {
    pub(super) fn fetch_types(&mut self) {
        let due = self.now >= self.cloud.types_next || self.cloud.types.is_empty();
        if self.cloud.types_busy || !due || !self.may_ask(Retry::Catalog) {
            return;
        }
        self.cloud.types_busy = true;
        self.cloud.rate.charge(self.now, 1.0);
        self.cloud.types_next = self.now + self.secs(self.config.settings.workers.lease_s);
        let timeout = self.heartbeat_intervals(2.0);
        self.call(Target::Cloud, "GET", CATALOG.into(), None, timeout, Purpose::Catalog);
    }

    /// Keeps the catalog in the store, so that whoever starts while the cloud does not
    /// answer knows what can run.
    fn store_catalog(&mut self) {
        let stored = self.state.catalog.as_ref();
        let most = (self.config.settings.state.value_kb * 1024.0) as usize / CATALOG_BYTES;
        let told = self.cloud.types.is_empty()
            || self.cloud.types.len() > most
            || stored.is_some_and(|c| c.rec.has(&self.cloud.types));
        if told
            || self.transactions.locked_keys.contains(records::CATALOG_KEY)
            || !self.may_write(1.0 + self.transactions.rate.rate * ACCEPT_RESERVE)
        {
            return;
        }
        let key = records::CATALOG_KEY.to_string();
        let rec = records::CatalogRecord { types: self.cloud.types.clone() };
        let txn = Txn {
            conditions: vec![
                self.leader_condition(),
                Condition { key: key.clone(), version: stored.map_or(0, |c| c.version) },
            ],
            ops: vec![Op::Put { key, data: records::to_value(&rec), lease: None }],
        };
        self.txn_keyed(txn, Why::Catalog);
    }

    pub(super) fn fleet_tick(&mut self) {
        let now = self.now;
        if now < self.autoscaler.check_next {
            return;
        }
        let lag = self.secs(self.config.settings.cloud.list_lag_s * FLEET_LAG_SHARE);
        self.autoscaler.check_next = now + self.heartbeat_intervals(0.25).min(lag);
        if !self.cloud.list_busy && now >= self.cloud.list_next && self.may_ask(Retry::List) {
            self.cloud.list_busy = true;
            self.cloud.rate.charge(self.now, 1.0);
            let after = self.list_goes_on();
            self.list_page(&after);
        }
        self.store_catalog();
        if self.cloud.list_at.is_none() || self.cloud.types.is_empty() {
            return;
        }
        self.autoscaler.refused.retain(|_, until| *until > now);
        self.note_up();
        // A machine is a stray only once every worker had the time to come.
        if self.startup.all_came() {
            self.return_strays();
        }
        self.rent();
        if self.startup.fleet_known() {
            self.return_idle();
        }
    }

    /// Whether the cloud may be asked something now.
    pub(super) fn may_ask(&self, purpose: Retry) -> bool {
        self.retry.may(purpose, self.now) && self.cloud.rate.has(self.now, 1.0)
    }

    /// After which machine the list is read: from the beginning, or on from where the
    /// cloud's rate limit cut it short. A list of more pages than the cloud takes in one
    /// burst would otherwise never come to its end.
    fn list_goes_on(&mut self) -> String {
        if self.cloud.list_stalled.is_none() {
            self.cloud.list_new.clear();
        }
        self.cloud.list_new.keys().next_back().cloned().unwrap_or_default()
    }

    fn list_page(&mut self, after: &str) {
        let timeout = self.heartbeat_intervals(2.0);
        self.call(Target::Cloud, "GET", list_path(after), None, timeout, Purpose::List);
    }

    pub(super) fn cloud_answer(&mut self, purpose: Purpose, result: Result<Reply, NoAnswer>) {
        match purpose {
            Purpose::Catalog => {
                self.cloud.types_busy = false;
                if let Ok(r) = result
                    && r.status == 200
                    && let Ok(c) = decode::<Catalog>(&r.body)
                {
                    self.cloud.types = c.machine_types;
                    self.scheduler.request_round();
                } else {
                    self.cloud.types_next = self.now; // as soon as the retry policy allows
                }
            }
            Purpose::List => {
                let lag = self.config.settings.cloud.list_lag_s;
                self.cloud.list_busy = false;
                self.cloud.list_next = self.now + self.secs(lag / 2.0);
                let limited = result.as_ref().is_ok_and(|r| r.status == TOO_MANY_REQUESTS);
                if limited && !self.cloud.list_new.is_empty() {
                    self.cloud.list_stalled.get_or_insert(self.now);
                    self.cloud.list_next = self.now; // as soon as the retry policy allows
                    return;
                }
                let stalled = self.cloud.list_stalled;
                let Ok(r) = result.inspect_err(|_| self.cloud.list_stalled = None) else { return };
                if r.status != 200 {
                    self.cloud.list_stalled = None;
                    return;
                }
                let Ok(page) = decode::<Page>(&r.body) else { return };
                let last = page.machines.last().map(|m| m.uid.clone());
                for m in page.machines {
                    self.cloud.list_new.insert(m.uid.clone(), m);
                }
                if let Some(last) = last
                    && page.truncated
                {
                    self.cloud.list_busy = true;
                    self.list_page(&last);
                    return;
                }
                self.cloud.list = std::mem::take(&mut self.cloud.list_new);
                self.cloud.list_at = Some(self.now);
                self.cloud.list_stalled = None;
                self.note_unlisted(stalled.unwrap_or(self.now));
                // A later list may be an older one, so what was rented stays on
                // our own books until it reports or is given up.
                let mut rented = std::mem::take(&mut self.autoscaler.rented);
                rented.retain(|name, r| {
                    !self.is_up(name)
                        && self.now.saturating_sub(r.at).as_secs_f64() < self.late_s(&r.offer.machine_type)
                });
                self.autoscaler.rented = rented;
            }
            Purpose::Rent { offer, number } => {
                self.autoscaler.renting = self.autoscaler.renting.saturating_sub(1);
                match result {
                    Ok(r) if r.status == 200 => {
                        let names = decode::<RentResponse>(&r.body).map(|b| b.machines).unwrap_or_default();
                        if (names.len() as u32) < number {
                            // Filled in part: there are no more for now.
                            self.autoscaler
                                .refused
                                .insert(offer.clone(), self.now + self.secs(self.config.settings.workers.lease_s));
                        }
                        tracing::info!(machine_type = %offer.machine_type, zone = %offer.zone, spot = offer.spot, machines = names.len(), "machines rented");
                        if names.len() as f64 >= self.transactions.rate.rate * GROUP_FROM {
                            self.autoscaler.unrecorded.push_back((offer.clone(), names.clone()));
                            self.enrol_rentals();
                        }
                        if self.beginning() {
                            // The others hear of it before one of them is up.
                            self.note_young(&names);
                            self.connectivity.hasten_heartbeat(self.now);
                        }
                        for n in names {
                            self.autoscaler.rented.insert(n, Rented { offer: offer.clone(), at: self.now });
                        }
                    }
                    Ok(r) if r.status == 503 => {
                        let pause = self.secs(self.config.settings.workers.lease_s);
                        self.autoscaler.refused.insert(offer, self.now + pause);
                    }
                    _ => {}
                }
            }
            _ => {}
        }
    }

    /// Machines that were listed and are no more are gone: once listed, they stay
    /// so. A list may be older than the one before it, by twice the lag at most,
    /// so a machine has to have been listed for longer than that. Their owners
    /// are told, and ask the cloud themselves before anything rests on it. `read_at`:
    /// when the first pages of the list had been read.
    fn note_unlisted(&mut self, read_at: Instant) {
        let now = self.now;
        let sure = self.secs(self.config.settings.cloud.list_lag_s * SURE_LAGS);
        for name in self.cloud.list.keys() {
            self.cloud.listed_since.entry(name.clone()).or_insert(now);
        }
        let (list, machines) = (&self.cloud.list, &self.state.machines);
        self.cloud.listed_since.retain(|name, _| list.contains_key(name) || machines.contains_key(name));
        let gone = |name: &String| match list.get(name) {
            Some(l) => l.phase == Phase::Failed,
            None => self.cloud.listed_since.get(name).is_some_and(|t| read_at.saturating_sub(*t) > sure),
        };
        let unlisted: BTreeSet<String> = machines.keys().filter(|name| gone(name)).cloned().collect();
        if !unlisted.is_subset(&self.cloud.unlisted) {
            self.connectivity.hasten_heartbeat(now); // their owners can prove it, and start their tasks elsewhere
        }
        self.cloud.unlisted = unlisted;
        self.agents.mark_unlisted(&self.cloud.unlisted);
    }

    fn late_s(&self, machine_type: &str) -> f64 {
        self.machine_type(machine_type).map_or(f64::MAX, |t| t.startup_s * self.config.operator.late_boots)
    }

    /// Which machines are up, or were before they fell silent.
    fn note_up(&mut self) {
        let now = self.now;
        let mut up_at = std::mem::take(&mut self.autoscaler.up_at);
        up_at.retain(|name, _| self.state.machines.contains_key(name));
        for name in self.state.machines.keys().filter(|name| self.is_up(name)) {
            match up_at.get_mut(name) {
                Some(at) => *at = now,
                None => _ = up_at.insert(name.clone(), now),
            }
        }
        self.autoscaler.up_at = up_at;
    }

    /// Whether the machine was up before it fell silent, not long ago: it is not coming,
    /// and its owner, which knows what fell silent with it, decides what becomes of it.
    fn fell_silent(&self, name: &str) -> bool {
        let long = self.secs(self.config.settings.workers.lease_s * agents::CUT_OFF_LEASES);
        let listed = !self.cloud.unlisted.contains(name);
        listed && self.autoscaler.up_at.get(name).is_some_and(|t| self.now.saturating_sub(*t) < long)
    }

    /// Machines that failed, or were rented and never came up, are returned.
    fn return_strays(&mut self) {
        let mut names = Vec::new();
        // Recorded, but neither listed nor heard: it never comes up either.
        let now = self.now;
        let before = std::mem::take(&mut self.autoscaler.unseen_since);
        let mut left = Vec::new();
        let mut unseen = HashMap::new();
        for (name, h) in self.state.machines.iter().filter(|(name, _)| !self.is_up(name)) {
            let since = before.get(name).copied().unwrap_or(now);
            unseen.insert(name.clone(), since);
            if self.releases.gone.contains(name) {
                left.push(name.clone());
            } else if now.saturating_sub(since).as_secs_f64() > self.late_s(&h.rec.machine_type)
                && !self.releases.in_flight.contains(name)
                && !self.fell_silent(name)
            {
                names.push(name.clone());
            }
        }
        self.autoscaler.unseen_since = unseen;
        self.forget_machines(left);
        for (name, l) in &self.cloud.list {
            let known = self.is_up(name) || names.contains(name) || self.fell_silent(name);
            let late = l.phase != Phase::Failed && l.rented_s > self.late_s(&l.machine_type);
            if !known
                && (late || l.phase == Phase::Failed)
                && !self.releases.gone.contains(name)
                && !self.releases.in_flight.contains(name)
            {
                names.push(name.clone());
            }
        }
        names.truncate(RELEASE_LIMIT);
        if !names.is_empty() && self.may_ask(Retry::Release) {
            tracing::info!(machines = names.len(), reason = "never came up", "machines are returned");
            self.release(names);
        }
    }

    /// Free room that is there or on its way.
    pub(super) fn expected_capacities(&self, counted: Counted) -> Vec<MachineCapacity> {
        let mut capacities: Vec<MachineCapacity> =
            self.capacities_counting(true, counted).into_iter().map(|(_, r)| r).collect();
        let coming = |name: &str| !self.is_up(name) && !self.releases.gone.contains(name) && !self.fell_silent(name);
        for (name, l) in &self.cloud.list {
            if matches!(l.phase, Phase::Booting | Phase::Running)
                && coming(name)
                && let Some(t) = self.machine_type(&l.machine_type)
            {
                capacities.push(MachineCapacity::empty(name, t, &l.zone, l.spot));
            }
        }
        for (name, r) in &self.autoscaler.rented {
            let young = self.now.saturating_sub(r.at) < self.secs(self.late_s(&r.offer.machine_type).min(1e6));
            if young
                && coming(name)
                && !self.cloud.list.contains_key(name)
                && let Some(t) = self.machine_type(&r.offer.machine_type)
            {
                capacities.push(MachineCapacity::empty(name, t, &r.offer.zone, r.offer.spot));
            }
        }
        // What may use spot machines counts on those first.
        capacities.sort_by_key(|r| !r.spot);
        capacities
    }

    /// So much boots already that what arrays need beyond it is not known yet:
    /// a fleet that begins with nothing would rent ordinary machines for all
    /// that gathered while the first ones boot.
    fn growing(&self, capacities: &[MachineCapacity]) -> bool {
        let (mut up, mut boots) = (0.0, 0.0);
        for r in capacities {
            let part = if self.is_up(&r.machine) { &mut up } else { &mut boots };
            *part += r.total_cores;
        }
        boots > up * GROWTH
    }

    /// Whether more is rented than stands there by the operators' own choice.
    /// Up to that, machines for late work are a small part of the cost and are
    /// rented freely; beyond it they are most of it.
    fn saves_cost(&self, capacities: &[MachineCapacity]) -> bool {
        let base = |r: &MachineCapacity| self.state.machines.get(&r.machine).is_some_and(|h| h.rec.base);
        let stands: f64 = capacities.iter().filter(|r| base(r)).map(|r| r.total_cores).sum();
        capacities.iter().map(|r| r.total_cores).sum::<f64>() > stands * 2.0
    }

    /// Waiting tasks: first those of services that must start soon, with room
    /// to spare for them, then all others. The first may count on room that
    /// arrays use, since those can be preempted.
    fn demand(&self, capacities: &[MachineCapacity]) -> (Vec<Demand<'_>>, Vec<Demand<'_>>) {
        let cores: f64 = capacities.iter().map(|r| r.total_cores).sum();
        let saves_cost = self.saves_cost(capacities);
        let growing = saves_cost && self.growing(capacities);
        let all_saved = !saves_cost && self.service_levels.objectives.behind();
        let boot = self.cloud.types.iter().map(|t| t.startup_s).fold(f64::MAX, f64::min);
        let (mut services, mut arrays) = (Vec::new(), Vec::new());
        let leaving = self.leaving();
        let mut run = (0.0, 0.0);
        let mut spare: BTreeMap<&str, (&JobSpec, u32)> = BTreeMap::new();
        let soon = |spec: &JobSpec| {
            spec.kind == JobKind::Service && self.service_levels.objectives.start_within(spec).is_some()
        };
        for j in self.state.jobs.values().filter(|j| !j.cancelled()) {
            let mut n = j.waiting_count();
            if j.spec.kind == JobKind::Service {
                n += leaving.get(j.spec.uid.as_str()).copied().unwrap_or(0);
            }
            // A machine rented now does not save a job that will be late all
            // the same: it makes do with less, unless aims are missed and
            // machines are cheap beside what stands there.
            let age_s = self.wall_ms().saturating_sub(j.rec.rec.at_ms) as f64 / 1000.0;
            let aim_s = self.service_levels.objectives.end_from(
                &j.spec,
                age_s,
                boot + j.spec.estimated_run_s * OPTIMISTIC_RUN_SHARE,
            );
            let lost = aim_s.is_some_and(|a| a - age_s < boot + j.spec.estimated_run_s * OPTIMISTIC_RUN_SHARE);
            let lost = lost && !all_saved;
            if lost {
                n = n.div_ceil(LATE_SHARE);
            }
            if n > 0 {
                let zones = self.state.zones_of(j);
                let d = Demand {
                    spec: &j.spec,
                    tasks: n,
                    spot_only: lost || growing,
                    zones,
                    of: j.spec.task_count,
                    spare: false,
                };
                if soon(&j.spec) {
                    services.push(d);
                } else {
                    let slack_s =
                        aim_s.map_or(0.0, |a| a - age_s - boot - j.spec.estimated_run_s * OPTIMISTIC_RUN_SHARE);
                    arrays.push((slack_s, d));
                }
            }
            if j.spec.kind == JobKind::Array {
                run.0 += f64::from(j.spec.task_count) * j.spec.estimated_run_s;
                run.1 += f64::from(j.spec.task_count);
            }
            if soon(&j.spec) {
                let e = spare.entry(&j.spec.class).or_insert((&j.spec, 0));
                e.1 += j.spec.task_count;
            }
        }
        // The services of any one machine must find room elsewhere at once.
        let mut zone_affinity: BTreeMap<&str, u32> = BTreeMap::new();
        for (class, n) in self.state.loads.values().flat_map(|l| &l.standing) {
            let most = zone_affinity.entry(class).or_default();
            *most = (*n).max(*most);
        }
        for (class, (spec, n)) in spare {
            let share = (f64::from(n) * self.config.operator.spare_share).ceil() as u32 + 1;
            let tasks = share.max(zone_affinity.get(class).copied().unwrap_or(0));
            services.push(Demand::spare(spec, tasks));
        }
        // Jobs that are lost take what the others leave.
        arrays.sort_by(|(a, c), (b, d)| {
            d.spec.priority.cmp(&c.spec.priority).then((*a < 0.0).cmp(&(*b < 0.0))).then(a.total_cmp(b))
        });
        // Room that running tasks leave soon enough serves jobs that can wait
        // for it: only the rest is worth an ordinary machine.
        let freed_per_s = if run.0 > 0.0 { cores * run.1 / run.0 } else { 0.0 };
        let mut before = 0.0;
        let mut split = Vec::new();
        for (slack_s, d) in arrays {
            let turns = (freed_per_s * slack_s.max(0.0) - before).max(0.0) / d.spec.cores.max(f64::MIN_POSITIVE);
            let waits = if d.spot_only {
                d.tasks
            } else if !saves_cost {
                0
            } else {
                turns.min(f64::from(d.tasks)) as u32
            };
            before += f64::from(waits) * d.spec.cores;
            let part = |tasks, spot_only| Demand { tasks, spot_only, zones: d.zones.clone(), ..d };
            split.extend([part(d.tasks - waits, false), part(waits, true)].into_iter().filter(|d| d.tasks > 0));
        }
        (services, split)
    }

    fn rent(&mut self) {
        if self.autoscaler.renting > 0 || !self.may_ask(Retry::Rent) {
            return;
        }
        let refused: BTreeSet<Offer> = self.autoscaler.refused.keys().cloned().collect();
        let mut all = self.expected_capacities(Counted::All);
        let (services, arrays) = self.demand(&all);
        let most = RENT_LIMIT * (self.cloud.rate.level(self.now) as u32).max(1);
        let mut rentals =
            wanted_rentals(&services, self.expected_capacities(Counted::Lasting), &self.cloud.types, &refused, most);
        // What stands free for arrays is not known before the fleet is.
        let arrays = if self.startup.fleet_known() { arrays } else { Vec::new() };
        let left = most - rentals.iter().map(|r| r.number).sum::<u32>().min(most);
        take_up(&services, &mut all);
        rentals.extend(wanted_rentals(&arrays, all, &self.cloud.types, &refused, left));
        // One request asks for so many at most.
        let parts = |r: Rental| {
            let n = r.number.div_ceil(RENT_LIMIT);
            (0..n).map(move |i| Rental { number: (r.number - i * RENT_LIMIT).min(RENT_LIMIT), ..r.clone() })
        };
        for mut r in rentals.into_iter().flat_map(parts) {
            // Machines on their way out are the quickest to have.
            while let Some((group, mut names)) = self.draining(&r.offer).filter(|_| r.number > 0 && self.may_write(1.0))
            {
                names.truncate(r.number as usize);
                if !self.mark_drain(&group, &names, false) {
                    break;
                }
                r.number -= names.len() as u32;
            }
            if r.number == 0 {
                continue;
            }
            if !self.may_ask(Retry::Rent) {
                return;
            }
            self.cloud.rate.charge(self.now, 1.0);
            self.autoscaler.renting += 1;
            self.leadership.request_count += 1;
            let request_id = format!("fq-{}-{}", self.term(), self.leadership.request_count);
            let body = encode(&RentRequest {
                request_id: request_id.as_str().into(),
                machine_type: r.offer.machine_type.as_str().into(),
                zone: r.offer.zone.as_str().into(),
                spot: r.offer.spot,
                number: r.number,
            });
            let timeout = self.heartbeat_intervals(2.0);
            let purpose = Purpose::Rent { offer: r.offer, number: r.number };
            self.call(Target::Cloud, "POST", RENT.into(), Some(body), timeout, purpose);
        }
    }

    /// Marks machines for return once their room, or as much, stayed free for
    /// long: they take nothing new and go when they are empty. The time is the
    /// boot time, at which keeping a machine has cost as much as renting again.
    /// While aims are missed cheap ones are kept for longer.
    fn return_idle(&mut self) {
        let now = self.now;
        let capacities = self.capacities(true);
        let boot = self.cloud.types.iter().map(|t| t.startup_s).fold(0.0, f64::max);
        let waits = self.state.jobs.values().any(|j| j.waiting_count() > 0 && j.spec.kind != JobKind::Service);
        if waits {
            self.autoscaler.pressed_at = Some(now);
        }
        let plain: Vec<MachineCapacity> = capacities.iter().map(|(_, r)| r.clone()).collect();
        let saves_cost = usize::from(self.saves_cost(&plain));
        // Missed aims are a reason to keep machines only where tasks waited of late.
        let pressed = self
            .autoscaler
            .pressed_at
            .is_some_and(|t| now.saturating_sub(t) < self.secs(boot * PRESSED_BOOTS[saves_cost]));
        let keeps = if pressed && self.service_levels.objectives.behind() { BEHIND_KEEPS[saves_cost] } else { 1.0 };
        let free: f64 = capacities.iter().map(|(_, r)| r.free_cores()).sum();
        self.autoscaler.slack.push_back((now, free));
        // Whoever comes after a machine has to wait for a boot and an image.
        let pull = self.cloud.types.iter().map(|t| t.pull_gb_per_s).fold(f64::MIN_POSITIVE, f64::max);
        let images = self.state.jobs.values().map(|j| j.spec.image_gb / pull);
        let again = boot + images.sum::<f64>() / (self.state.jobs.len() as f64).max(1.0);
        let window = |times: f64| self.secs(again * self.config.operator.idle_boots * times);
        let (short, long) = (window(1.0), window(keeps));
        let longest = window(BEHIND_KEEPS[0]);
        while self.autoscaler.slack.front().is_some_and(|(t, _)| now.saturating_sub(*t) > longest) {
            self.autoscaler.slack.pop_front();
        }
        // The least that was free over a whole window; nothing before that.
        let least = |window: Duration| {
            let whole = self
                .autoscaler
                .slack
                .front()
                .is_some_and(|(t, _)| now.saturating_sub(*t) + self.heartbeat_intervals(1.0) > window);
            let within = self.autoscaler.slack.iter().rev().take_while(|(t, _)| now.saturating_sub(*t) <= window);
            if whole { within.map(|s| s.1).fold(f64::INFINITY, f64::min) } else { 0.0 }
        };
        let (least_short, least_long) = (least(short), least(long));
        let standing = |name: &str| self.state.loads.get(name).is_some_and(|l| !l.standing.is_empty());
        let group_busy =
            |h: &MachineRecord| self.transactions.locked_keys.contains(&records::machine_group_key(&h.group));
        // Services are not moved for this; of the rest, the dearer kind goes
        // first, and then the least used.
        let mut able: Vec<&MachineCapacity> = capacities
            .iter()
            .map(|(_, r)| r)
            .filter(|r| {
                r.total_cores <= if r.spot || saves_cost == 0 { least_long } else { least_short }
                    && !standing(&r.machine)
            })
            .filter(|r| self.state.machines.get(&r.machine).is_some_and(|h| !h.rec.base && !group_busy(&h.rec)))
            .collect();
        able.sort_by(|a, b| {
            let used = |r: &MachineCapacity| r.total_cores - r.free_cores();
            a.spot.cmp(&b.spot).then(used(a).total_cmp(&used(b))).then_with(|| b.machine.cmp(&a.machine))
        });
        let spare = self.transactions.rate.level(now) - self.transactions.rate.rate * SPARE_WRITES;
        let most = if self.may_write(0.0) { spare.max(0.0) as usize } else { 0 };
        // Machines beside a standing fleet go one by one: room that several
        // free at once may be wanted again before new ones are up.
        let most_machines = if saves_cost == 0 { 1 } else { usize::MAX };
        let mut left = least_short.max(least_long);
        let mut chosen: Vec<(String, f64)> = Vec::new();
        let mut machine_groups: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for r in able {
            let Some(h) = self.state.machines.get(&r.machine) else { continue };
            if chosen.len() >= most_machines {
                break;
            }
            if r.total_cores > left || (machine_groups.len() >= most && !machine_groups.contains_key(&h.rec.group)) {
                continue;
            }
            left -= r.total_cores;
            chosen.push((r.machine.clone(), r.free_cores()));
            machine_groups.entry(h.rec.group.clone()).or_default().push(r.machine.clone());
        }
        if chosen.is_empty() {
            return;
        }
        let (services, arrays) = self.demand(&plain);
        let stays = |capacities: Vec<(String, MachineCapacity)>| -> Vec<MachineCapacity> {
            let gone: BTreeSet<&str> = chosen.iter().map(|c| c.0.as_str()).collect();
            capacities.into_iter().map(|(_, r)| r).filter(|r| !gone.contains(r.machine.as_str())).collect()
        };
        let lasting = self.capacities_counting(true, Counted::Lasting);
        if !fits(&services, &mut stays(lasting)) || !fits(&arrays, &mut stays(capacities)) {
            return;
        }
        for (group, names) in machine_groups {
            if self.mark_drain(&group, &names, true) {
                let cores: f64 = chosen.iter().filter(|c| names.contains(&c.0)).map(|c| c.1).sum();
                for s in &mut self.autoscaler.slack {
                    s.1 -= cores;
                }
            }
        }
    }

    /// Marks machines of one pack.
    fn mark_drain(&mut self, group: &str, names: &[String], drain: bool) -> bool {
        let Some((conditions, op)) = self.marked_group(group, names, drain) else { return false };
        tracing::debug!(machines = ?names, drain, "machines marked");
        let mut txn = Txn { conditions: vec![self.leader_condition()], ops: vec![op] };
        txn.conditions.extend(conditions);
        self.txn_keyed(txn, Why::Mark);
        true
    }

    /// The change that marks machines of one pack; none while another is under way.
    pub(super) fn marked_group(&self, group: &str, names: &[String], drain: bool) -> Option<([Condition; 2], Op)> {
        let key = records::machine_group_key(group);
        let p = self.state.machine_groups.get(group).filter(|_| !self.transactions.locked_keys.contains(&key))?;
        let mut rec = self.state.in_force(p);
        rec.drain.retain(|m| !names.contains(m));
        if drain {
            rec.drain.extend_from_slice(names);
        }
        let conditions = [Condition { key: key.clone(), version: p.version }, self.shard_condition_of(&p.rec.owner)];
        Some((conditions, Op::Put { key, data: records::to_value(&rec), lease: None }))
    }

    /// Machines of a kind, in one pack, that are being drained and not released yet.
    fn draining(&self, offer: &Offer) -> Option<(String, Vec<String>)> {
        let campaign = |m: &String| self.state.maintenance.as_ref().is_some_and(|u| u.rec.wave.contains(m));
        let same = |p: &MachineGroupRecord| {
            p.machine_type == offer.machine_type && p.zone == offer.zone && p.spot == offer.spot
        };
        let mut machine_groups = self
            .state
            .machine_groups
            .iter()
            .filter(|(_, p)| !p.rec.drain.is_empty() && same(&p.rec) && self.state.held(p));
        machine_groups.find_map(|(group, p)| {
            let kept: Vec<String> =
                p.rec.drain.iter().filter(|m| self.state.placed.contains_key(*m) && !campaign(m)).cloned().collect();
            let free = !self.transactions.locked_keys.contains(&records::machine_group_key(group));
            (free && !kept.is_empty()).then(|| (group.clone(), kept))
        })
    }
}
