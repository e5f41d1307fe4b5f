//! One controller: takes events, keeps the view and the wanted state, and runs
//! the loops that work out what to do. No sockets, no clock; `now` comes in
//! with every event.

mod agents;
mod api;
mod autoscaler;
mod capacity;
mod connectivity;
mod journal;
mod leadership;
mod maintenance;
mod quota;
mod registration;
mod scheduler;
mod sharding;
mod startup;
mod store_sync;
mod task_ranges;
mod transactions;

use crate::connectivity::account::Deaf;
use crate::connectivity::hearing::{At, Hearing, News};
use crate::connectivity::table::Links;
use crate::coordination::account::{Account, Charge, WritePriority};
use crate::coordination::fault_attribution::Tried;
use crate::coordination::log::Writer;
use crate::coordination::machine::Machine;
use crate::coordination::parts::Parts;
use crate::coordination::session::Session;
use crate::coordination::writes::Writes as OpenWrites;
use crate::effects::{Action, CallId, ConnId, Event, Instant, NoAnswer, Reply, Target};
use crate::maintenance::campaign::{Ticket, Wait};
use crate::placement::knapsack::Knapsack;
use crate::protocol::cloud::{ListedMachine, MachineType};
use crate::protocol::peer::{Frame, PeerHeartbeat};
use crate::protocol::store::{self, Txn};
use crate::protocol::worker::Heartbeat;
use crate::reconciliation::phase::Start;
use crate::requests::{Event as RequestEvent, Requests};
use crate::retry::{Outcome, Purpose as Retry, Retries, Returns, Side};
use crate::settings::Settings;
use crate::state::objectives::Aims;
use crate::state::records::{self, Versioned};
use crate::state::service_levels::{self, Served};
use crate::state::{ClusterState, Images, Resources};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;
use transactions::{Why, Writes};

/// Why a call was made; decides what its answer means.
#[derive(Debug)]
enum Purpose {
    Lease,
    Renew,
    Scan,
    Watch,
    Barrier,
    Catalog,
    List,
    Rent {
        offer: crate::scaling::Offer,
        number: u32,
    },
    Release {
        machines: Vec<String>,
    },
    Push {
        machine: String,
        grant: u64,
    },
    /// Whether a machine answers, and what: silent ones, unknown ones, and those that
    /// say less than was known when they were called.
    Probe {
        machine: String,
        known: At,
    },
    Txn {
        txn: Txn,
        why: Why,
        keys: Vec<String>,
        charge: Charge,
        sent: Instant,
    },
}

impl Purpose {
    /// What the retry policy knows it as; pushes to workers are voided, not repeated.
    fn retry(&self) -> Option<Retry> {
        Some(match self {
            Purpose::Lease => Retry::Lease,
            Purpose::Renew => Retry::Renew,
            Purpose::Scan => Retry::Load,
            Purpose::Watch => Retry::Watch,
            Purpose::Barrier => Retry::Barrier,
            Purpose::Catalog => Retry::Catalog,
            Purpose::List => Retry::List,
            Purpose::Rent { .. } => Retry::Rent,
            Purpose::Release { .. } => Retry::Release,
            Purpose::Txn { .. } => Retry::Write,
            Purpose::Push { .. } | Purpose::Probe { .. } => return None,
        })
    }
}

/// How a call ended, for the retry policy.
fn outcome(purpose: Retry, result: &Result<Reply, NoAnswer>) -> Outcome {
    match result {
        Err(NoAnswer) => Outcome::Failed,
        Ok(r) if r.status == 429 => Outcome::Limited,
        // A cloud that has no more of one offer is well.
        Ok(r) if r.status == 503 && purpose == Retry::Rent => {
            let error = crate::protocol::decode::<crate::protocol::user::ErrorBody>(&r.body);
            let none = error.is_ok_and(|e| e.error == NO_CAPACITY);
            if none { Outcome::Answered } else { Outcome::Failed }
        }
        Ok(r) if r.status == 503 => Outcome::Failed,
        Ok(_) => Outcome::Answered,
    }
}

