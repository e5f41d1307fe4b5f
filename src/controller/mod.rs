//! One controller: takes events, keeps the view and the wanted state, and runs
//! the loops that work out what to do. No sockets, no clock; `now` comes in
//! with every event.

mod agents;
mod api;
mod autoscaler;
mod capacity;
mod cloud;
mod connectivity;
mod journal;
mod leadership;
mod maintenance;
mod outbox;
mod process;
mod quota;
mod registration;
mod releases;
mod scheduler;
mod service_levels;
mod sharding;
mod startup;
mod store_sync;
mod task_ranges;
mod transactions;

use crate::config::Settings;
use crate::connectivity::peer_table::PeerTable;
use crate::coordination::in_flight_writes::InFlightWrites;
use crate::coordination::rate_limiter::{Charge, RateLimiter, WritePriority};
use crate::coordination::store_session::StoreSession;
use crate::effects::{Action, CallId, ConnId, Event, Instant, NoAnswer, Reply, Target};
use crate::protocol::cloud::{ListedMachine, MachineType};
use crate::protocol::peer::Frame;
use crate::protocol::store::{self, Txn};
use crate::protocol::worker::Heartbeat;
use crate::reconciliation::phase::Start;
use crate::requests::{Event as RequestEvent, Requests};
use crate::retry::{Outcome, Purpose as Retry, RetryAfter, RetryPolicy, Side};
use crate::state::ClusterState;
use crate::state::objectives::Objectives;
use crate::state::records::{self, Versioned};
use agents::Agents;
use api::Api;
use autoscaler::Autoscaler;
use capacity::Counted;
use cloud::CloudAccess;
use connectivity::Connectivity;
use hdrhistogram::Histogram;
use journal::Journal;
use leadership::Leadership;
use maintenance::Maintenance;
use outbox::{Outbox, Purpose, outcome};
use process::Process;
use quota::QuotaReservations;
use releases::Releases;
use scheduler::Scheduler;
use service_levels::ServiceLevels;
use sharding::Sharding;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;
use store_sync::StoreAccess;
use transactions::{Transactions, Why};

/// The shortest pauses after a failure, as ratios to the settings.
fn pauses(set: &Settings, ttl: Duration, gap: Duration) -> Vec<(Retry, Duration)> {
    let report = Duration::from_secs_f64(set.settings.workers.heartbeat_interval_s);
    let lag = Duration::from_secs_f64(set.settings.cloud.list_lag_s);
    vec![
        (Retry::Lease, gap * 2),
        (Retry::Renew, ttl / 16),
        (Retry::Scan, gap),
        (Retry::Watch, gap * 2),
        (Retry::Barrier, gap * 2),
        (Retry::Write, report / 10),
        (Retry::Catalog, report / 4),
        (Retry::List, lag / 8),
        (Retry::Rent, report / 4),
        (Retry::Release, report / 4),
    ]
}

#[derive(Debug)]
struct Rented {
    offer: crate::scaling::Offer,
    at: Instant,
}

