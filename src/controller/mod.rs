//! The logic of one controller: handles events, keeps a replica of the stored state, and
//! decides which actions the event loop carries out.
//!
//! The controller uses no sockets and no clock; every event comes with the time `now`.

#![warn(missing_docs)]

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
mod reassignment;
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
use crate::protocol::time::duration_from_secs;
use crate::protocol::worker::Heartbeat;
use crate::reconciliation::phase::Startup;
use crate::requests::{Event as RequestEvent, Requests};
use crate::retry::{Outcome, Purpose as RetryPurpose, RemoteService, RetryAfter, RetryPolicy};
use crate::state::ClusterState;
use crate::state::objectives::Objectives;
use crate::state::records::{self, Versioned};
use agents::Agents;
use api::Api;
use autoscaler::Autoscaler;
use capacity::CountedTasks;
use cloud::CloudAccess;
use connectivity::Connectivity;
use hdrhistogram::Histogram;
use journal::Journal;
use leadership::Leadership;
use maintenance::Maintenance;
use outbox::{CallPurpose, Outbox, retry_outcome};
use process::Process;
use quota::QuotaReservations;
use releases::Releases;
use scheduler::Scheduler;
use service_levels::ServiceLevels;
use sharding::Sharding;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;
use store_sync::StoreAccess;
use transactions::{Transactions, TxnPurpose};

/// Transactions that take longer than this count as taking this long in the summary.
const MAX_TXN_DURATION_MS: u64 = 60_000;
/// The part of the store's write limit that controllers use. The rest is left for renewals
/// of leases and for repeated writes.
const USABLE_WRITE_FRACTION: f64 = 0.9;
/// Heartbeat intervals after an outage of the store during which all controllers have
/// equal shares of the writes, because users crowd to all of them alike.
const EQUAL_SHARES_INTERVALS: f64 = 2.0;
/// The part of the cloud's request limit that the leader may use.
const LEADER_CLOUD_FRACTION: f64 = 0.7;
/// Seconds' worth of the store's requests that all starting controllers together may use
/// at once. The store allows bursts of one second's worth, and a controller that starts has
/// no better use for them.
const SCAN_BURST_S: f64 = 0.5;
/// The part of one second's writes that is kept free for submissions.
const SUBMISSION_RESERVE_FRACTION: f64 = 0.25;
/// Writes that lose nothing by waiting are made only while this part of one second's writes
/// is unspent: the longer they wait, the more changes go into each transaction.
const SPARE_WRITES_FRACTION: f64 = 0.5;

/// The largest ratio between the rates of the monotonic clocks of two machines. Each clock
/// may run 0.05% fast, which is doubled to allow for rounding.
const MAX_CLOCK_RATE_RATIO: f64 = 1.001;

/// The shortest pause after a failed call, by the purpose of the call. Pauses are fractions
/// of the intervals in the settings, of the lease's `ttl` and of the `read_interval` between reads.
fn base_pauses(config: &Settings, ttl: Duration, read_interval: Duration) -> Vec<(RetryPurpose, Duration)> {
    let heartbeat_interval = duration_from_secs(config.deployment.workers.heartbeat_interval_s);
    let list_lag = duration_from_secs(config.deployment.cloud.list_lag_s);
    vec![
        (RetryPurpose::Lease, read_interval * 2),
        (RetryPurpose::Renew, ttl / 16),
        (RetryPurpose::Scan, read_interval),
        (RetryPurpose::Watch, read_interval * 2),
        (RetryPurpose::Barrier, read_interval * 2),
        (RetryPurpose::Write, heartbeat_interval / 10),
        (RetryPurpose::Catalog, heartbeat_interval / 4),
        (RetryPurpose::List, list_lag / 8),
        (RetryPurpose::Rent, heartbeat_interval / 4),
        (RetryPurpose::Release, heartbeat_interval / 4),
    ]
}

/// A machine that was provisioned and is not known to be up.
#[derive(Debug)]
struct RentedMachine {
    /// The offer of the cloud that the machine belongs to.
    offer: crate::scaling::Offer,
    /// When the machine was requested.
    rented_at: Instant,
}