/// The shortest pauses after a failure, as ratios to the settings.
fn pauses(set: &Settings, ttl: Duration, gap: Duration) -> Vec<(Retry, Duration)> {
    let report = Duration::from_secs_f64(set.settings.workers.heartbeat_interval_s);
    let lag = Duration::from_secs_f64(set.settings.cloud.list_lag_s);
    vec![
        (Retry::Lease, gap * 2),
        (Retry::Renew, ttl / 16),
        (Retry::Load, gap),
        (Retry::Watch, gap * 2),
        (Retry::Barrier, gap * 2),
        (Retry::Write, report / 10),
        (Retry::Catalog, report / 4),
        (Retry::List, lag / 8),
        (Retry::Rent, report / 4),
        (Retry::Release, report / 4),
    ]
}

/// Which of the tasks placed on a machine take up its room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Counted {
    All,
    /// Not arrays: those make room for services that must start soon.
    Lasting,
}

/// A report that waits for a grant to be made or seen.
#[derive(Debug)]
struct HeldHeartbeat {
    conn: ConnId,
    report: Heartbeat,
    news: News,
    until: Instant,
}

/// Exits of one job's tasks that are not in the store yet.
#[derive(Debug, Default)]
struct Change {
    /// When the first of them was seen.
    since: Instant,
    done: BTreeSet<u32>,
    /// Attempts known to be gone from their machine.
    clear: BTreeSet<(u32, u64)>,
}

impl Change {
    fn new(since: Instant) -> Change {
        Change { since, ..Change::default() }
    }
}

#[derive(Debug)]
struct Rented {
    offer: crate::scaling::Offer,
    at: Instant,
}

/// A machine's grant, as this process came to know it.
#[derive(Debug)]
struct Owned {
    grant: u64,
    since: Instant,
    owner: String,
    /// Whose it was before.
    from: Option<String>,
}

/// Waiting and failing of one job, as seen here.
#[derive(Debug, Default)]
struct Patience {
    waiting_since: Option<Instant>,
    /// How long it had waited by then, of a job that was known before this
    /// process was: its age goes on where the one before left off.
    before: Duration,
    failures: u32,
    tried: Tried,
    not_before: Instant,
    /// Of a gang wider than a segment: since when only some of its places are stored.
    parts_since: Option<Instant>,
}