/// One controller: a component for each duty, and what they share.
pub struct Controller {
    config: Settings,
    process: Process,
    now: Instant,
    outbox: Outbox,
    retry: RetryPolicy,
    state: ClusterState,
    store: StoreAccess,
    transactions: Transactions,
    startup: Start,
    leadership: Leadership,
    sharding: Sharding,
    connectivity: Connectivity,
    agents: Agents,
    scheduler: Scheduler,
    quota: QuotaReservations,
    journal: Journal,
    cloud: CloudAccess,
    autoscaler: Autoscaler,
    releases: Releases,
    maintenance: Maintenance,
    service_levels: ServiceLevels,
    api: Api,
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
        let chunk = records::checkpoint_size(p.state.value_kb, p.state.write_rps / n);
        Controller {
            process: Process::new(set.member.clone(), incarnation >> 1, wall),
            now: Duration::ZERO,
            outbox: Outbox::new(),
            retry: RetryPolicy::new(incarnation, pauses(&set, ttl, gap)),
            state: ClusterState::new(chunk),
            store: StoreAccess::new(
                StoreSession::new(ttl, gap, p.state.rps * LOAD_BURST / n),
                ClusterState::new(chunk),
            ),
            transactions: Transactions::new(p.state.write_rps / n * WRITE_SHARE),
            startup: Start::new(
                Duration::from_secs_f64(p.workers.lease_s),
                Duration::from_secs_f64(
                    p.workers.heartbeat_interval_s * startup::LONGEST_REPORT + agents::CONTROLLER_SWITCH_S,
                ),
            ),
            leadership: Leadership::default(),
            sharding: Sharding::default(),
            connectivity: Connectivity::new(PeerTable::new(&set.member, incarnation >> 1, heartbeat_interval)),
            agents: Agents::default(),
            scheduler: Scheduler::default(),
            quota: QuotaReservations::default(),
            journal: Journal::default(),
            cloud: CloudAccess::new(p.cloud.rps / n),
            autoscaler: Autoscaler::default(),
            releases: Releases::new(),
            maintenance: Maintenance::default(),
            service_levels: ServiceLevels::new(Objectives::new(p.objectives.clone())),
            api: Api::default(),
            config: set,
        }
    }

    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Request { conn, method, path, body } => self.request(conn, &method, &path, &body),
            Event::Answer { id, result } => {
                if let Some(purpose) = self.outbox.end_call(id) {
                    self.answer(id, purpose, result);
                }
            }
            Event::Peer { member, frame: Frame::PeerHeartbeat(heartbeat) } => {
                self.note_images(&heartbeat);
                self.update_newly_provisioned(&heartbeat.provisioned);
                self.agents.mark_unlisted(&heartbeat.unlisted);
                self.connectivity.receive(&member, &heartbeat, now);
                // True whenever it was said, and however late it comes.
                if let Some(revocations) = &heartbeat.revocations {
                    self.apply_revocations(revocations);
                }
                for h in &heartbeat.recent_machines {
                    let when = now.saturating_sub(Duration::from_millis(h.ago_ms));
                    self.agents.heard_elsewhere(&h.machine, (h.agent_epoch, h.heartbeat_seq), when);
                }
                self.probe(&heartbeat.unresponsive);
            }
            Event::Peer { frame: Frame::Hello { .. }, .. } => {}
            Event::Operator(operator) => {
                tracing::info!(
                    budgets = operator.budget.len(),
                    campaigns = operator.campaign.len(),
                    "operator's file is taken over"
                );
                self.config.operator = *operator;
            }
            Event::Tick => self.tick(),
        }
        if self.scheduler.begin_round(self.now, self.store.session.gap) {
            self.schedule();
        }
        self.outbox.drain_into(actions);
    }

    fn tick(&mut self) {
        self.pause_tick();
        self.synchronize();
        self.requests_tick();
        self.read_catalog();
        let heartbeat_interval = Self::heartbeat_interval(self.heartbeat_intervals(1.0));
        if self.connectivity.begin_heartbeat(self.now, heartbeat_interval) {
            self.send_heartbeat();
        }
        if !self.store.session.following() {
            return;
        }
        self.share_limits();
        if self.agents.begin_check(self.now, self.heartbeat_intervals(0.1)) {
            self.start_tick();
            self.diagnose_partitions();
            self.check_agents();
            self.check_jobs();
            self.record_overdue();
        }
        self.close_tick();
        self.lead();
        if self.service_levels.summary_due(self.now, self.heartbeat_intervals(4.0)) {
            self.log_summary();
        }
    }

    /// The limits of the store and the cloud hold for all controllers
    /// together: those that live share the first, the leader counts twice but for
    /// the time after an outage, when users crowd at all alike; it alone rents, and so
    /// has most of the second.
    fn share_limits(&mut self) {
        let p = &self.config.settings;
        let others = (self.config.controllers() as f64 - 1.0).max(1.0);
        let live = (self.state.members.len() as f64).max(1.0);
        let (parts, cloud) = if self.am_leader() { (2.0, RENTER_SHARE) } else { (1.0, (1.0 - RENTER_SHARE) / others) };
        let alike = self
            .transactions
            .since_store_recovered(self.now)
            .is_some_and(|since| since < self.heartbeat_intervals(CROWD_REPORTS));
        let (parts, of) = if alike { (1.0, live) } else { (parts, live + 1.0) };
        self.transactions.set_write_rate(p.state.write_rps * WRITE_SHARE * parts / of);
        self.cloud.set_request_rate(p.cloud.rps * cloud);
    }

    fn secs(&self, s: f64) -> Duration {
        Duration::from_secs_f64(s.max(0.0))
    }

    fn heartbeat_intervals(&self, times: f64) -> Duration {
        self.secs(self.config.settings.workers.heartbeat_interval_s * times)
    }

    fn wall_ms(&self) -> u64 {
        self.process.wall_ms(self.now)
    }

    /// Whether this controller may act for all of them: its view is so recent
    /// that a cancellation it has not seen still meets its deadline. A worker
    /// that is answered now loses its tasks `lease_s` later at the latest.
    fn entitled(&self) -> bool {
        let w = &self.config.settings.workers;
        let margin = w.heartbeat_interval_s;
        let limit = self.secs((w.cancel_s - w.lease_s - margin) / DRIFT);
        let known = |at: Instant| self.now.saturating_sub(at) < limit;
        // A view read anew may lack what was told by the one before.
        let whole = self.store.session.following() && self.state.has_applied_all_known();
        whole && (self.store.session.fresh_at.is_some_and(known) || self.surely_fresh_at().is_some_and(known))
    }

    fn fresh(&self) -> bool {
        self.store.session.staleness(self.now).is_some_and(|s| s < self.heartbeat_intervals(1.0))
    }

    fn owns(&self, host: &Versioned<records::MachineRecord>) -> bool {
        self.process.owns(&host.rec)
    }

    fn machine_type(&self, machine_type: &str) -> Option<&MachineType> {
        self.cloud.machine_type(machine_type)
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
        self.outbox.call(target, method, path, body, timeout, purpose)
    }

    fn answer(&mut self, id: CallId, purpose: Purpose, result: Result<Reply, NoAnswer>) {
        if let Some(retry) = purpose.retry() {
            let was_away = self.retry.is_open(Side::Store);
            self.retry.ended(retry, outcome(retry, &result), self.now);
            if was_away && !self.retry.is_open(Side::Store) {
                self.transactions.store_recovered(self.now);
            }
        }
        match purpose {
            Purpose::Lease | Purpose::Renew | Purpose::Scan | Purpose::Watch | Purpose::Barrier => {
                self.sync_answer(&purpose, result);
            }
            Purpose::Catalog | Purpose::List | Purpose::Rent { .. } => {
                self.cloud_answer(purpose, result);
            }
            Purpose::Release { machines } => self.release_answer(machines, result),
            Purpose::Push { machine, grant } => self.push_answer(id, &machine, grant, result),
            Purpose::Probe { machine, known } => self.probe_answer(machine, known, result),
            Purpose::Txn(pending) => self.txn_answer(id, pending, &result),
        }
    }

    /// What waits for the view to move is looked at again.
    fn view_changed(&mut self) {
        if self.state.leader.is_some() {
            self.leadership.observe_leader(self.now);
        }
        if !self.service_levels.has_seen_machines() && self.state.machines.keys().any(|h| self.is_up(h)) {
            let (wall_ms, startup_s) = (self.wall_ms(), self.cloud.shortest_startup_s());
            self.service_levels.record_first_machine(self.now, wall_ms, startup_s);
        }
        for uid in std::mem::take(&mut self.state.complete) {
            if self.ends(&uid) {
                self.journal.end_jobs([uid]);
            }
        }
        for (spec, at_ms) in std::mem::take(&mut self.state.finished) {
            self.record_finished(&spec, at_ms);
        }
        for uid in std::mem::take(&mut self.state.let_go) {
            self.stop_job(&uid);
        }
        self.retry_pending_heartbeats();
        self.answer_requests(RequestEvent::ClusterState(self.state.revision));
    }
}

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