/// One controller of the cluster: a component for each of its duties, and the state that
/// they share.
pub struct Controller {
    config: Settings,
    process: Process,
    now: Instant,
    outbox: Outbox,
    retry: RetryPolicy,
    state: ClusterState,
    store: StoreAccess,
    transactions: Transactions,
    startup: Startup,
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
    /// A controller whose process has just started. `incarnation` distinguishes the process
    /// from earlier ones of the same name; `wall_clock` is the time of day at the start.
    pub fn new(config: Settings, incarnation: u64, wall_clock: Duration) -> Controller {
        let platform = &config.deployment;
        let controllers = config.controllers() as f64;
        // Each kind of steady read may use a quarter of the store's request limit.
        let read_interval = duration_from_secs(controllers / (platform.state.rps * 0.25));
        let workers = &platform.workers;
        let ttl = duration_from_secs((workers.heartbeat_interval_s * 2.0).min(workers.lease_s / 3.0));
        let heartbeat_interval = Self::peer_heartbeat_interval(duration_from_secs(workers.heartbeat_interval_s));
        let checkpoint_size = records::checkpoint_size(platform.state.value_kb, platform.state.write_rps / controllers);
        Controller {
            process: Process::new(config.member.clone(), incarnation >> 1, wall_clock, workers.tick_interval()),
            now: Duration::ZERO,
            outbox: Outbox::new(),
            retry: RetryPolicy::new(incarnation, base_pauses(&config, ttl, read_interval)),
            state: ClusterState::new(checkpoint_size),
            store: StoreAccess::new(
                StoreSession::new(ttl, read_interval, platform.state.rps * SCAN_BURST_S / controllers),
                ClusterState::new(checkpoint_size),
            ),
            transactions: Transactions::new(platform.state.write_rps / controllers * USABLE_WRITE_FRACTION),
            startup: Startup::new(
                duration_from_secs(workers.lease_s),
                duration_from_secs(
                    workers.heartbeat_interval_s * startup::MAX_HEARTBEAT_INTERVALS + agents::CONTROLLER_SWITCH_S,
                ),
            ),
            leadership: Leadership::default(),
            sharding: Sharding::default(),
            connectivity: Connectivity::new(PeerTable::new(&config.member, incarnation >> 1, heartbeat_interval)),
            agents: Agents::default(),
            scheduler: Scheduler::new(&platform.machine_limits),
            quota: QuotaReservations::default(),
            journal: Journal::default(),
            cloud: CloudAccess::new(platform.cloud.rps / controllers),
            autoscaler: Autoscaler::default(),
            releases: Releases::new(),
            maintenance: Maintenance::default(),
            service_levels: ServiceLevels::new(platform),
            api: Api::default(),
            config,
        }
    }