pub struct Controller {
    set: Settings,
    me: String,
    incarnation: u64,
    wall: Duration,
    now: Instant,
    out: Vec<Action>,
    next_call: CallId,
    calls: HashMap<CallId, Purpose>,
    ses: Session,
    start: Start,
    /// When the last tick was.
    ticked_at: Instant,
    view: ClusterState,
    scan: ClusterState,
    types: Vec<MachineType>,
    types_next: Instant,
    types_busy: bool,
    asked: Requests,
    held: Vec<HeldHeartbeat>,
    machines: BTreeMap<String, Machine>,
    /// The state of the view's machine records that `machines` follows.
    adopted: Option<u64>,
    hearing: Hearing,
    /// Images on machines of other blocks.
    images: HashMap<String, Images>,
    heartbeats: usize,
    changes: BTreeMap<String, Change>,
    /// Transactions under way, and what settles them.
    open_writes: OpenWrites,
    busy: BTreeSet<String>,
    log: Writer,
    /// Checkpoints are under way.
    folding: bool,
    /// Jobs that are complete, and that we have to end.
    ending: BTreeSet<String>,
    /// Records that a refused write had outdated: it would be refused again until
    /// the view has come to this revision.
    outdated: BTreeMap<String, u64>,
    /// What was taken of each team's limit without changing its record.
    parts: BTreeMap<String, Parts>,
    patience: HashMap<String, Patience>,
    writes: Account,
    /// When the store answered again after the last outage.
    store_back_at: Option<Instant>,
    /// What was written since the last summary, by kind.
    written: BTreeMap<&'static str, Writes>,
    /// How long the state service took over transactions, in milliseconds.
    txn_ms: Histogram<u64>,
    cloud: Account,
    links: Links,
    /// Beats came since the links were last looked at.
    links_dirty: bool,
    deaf: Deaf,
    /// Machines that did not reach a controller, and until when they are not given to it.
    avoid: HashMap<(String, String), Instant>,
    /// Zones of which most of our machines were silent, until when they count as cut.
    cut_until: HashMap<String, Instant>,
    /// Silent machines that answered a call of ours, and when.
    probed: BTreeMap<String, Instant>,
    /// Machines that came here though others own them, and when first.
    strays: HashMap<String, Instant>,
    /// The grant of each machine, as it became known here.
    owned: HashMap<String, Owned>,
    /// The state of the view's machine records that `owned` follows.
    owners_seen: Option<u64>,
    knapsack: Knapsack,
    aims: Aims,
    served: Served,
    /// When the first machine was seen, by the time of day.
    fleet_since_ms: Option<u64>,
    /// It was seen only after a boot time: the fleet began with nothing.
    fleet_cold: bool,
    /// When a leader was first seen.
    led_since: Option<Instant>,
    /// The last term in which this process led.
    led_term: u64,
    /// Live jobs whose aim has passed.
    missed: BTreeSet<String>,
    dirty: bool,
    schedule_next: Instant,
    heartbeat_next: Instant,
    summary_next: Instant,
    agents_next: Instant,
    fleet_next: Instant,
    retry: Retries,
    returns: Returns,
    /// What the last health check was told.
    was_healthy: Option<bool>,
    lead_next: Instant,
    /// The state of the view's members that the lead was last looked at in.
    lead_seen: u64,
    reassign_next: Instant,
    level_next: Instant,
    /// Not before then are blocks levelled: machines were brought together.
    gather_next: Instant,
    epoch: u64,
    request_id: u64,
    list: BTreeMap<String, ListedMachine>,
    /// When each machine was first listed.
    listed_since: HashMap<String, Instant>,
    /// Recorded machines that the cloud lists no more, or as failed.
    unlisted: BTreeSet<String>,
    list_new: BTreeMap<String, ListedMachine>,
    /// When the cloud first refused a later page of the list that is being read, for its
    /// rate: the pages before it are kept, and the list goes on there.
    list_stalled: Option<Instant>,
    list_at: Option<Instant>,
    list_next: Instant,
    list_busy: bool,
    rented: BTreeMap<String, Rented>,
    /// Machines that were rented while the cluster began, by us or by the leader's word.
    young: BTreeSet<String>,
    /// When each recorded machine was last known to be up, by the leader.
    up_at: HashMap<String, Instant>,
    /// Rentals whose machines shall be recorded together.
    unrecorded: VecDeque<(crate::scaling::Offer, Vec<String>)>,
    /// Recorded machines that nobody hears, and since when.
    unseen_since: HashMap<String, Instant>,
    /// Machines that do not reach their owner, and since when that is known.
    unreached_since: HashMap<String, Instant>,
    renting: u32,
    refused: BTreeMap<crate::scaling::Offer, Instant>,
    /// Free cores of late, for the least that stayed free.
    slack: VecDeque<(Instant, f64)>,
    /// Array tasks waited at this time.
    pressed_at: Option<Instant>,
    /// Releases that got no answer yet, and those that did: nothing is left there.
    releasing: BTreeSet<String>,
    /// Tickets whose replica was placed elsewhere, and since when.
    settling: BTreeMap<Ticket, Instant>,
    /// Tickets for machines of ours, and since when they are known.
    ticketed: BTreeMap<Ticket, Instant>,
    /// What the campaign waited for when it was last told.
    maintenance_wait: Option<Wait>,
    gone: BTreeSet<String>,
    release_tokens: f64,
    release_at: Instant,
}

impl Patience {
    /// The job was submitted with a mistake, by all that is known here.
    fn fails_everywhere(&self, done: u32) -> bool {
        done == 0 && self.tried.everywhere()
    }

    /// How long the job has waited, if it does.
    fn waited(&self, now: Instant) -> Option<Duration> {
        self.waiting_since.map(|t| now.saturating_sub(t) + self.before)
    }
}