    /// Handles one event at the time `now`, and appends the actions that follow from it.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        if let Some(suspended) = self.process.suspension.observe_event(now) {
            self.resume(suspended);
        }
        match event {
            Event::Request { conn, method, path, body } => self.handle_request(conn, &method, &path, &body),
            Event::CallEnded { id, result } => {
                if let Some(purpose) = self.outbox.end_call(id) {
                    self.handle_result(id, purpose, result);
                }
            }
            Event::Peer { member, frame: Frame::PeerHeartbeat(heartbeat) } => {
                self.record_peer_images(&heartbeat);
                self.update_newly_provisioned(&heartbeat.provisioned);
                self.agents.mark_unlisted(&heartbeat.unlisted);
                self.connectivity.receive(&member, &heartbeat, now);
                // Revocations hold no matter when they were sent and how late they arrive.
                if let Some(revocations) = &heartbeat.revocations {
                    self.apply_revocations(revocations);
                }
                for heard in &heartbeat.recent_machines {
                    let heard_at = now.saturating_sub(Duration::from_millis(heard.ago_ms));
                    self.agents.record_elsewhere(&heard.machine, (heard.agent_epoch, heard.heartbeat_seq), heard_at);
                }
                self.probe(&heartbeat.unresponsive);
            }
            Event::Peer { frame: Frame::Hello { .. }, .. } => {}
            Event::OperatorSettings(operator) => {
                tracing::info!(
                    budgets = operator.budget.len(),
                    campaigns = operator.campaign.len(),
                    "operator settings reloaded"
                );
                self.config.operator = *operator;
            }
            Event::Tick => self.tick(),
        }
        if self.scheduler.begin_round(self.now, self.store.session.read_interval) {
            self.schedule();
        }
        self.outbox.drain_into(actions);
    }

    /// Does everything that is due with the passage of time.
    fn tick(&mut self) {
        self.process.suspension.observe_tick(self.now);
        self.synchronize();
        self.answer_due_requests();
        self.read_catalog();
        let heartbeat_interval = Self::peer_heartbeat_interval(self.heartbeat_intervals(1.0));
        if self.connectivity.begin_heartbeat(self.now, heartbeat_interval) {
            self.send_heartbeat();
        }
        if !self.store.session.is_following() {
            return;
        }
        self.update_rate_limits();
        if self.agents.begin_check(self.now, self.heartbeat_intervals(0.1)) {
            self.update_startup();
            self.diagnose_partitions();
            self.check_agents();
            self.check_jobs();
            self.record_overdue();
        }
        self.end_complete_jobs();
        self.update_leadership();
        if self.service_levels.summary_due(self.now, self.heartbeat_intervals(4.0)) {
            self.log_summary();
        }
    }

    /// Sets this controller's shares of the store's write limit and of the cloud's request
    /// limit, which hold for all controllers together.
    ///
    /// The live controllers share the writes. The leader has two shares, except shortly
    /// after an outage, when users crowd to all controllers alike. The leader alone
    /// provisions machines, so it has most of the requests to the cloud.
    fn update_rate_limits(&mut self) {
        let platform = &self.config.deployment;
        let others = (self.config.controllers() as f64 - 1.0).max(1.0);
        let live = (self.state.members.len() as f64).max(1.0);
        let (write_shares, cloud_fraction) =
            if self.is_leader() { (2.0, LEADER_CLOUD_FRACTION) } else { (1.0, (1.0 - LEADER_CLOUD_FRACTION) / others) };
        let equal_shares = self
            .transactions
            .since_store_recovered(self.now)
            .is_some_and(|since| since < self.heartbeat_intervals(EQUAL_SHARES_INTERVALS));
        let (write_shares, all_shares) = if equal_shares { (1.0, live) } else { (write_shares, live + 1.0) };
        let write_rate = platform.state.write_rps * USABLE_WRITE_FRACTION * write_shares / all_shares;
        self.transactions.set_write_rate(write_rate);
        self.cloud.set_request_rate(platform.cloud.rps * cloud_fraction);
    }

    /// A duration in seconds, with the bounds of [`duration_from_secs`].
    fn secs(&self, seconds: f64) -> Duration {
        duration_from_secs(seconds)
    }

    /// The duration of this many heartbeat intervals of the workers.
    fn heartbeat_intervals(&self, count: f64) -> Duration {
        self.secs(self.config.deployment.workers.heartbeat_interval_s * count)
    }

    /// The time of day in milliseconds.
    fn wall_ms(&self) -> u64 {
        self.process.wall_ms(self.now)
    }

    /// Whether this controller may act for the whole cluster: its replica is recent enough
    /// that a cancellation it has not seen yet still meets its deadline. A worker that is
    /// answered now stops its tasks at most `lease_s` later.
    fn may_act(&self) -> bool {
        let workers = &self.config.deployment.workers;
        let margin_s = workers.heartbeat_interval_s;
        let max_age = self.secs((workers.cancel_s - workers.lease_s - margin_s) / MAX_CLOCK_RATE_RATIO);
        let is_recent = |at: Instant| self.now.saturating_sub(at) < max_age;
        // A replica that was read again may lack changes that its predecessor answered with.
        let complete = self.store.session.is_following() && self.state.has_applied_all_known();
        complete
            && (self.store.session.fresh_at.is_some_and(is_recent) || self.confirmed_fresh_at().is_some_and(is_recent))
    }

    /// Whether the replica is known to be less than one heartbeat interval old.
    fn is_replica_fresh(&self) -> bool {
        self.store.session.staleness(self.now).is_some_and(|staleness| staleness < self.heartbeat_intervals(1.0))
    }

    /// Whether decisions that nothing in the store checks may rest on the replica, such as rentals,
    /// releases and preemptions: it is less than one heartbeat interval old, and not from before a
    /// suspension of this process.
    fn may_decide(&self) -> bool {
        self.is_replica_fresh() && self.is_replica_confirmed_since_resume()
    }

    /// Whether the machine is granted to this process.
    fn owns(&self, machine: &Versioned<records::MachineRecord>) -> bool {
        self.process.owns(&machine.rec)
    }

    /// The machine type of this name, if the cloud offers it.
    fn machine_type(&self, machine_type: &str) -> Option<&MachineType> {
        self.cloud.machine_type(machine_type)
    }

    /// Starts a call; its result is handled according to `purpose`.
    fn call(
        &mut self,
        target: Target,
        method: &'static str,
        path: String,
        body: Option<Vec<u8>>,
        timeout: Duration,
        purpose: CallPurpose,
    ) -> CallId {
        self.outbox.call(target, method, path, body, timeout, purpose)
    }

    /// Handles the result of a call, after the retry policy has taken note of it.
    fn handle_result(&mut self, id: CallId, purpose: CallPurpose, result: Result<Reply, NoAnswer>) {
        if let Some(retry) = purpose.retry_purpose() {
            let was_unavailable = self.retry.is_open(RemoteService::Store);
            self.retry.record_outcome(retry, retry_outcome(retry, &result), self.now);
            if was_unavailable && !self.retry.is_open(RemoteService::Store) {
                self.transactions.store_recovered(self.now);
            }
        }
        match purpose {
            CallPurpose::Lease | CallPurpose::Renew | CallPurpose::Scan | CallPurpose::Watch | CallPurpose::Barrier => {
                self.handle_store_result(&purpose, result);
            }
            CallPurpose::Catalog | CallPurpose::List | CallPurpose::Rent { .. } => {
                self.handle_cloud_result(purpose, result);
            }
            CallPurpose::Release { machines } => self.handle_release_answer(machines, result),
            CallPurpose::Commands { machine, grant } => self.handle_push_answer(id, &machine, grant, result),
            CallPurpose::Probe { machine, known } => self.handle_probe_answer(machine, known, result),
            CallPurpose::Txn(pending) => self.handle_txn_result(id, pending, &result),
        }
    }

    /// Reacts to changes of the replica: ends and stops jobs, and evaluates again the
    /// heartbeats and requests that wait for a change.
    fn replica_changed(&mut self) {
        if self.state.leader.is_some() {
            self.leadership.observe_leader(self.now);
        }
        if !self.service_levels.has_seen_machines() && self.state.machines.keys().any(|name| self.is_up(name)) {
            let (wall_ms, startup_s) = (self.wall_ms(), self.cloud.shortest_startup_s());
            self.service_levels.record_first_machine(self.now, wall_ms, startup_s);
        }
        for uid in std::mem::take(&mut self.state.newly_complete) {
            if self.has_to_end(&uid) {
                self.journal.mark_jobs_to_end([uid]);
            }
        }
        for (spec, submitted_ms) in std::mem::take(&mut self.state.newly_done) {
            self.record_finished(&spec, submitted_ms);
        }
        for uid in std::mem::take(&mut self.state.newly_cancelled) {
            self.stop_job(&uid);
        }
        self.push_withheld_starts();
        self.retry_pending_heartbeats();
        self.answer_requests(RequestEvent::ReplicaAt(self.state.revision));
    }
}