impl Controller {
    /// `incarnation` tells this process from earlier ones of the same name;
    /// `wall` is the time of day at the start.
    pub fn new(set: Settings, incarnation: u64, wall: Duration) -> Controller {
        let p = &set.settings;
        let n = set.controllers() as f64;
        // A quarter of the store's requests goes to each kind of steady read.
        let gap = Duration::from_secs_f64(n / (p.state.rps * 0.25));
        let ttl = Duration::from_secs_f64((p.workers.heartbeat_interval_s * 2.0).min(p.workers.lease_s / 3.0));
        let heartbeat_interval = Self::heartbeat_interval(Duration::from_secs_f64(p.workers.heartbeat_interval_s));
        let chunk = records::chunk_size(p.state.value_kb, p.state.write_rps / n);
        Controller {
            me: set.member.clone(),
            incarnation: incarnation >> 1,
            wall,
            now: Duration::ZERO,
            out: Vec::new(),
            next_call: 1,
            calls: HashMap::new(),
            ses: Session::new(ttl, gap, p.state.rps * LOAD_BURST / n),
            start: Start::new(
                Duration::from_secs_f64(p.workers.lease_s),
                Duration::from_secs_f64(
                    p.workers.heartbeat_interval_s * startup::LONGEST_REPORT + agents::WORKER_MOVES_S,
                ),
            ),
            ticked_at: Duration::ZERO,
            view: ClusterState::new(chunk),
            scan: ClusterState::new(chunk),
            types: Vec::new(),
            types_next: Duration::ZERO,
            types_busy: false,
            asked: Requests::default(),
            held: Vec::new(),
            machines: BTreeMap::new(),
            adopted: None,
            hearing: Hearing::default(),
            images: HashMap::new(),
            heartbeats: 0,
            changes: BTreeMap::new(),
            open_writes: OpenWrites::default(),
            busy: BTreeSet::new(),
            log: Writer::default(),
            folding: false,
            ending: BTreeSet::new(),
            outdated: BTreeMap::new(),
            parts: BTreeMap::new(),
            patience: HashMap::new(),
            writes: Account::new(p.state.write_rps / n * WRITE_SHARE),
            store_back_at: None,
            written: BTreeMap::new(),
            txn_ms: Histogram::new_with_max(LONGEST_TXN_MS, 2).expect("bounds are good"),
            cloud: Account::new(p.cloud.rps / n),
            links: Links::new(&set.member, incarnation >> 1, heartbeat_interval),
            links_dirty: false,
            deaf: Deaf::default(),
            avoid: HashMap::new(),
            cut_until: HashMap::new(),
            probed: BTreeMap::new(),
            strays: HashMap::new(),
            owned: HashMap::new(),
            owners_seen: None,
            knapsack: Knapsack::default(),
            aims: Aims::new(p.objectives.clone()),
            served: Served::default(),
            fleet_since_ms: None,
            fleet_cold: false,
            led_since: None,
            led_term: 0,
            missed: BTreeSet::new(),
            dirty: false,
            schedule_next: Duration::ZERO,
            heartbeat_next: Duration::ZERO,
            summary_next: Duration::ZERO,
            agents_next: Duration::ZERO,
            fleet_next: Duration::ZERO,
            returns: Returns::default(),
            was_healthy: None,
            retry: Retries::new(incarnation, pauses(&set, ttl, gap)),
            lead_next: Duration::ZERO,
            lead_seen: 0,
            reassign_next: Duration::ZERO,
            level_next: Duration::ZERO,
            gather_next: Duration::ZERO,
            epoch: 0,
            request_id: 0,
            list: BTreeMap::new(),
            listed_since: HashMap::new(),
            unlisted: BTreeSet::new(),
            list_new: BTreeMap::new(),
            list_stalled: None,
            list_at: None,
            list_next: Duration::ZERO,
            list_busy: false,
            rented: BTreeMap::new(),
            young: BTreeSet::new(),
            up_at: HashMap::new(),
            unrecorded: VecDeque::new(),
            unseen_since: HashMap::new(),
            unreached_since: HashMap::new(),
            renting: 0,
            refused: BTreeMap::new(),
            slack: VecDeque::new(),
            pressed_at: None,
            releasing: BTreeSet::new(),
            settling: BTreeMap::new(),
            ticketed: BTreeMap::new(),
            maintenance_wait: None,
            gone: BTreeSet::new(),
            release_tokens: 1.0,
            release_at: Duration::ZERO,
            set,
        }
    }

    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Request { conn, method, path, body } => self.request(conn, &method, &path, &body),
            Event::Answer { id, result } => {
                if let Some(purpose) = self.calls.remove(&id) {
                    self.answer(id, purpose, result);
                }
            }
            Event::Peer { member, frame: Frame::PeerHeartbeat(heartbeat) } => {
                self.note_images(&heartbeat);
                self.note_young(&heartbeat.rented);
                for name in &heartbeat.unlisted {
                    if let Some(m) = self.machines.get_mut(name) {
                        m.unlisted = true;
                    }
                }
                self.links.receive(&member, &heartbeat, now);
                // True whenever it was said, and however late it comes.
                if let Some(revocations) = &heartbeat.revocations {
                    self.apply_revocations(revocations);
                }
                for h in &heartbeat.heard {
                    let when = now.saturating_sub(Duration::from_millis(h.ago_ms));
                    self.hearing.told(&h.machine, (h.agent_epoch, h.heartbeat_seq), when);
                }
                self.links_dirty = true;
                self.probe(&heartbeat.silent);
            }
            Event::Peer { frame: Frame::Hello { .. }, .. } => {}
            Event::Operator(operator) => {
                tracing::info!(
                    budgets = operator.budget.len(),
                    campaigns = operator.campaign.len(),
                    "operator's file is taken over"
                );
                self.set.operator = *operator;
            }
            Event::Tick => self.tick(),
        }
        if self.dirty && self.now >= self.schedule_next {
            self.dirty = false;
            self.schedule_next = self.now + self.ses.gap;
            self.schedule();
        }
        actions.append(&mut self.out);
    }

    fn tick(&mut self) {
        self.pause_tick();
        self.sync_tick();
        self.requests_tick();
        if self.types.is_empty() || self.now >= self.types_next {
            self.fetch_types();
        }
        if self.now >= self.heartbeat_next {
            self.heartbeat_next = self.now + Self::heartbeat_interval(self.heartbeat_intervals(1.0));
            self.heartbeat();
        }
        if !self.ses.following() {
            return;
        }
        self.share_limits();
        if self.now >= self.agents_next {
            self.agents_next = self.now + self.heartbeat_intervals(0.1);
            self.start_tick();
            self.links_tick();
            self.check_agents();
            self.work_tick();
            self.note_overdue();
        }
        self.close_tick();
        self.lead_tick();
        if self.now >= self.summary_next {
            self.summary_next = self.now + self.heartbeat_intervals(4.0);
            self.summary();
        }
    }

    /// The limits of the store and the cloud hold for all controllers
    /// together: those that live share the first, the leader counts twice but for
    /// the time after an outage, when users crowd at all alike; it alone rents, and so
    /// has most of the second.
    fn share_limits(&mut self) {
        let p = &self.set.settings;
        let others = (self.set.controllers() as f64 - 1.0).max(1.0);
        let live = (self.view.members.len() as f64).max(1.0);
        let (parts, cloud) = if self.am_leader() { (2.0, RENTER_SHARE) } else { (1.0, (1.0 - RENTER_SHARE) / others) };
        let alike =
            self.store_back_at.is_some_and(|t| self.now.saturating_sub(t) < self.heartbeat_intervals(CROWD_REPORTS));
        let (parts, of) = if alike { (1.0, live) } else { (parts, live + 1.0) };
        self.writes.rate = p.state.write_rps * WRITE_SHARE * parts / of;
        self.cloud.rate = p.cloud.rps * cloud;
    }

    /// What was written, and from the leader the state of the whole cluster,
    /// at a steady interval.
    fn summary(&mut self) {
        for (kind, w) in std::mem::take(&mut self.written) {
            tracing::debug!(kind, sent = w.sent, changes = w.changes, failed = w.failed, "written");
        }
        let (p50, p99) = (self.txn_ms.value_at_quantile(0.5), self.txn_ms.value_at_quantile(0.99));
        tracing::debug!(count = self.txn_ms.len(), p50, p99, "transactions took, in ms");
        self.txn_ms.reset();
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
        for j in self.view.jobs.values() {
            let n = j.waiting_count();
            if n > 0 {
                *waiting.entry(&j.spec.class).or_default() += n;
            }
        }
        let booting = self.expected_capacities(Counted::All).len() - capacities.len();
        tracing::debug!(
            jobs = self.view.jobs.len(),
            ?waiting,
            machines = capacities.len(),
            booting,
            cores = sum(|r| r.total_cores),
            free_cores = sum(crate::placement::MachineCapacity::free_cores),
            behind = self.aims.behind(),
            "cluster"
        );
        for (who, t) in self.served.tallies(self.view.jobs.values(), self.wall_ms()) {
            let service_levels::ServiceTally { judged, in_time, live, untouched, waits_s, replicas, placed } = t;
            tracing::debug!(?who, judged, in_time, live, untouched, waits_s, replicas, placed, "served");
            if let Some(share) = t.least_share().filter(|s| *s < service_levels::HALF) {
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

    fn secs(&self, s: f64) -> Duration {
        Duration::from_secs_f64(s.max(0.0))
    }

    fn heartbeat_intervals(&self, times: f64) -> Duration {
        self.secs(self.set.settings.workers.heartbeat_interval_s * times)
    }

    fn wall_ms(&self) -> u64 {
        (self.wall + self.now).as_millis() as u64
    }

    /// Whether this controller may act for all of them: its view is so recent
    /// that a cancellation it has not seen still meets its deadline. A worker
    /// that is answered now loses its tasks `lease_s` later at the latest.
    fn entitled(&self) -> bool {
        let w = &self.set.settings.workers;
        let margin = w.heartbeat_interval_s;
        let limit = self.secs((w.cancel_s - w.lease_s - margin) / DRIFT);
        let known = |at: Instant| self.now.saturating_sub(at) < limit;
        // A view read anew may lack what was told by the one before.
        let whole = self.ses.following() && self.view.has_all_known();
        whole && (self.ses.fresh_at.is_some_and(known) || self.surely_fresh_at().is_some_and(known))
    }

    fn fresh(&self) -> bool {
        self.ses.staleness(self.now).is_some_and(|s| s < self.heartbeat_intervals(1.0))
    }

    fn am_leader(&self) -> bool {
        self.view.leader.as_ref().is_some_and(|l| l.rec.member == self.me && l.rec.incarnation == self.incarnation)
    }

    fn owns(&self, host: &Versioned<records::MachineRecord>) -> bool {
        host.rec.owner == self.me && host.rec.incarnation == self.incarnation
    }

    fn machine_type(&self, machine_type: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.label == machine_type)
    }

    fn call(
        &mut self,
        target: Target,
        method: &'static str,
        path: String,
        body: Option<Vec<u8>>,
        timeout: Duration,
        purpose: Purpose,
    ) -> CallId {
        let id = self.next_call;
        self.next_call += 1;
        self.calls.insert(id, purpose);
        self.out.push(Action::Call { id, target, method, path, body, timeout });
        id
    }

    fn answer(&mut self, id: CallId, purpose: Purpose, result: Result<Reply, NoAnswer>) {
        if let Some(retry) = purpose.retry() {
            let was_away = self.retry.is_open(Side::State);
            self.retry.ended(retry, outcome(retry, &result), self.now);
            if was_away && !self.retry.is_open(Side::State) {
                self.writes.store_is_back(self.now);
                self.store_back_at = Some(self.now);
            }
        }
        match purpose {
            Purpose::Lease | Purpose::Renew | Purpose::Scan | Purpose::Watch | Purpose::Barrier => {
                self.sync_answer(purpose, result);
            }
            Purpose::Catalog | Purpose::List | Purpose::Rent { .. } => {
                self.cloud_answer(purpose, result);
            }
            Purpose::Release { machines } => self.release_answer(machines, result),
            Purpose::Push { machine, grant } => self.push_answer(id, &machine, grant, result),
            Purpose::Probe { machine, known } => self.probe_answer(machine, known, result),
            Purpose::Txn { txn, why, keys, charge, sent } => {
                self.open_writes.ended(id);
                if result.as_ref().is_ok_and(|r| r.status == 503) {
                    self.writes.give_back(self.now, charge);
                }
                self.txn_answer(txn, why, &keys, sent, &result);
            }
        }
    }

    fn note_end(&mut self, spec: &crate::protocol::user::JobSpec, at_ms: u64) {
        let took_s = self.wall_ms().saturating_sub(at_ms) as f64 / 1000.0;
        if let Some(aim_s) = self.aims.end_within(spec) {
            self.served.note(spec, took_s <= aim_s);
        }
        // What came while the first machines were still to boot says nothing
        // of their number.
        let boot_ms = self.types.iter().map(|t| t.startup_s * 1000.0).fold(0.0, f64::max) as u64;
        let boot_ms = if self.fleet_cold { boot_ms } else { 0 };
        if self.fleet_since_ms.is_some_and(|t| at_ms >= t + boot_ms) {
            self.aims.note_end(spec, took_s);
        }
    }

    /// A job whose aim has passed is a miss now: in an overload the late ones
    /// wait longest, and counting ends alone would see only the good ones.
    fn note_overdue(&mut self) {
        let now_ms = self.wall_ms();
        let mut late = Vec::new();
        for (uid, j) in self.view.jobs.iter().filter(|(uid, j)| !j.cancelled() && !self.missed.contains(*uid)) {
            let age_s = now_ms.saturating_sub(j.rec.rec.at_ms) as f64 / 1000.0;
            if self.aims.end_within(&j.spec).is_some_and(|a| age_s > a) {
                late.push((uid.clone(), j.spec.clone(), j.rec.rec.at_ms));
            }
        }
        for (uid, spec, at_ms) in late {
            self.missed.insert(uid);
            self.note_end(&spec, at_ms);
        }
        let view = &self.view;
        self.missed.retain(|uid| view.jobs.contains_key(uid));
    }

    /// What waits for the view to move is looked at again.
    fn view_changed(&mut self) {
        if self.led_since.is_none() && self.view.leader.is_some() {
            self.led_since = Some(self.now);
        }
        if self.fleet_since_ms.is_none() && self.view.machines.keys().any(|h| self.is_up(h)) {
            self.fleet_since_ms = Some(self.wall_ms());
            let boot = self.types.iter().map(|t| t.startup_s).fold(f64::INFINITY, f64::min);
            self.fleet_cold = self.now.as_secs_f64() > boot / 2.0;
        }
        for uid in std::mem::take(&mut self.view.complete) {
            if self.ends(&uid) {
                self.ending.insert(uid);
            }
        }
        for (spec, at_ms) in std::mem::take(&mut self.view.finished) {
            if self.am_leader() {
                let took_s = self.wall_ms().saturating_sub(at_ms) as f64 / 1000.0;
                let aim_s = self.aims.end_within(&spec);
                tracing::debug!(job = %spec.uid, class = %spec.class, took_s, aim_s, "done");
            }
            if !self.missed.remove(&spec.uid) {
                self.note_end(&spec, at_ms);
            }
        }
        for uid in std::mem::take(&mut self.view.let_go) {
            self.stop(&uid);
        }
        self.retry_held();
        self.answer_requests(RequestEvent::ClusterState(self.view.revision));
    }
}

/// What the cloud says where it has no more machines of an offer.
const NO_CAPACITY: &str = "no capacity";
/// Longer transactions count as this long in the summary.
const LONGEST_TXN_MS: u64 = 60_000;
/// Part of the store's writes that is used: renewals and repeats need some.
const WRITE_SHARE: f64 = 0.9;
/// Users crowd for so many report intervals after an outage.
const CROWD_REPORTS: f64 = 2.0;
/// Part of the cloud's requests that the leader may use.
const RENTER_SHARE: f64 = 0.7;
/// Part of a second's worth of the store's requests that a start may use at once, over
/// all controllers: the store allows bursts of a second's worth, and one that starts
/// has nothing better to use them for.
const LOAD_BURST: f64 = 0.5;
/// Part of a second's writes that stays free for submissions.
const ACCEPT_RESERVE: f64 = 0.25;
/// Writes that lose nothing by waiting are made while this part of a second's
/// worth is free: the fuller the queue, the more goes into each.
const SPARE_WRITES: f64 = 0.5;

/// Steady clocks of two machines may differ by this factor at most: each may
/// run 0.05% fast, doubled for rounding.
const DRIFT: f64 = 1.001;
