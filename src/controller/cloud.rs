//! Access to the cloud: its catalog of machine types, its list of machines, and this
//! controller's share of the cloud's request limit.

#![warn(missing_docs)]

use super::*;
use crate::protocol::cloud::{CATALOG_PATH, Catalog, MachinePage, Phase, list_path};
use crate::protocol::decode;
use crate::protocol::store::{Condition, Op};
use crate::protocol::user::JobSpec;
use crate::state::records::Versions;
use records::MachineRecord;

/// A machine that was first listed more than this many list lags ago appears in every later
/// list unless it is gone, since a list is at most two lags old.
const ABSENCE_PROOF_LAGS: f64 = 2.5;
/// Upper bound on the size of one machine type in the stored catalog.
const MAX_CATALOG_ENTRY_BYTES: usize = 512;
/// Timeout of reading the catalog or a page of the list, in heartbeat intervals.
const READ_TIMEOUT_INTERVALS: f64 = 2.0;
/// Interval between two reads of the list, in lags of the list.
const LIST_INTERVAL_LAGS: f64 = 0.5;
/// Status of a request that the cloud carried out.
const OK: u16 = 200;
/// Status of a request that the cloud rejected because of its rate limit.
const TOO_MANY_REQUESTS: u16 = 429;

/// The cloud's catalog and list of machines, and this controller's share of its rate limit.
#[derive(Debug)]
pub(super) struct CloudAccess {
    request_rate: RateLimiter,
    catalog: Vec<MachineType>,
    /// When the next read of the catalog is due.
    next_catalog_read_at: Instant,
    catalog_read_in_flight: bool,
    /// The machines of the newest complete list, by name.
    machines: BTreeMap<String, ListedMachine>,
    /// When each machine was first listed.
    first_listed: HashMap<String, Instant>,
    /// Recorded machines that the cloud no longer lists, or lists as failed.
    unlisted: BTreeSet<String>,
    /// The read of the list that is in progress.
    list_read: ListRead,
    /// When the newest complete list was received.
    list_complete_at: Option<Instant>,
    /// When the next read of the list is due.
    next_list_read_at: Instant,
    list_read_in_flight: bool,
}

/// A read of the list of machines, of which some pages may have arrived.
#[derive(Debug, Default)]
struct ListRead {
    machines: BTreeMap<String, ListedMachine>,
    /// When its first page was requested.
    requested_at: Instant,
    /// Whether the cloud rejected a later page because of its rate limit. The pages before it are
    /// kept, and the read is resumed after them.
    is_interrupted: bool,
}

impl ListRead {
    /// The machine after which the read continues: empty for a read from the beginning,
    /// otherwise the last machine before the cloud's rate limit interrupted the read. Without
    /// resuming, a list with more pages than the cloud allows in one burst of requests would
    /// never be read to its end.
    fn resume_after(&mut self, now: Instant) -> String {
        if !self.is_interrupted {
            self.machines.clear();
            self.requested_at = now;
        }
        self.machines.keys().next_back().cloned().unwrap_or_default()
    }

    /// Adds a page, and returns the machine after which the next page begins, if there is one.
    fn add_page(&mut self, page: MachinePage) -> Option<String> {
        let last = page.machines.last().map(|machine| machine.id.clone());
        for machine in page.machines {
            self.machines.insert(machine.id.clone(), machine);
        }
        last.filter(|_| page.truncated)
    }
}

/// The state of a read of the list after a page was requested.
#[derive(Debug)]
enum ListProgress {
    /// No page was received. The read starts again or is resumed when it is next due.
    Stopped,
    /// The next page begins after this machine.
    NextPage(String),
    /// The last page was received. Every page shows what the list was after `requested_at`.
    Complete { requested_at: Instant },
}

impl CloudAccess {
    /// Creates the state before any read; `requests_per_s` is this controller's share of the
    /// cloud's request limit.
    pub(super) fn new(requests_per_s: f64) -> CloudAccess {
        CloudAccess {
            request_rate: RateLimiter::new(requests_per_s),
            catalog: Vec::new(),
            next_catalog_read_at: Duration::ZERO,
            catalog_read_in_flight: false,
            machines: BTreeMap::new(),
            first_listed: HashMap::new(),
            unlisted: BTreeSet::new(),
            list_read: ListRead::default(),
            list_complete_at: None,
            next_list_read_at: Duration::ZERO,
            list_read_in_flight: false,
        }
    }

    /// Changes this controller's share of the cloud's request limit.
    pub(super) fn set_request_rate(&mut self, requests_per_s: f64) {
        self.request_rate.rate = requests_per_s;
    }

    /// Whether the rate limit allows a request now.
    pub(super) fn allows_request(&self, now: Instant) -> bool {
        self.request_rate.has_balance_for(now, 1.0)
    }

    /// The number of requests that the rate limit allows now.
    pub(super) fn available_requests(&self, now: Instant) -> f64 {
        self.request_rate.balance_at(now)
    }

    /// Counts a request against the rate limit.
    pub(super) fn charge_request(&mut self, now: Instant) {
        self.request_rate.charge(now, 1.0);
    }

    /// The machine types of the catalog; empty until it was read or loaded from the store.
    pub(super) fn catalog(&self) -> &[MachineType] {
        &self.catalog
    }

    /// The machine type with this label.
    pub(super) fn machine_type(&self, label: &str) -> Option<&MachineType> {
        self.catalog.iter().find(|machine_type| machine_type.name == label)
    }

    /// Boot time of the machine type that boots fastest; infinite without a catalog.
    pub(super) fn shortest_startup_s(&self) -> f64 {
        self.catalog.iter().map(|machine_type| machine_type.startup_s).fold(f64::INFINITY, f64::min)
    }

    /// Boot time of the machine type that boots slowest; zero without a catalog.
    pub(super) fn longest_startup_s(&self) -> f64 {
        self.catalog.iter().map(|machine_type| machine_type.startup_s).fold(0.0, f64::max)
    }

    /// The lowest rate at which any machine type fetches images; infinite without a catalog.
    pub(super) fn slowest_pull_gb_per_s(&self) -> f64 {
        self.catalog.iter().map(|machine_type| machine_type.pull_gb_per_s).fold(f64::INFINITY, f64::min)
    }

    /// The highest rate at which any machine type fetches images; never zero.
    pub(super) fn fastest_pull_gb_per_s(&self) -> f64 {
        self.catalog.iter().map(|machine_type| machine_type.pull_gb_per_s).fold(f64::MIN_POSITIVE, f64::max)
    }

    /// Uses the stored catalog until the cloud answers. The catalog is still read from the
    /// cloud when it is due.
    pub(super) fn load_stored_catalog(&mut self, types: &[MachineType]) {
        self.set_catalog(types.to_vec());
    }

    /// Replaces the catalog. Machine types with invalid numbers are left out.
    fn set_catalog(&mut self, types: Vec<MachineType>) {
        let (valid, invalid): (Vec<_>, Vec<_>) = types.into_iter().partition(MachineType::has_valid_numbers);
        for machine_type in invalid {
            tracing::warn!(machine_type = %machine_type.name, "machine type with invalid numbers ignored");
        }
        self.catalog = valid;
    }

    /// Whether the cloud offers a machine type on which tasks of the job can run.
    pub(super) fn any_type_can_run(&self, spec: &JobSpec) -> bool {
        self.catalog.iter().any(|machine_type| machine_type.can_run(spec))
    }

    /// Whether the catalog should be read: there is none, or its next read is due.
    pub(super) fn catalog_due(&self, now: Instant) -> bool {
        now >= self.next_catalog_read_at || self.catalog.is_empty()
    }

    /// Records that a read of the catalog is sent; the next is due after `interval`.
    fn begin_catalog_read(&mut self, now: Instant, interval: Duration) {
        self.catalog_read_in_flight = true;
        self.request_rate.charge(now, 1.0);
        self.next_catalog_read_at = now + interval;
    }

    /// Handles the answer to a read of the catalog. True if it contains a catalog.
    fn finish_catalog_read(&mut self, now: Instant, result: Result<Reply, NoAnswer>) -> bool {
        self.catalog_read_in_flight = false;
        let reply = result.ok().filter(|reply| reply.status == OK);
        match reply.and_then(|reply| decode::<Catalog>(&reply.body).ok()) {
            Some(catalog) => {
                self.set_catalog(catalog.machine_types);
                true
            }
            None => {
                self.next_catalog_read_at = now; // as soon as the retry policy allows
                false
            }
        }
    }

    /// The machines of the newest complete list, by name.
    pub(super) fn machines(&self) -> &BTreeMap<String, ListedMachine> {
        &self.machines
    }

    /// Whether a complete list was read since [`Self::invalidate_list`] was last called.
    pub(super) fn has_list(&self) -> bool {
        self.list_complete_at.is_some()
    }

    /// Requires the list to be read again before any decision is based on it. A new leader
    /// calls this, so that it decides by a list of its own term.
    pub(super) fn invalidate_list(&mut self) {
        self.list_complete_at = None;
        self.list_read.is_interrupted = false;
    }

    /// Recorded machines that the cloud no longer lists, or lists as failed.
    pub(super) fn unlisted(&self) -> &BTreeSet<String> {
        &self.unlisted
    }

    /// Whether the list should be read: no read is in flight and the next one is due.
    fn list_due(&self, now: Instant) -> bool {
        !self.list_read_in_flight && now >= self.next_list_read_at
    }

    /// Records that a read of the list is sent, and returns the machine after which it begins.
    fn begin_list_read(&mut self, now: Instant) -> String {
        self.list_read_in_flight = true;
        self.request_rate.charge(now, 1.0);
        self.list_read.resume_after(now)
    }

    /// Handles the answer to a request for a page of the list, or the lack of one. The next
    /// read of the list is due after `interval`.
    fn receive_list_page(&mut self, now: Instant, interval: Duration, result: Result<Reply, NoAnswer>) -> ListProgress {
        self.list_read_in_flight = false;
        self.next_list_read_at = now + interval;
        let rate_limited = result.as_ref().is_ok_and(|reply| reply.status == TOO_MANY_REQUESTS);
        if rate_limited && !self.list_read.machines.is_empty() {
            self.list_read.is_interrupted = true;
            self.next_list_read_at = now; // as soon as the retry policy allows
            return ListProgress::Stopped;
        }
        let Some(reply) = result.ok().filter(|reply| reply.status == OK) else {
            self.list_read.is_interrupted = false;
            return ListProgress::Stopped;
        };
        let Ok(page) = decode::<MachinePage>(&reply.body) else { return ListProgress::Stopped };
        if let Some(last) = self.list_read.add_page(page) {
            self.list_read_in_flight = true;
            return ListProgress::NextPage(last);
        }
        let read = std::mem::take(&mut self.list_read);
        self.machines = read.machines;
        self.list_complete_at = Some(now);
        ListProgress::Complete { requested_at: read.requested_at }
    }

    /// Updates the set of unlisted machines, and tells whether any machine is newly unlisted.
    ///
    /// A machine that was listed and is now missing is gone, because a machine stays listed
    /// for as long as it exists. But a list may be older than the one read before it, by at
    /// most twice the lag, and may then miss a machine that has just appeared. So a missing
    /// machine counts as gone only if it was first listed more than `absence_proof` before
    /// `requested_at`, when the first page of the list was requested: the answers may have waited in
    /// the sockets of a suspended process. `absence_proof` is longer than twice the lag. A machine
    /// listed as failed counts as gone at once.
    fn update_unlisted(
        &mut self,
        now: Instant,
        requested_at: Instant,
        absence_proof: Duration,
        recorded: &Versions<MachineRecord>,
    ) -> bool {
        for name in self.machines.keys() {
            self.first_listed.entry(name.clone()).or_insert(now);
        }
        let listed = &self.machines;
        self.first_listed.retain(|name, _| listed.contains_key(name) || recorded.contains_key(name));
        let gone = |name: &String| match listed.get(name) {
            Some(machine) => machine.phase == Phase::Failed,
            None => self.first_listed.get(name).is_some_and(|at| requested_at.saturating_sub(*at) > absence_proof),
        };
        let unlisted: BTreeSet<String> = recorded.keys().filter(|name| gone(name)).cloned().collect();
        let newly_unlisted = !unlisted.is_subset(&self.unlisted);
        self.unlisted = unlisted;
        newly_unlisted
    }
}

impl Controller {
    /// Whether the retry policy and the rate limit allow a request to the cloud now.
    pub(super) fn may_call_cloud(&self, purpose: RetryPurpose) -> bool {
        self.retry.allows(purpose, self.now) && self.cloud.allows_request(self.now)
    }

    /// Reads the catalog when it is due.
    pub(super) fn read_catalog(&mut self) {
        let due = self.cloud.catalog_due(self.now) && !self.cloud.catalog_read_in_flight;
        if !due || !self.may_call_cloud(RetryPurpose::Catalog) {
            return;
        }
        let interval = self.secs(self.config.deployment.workers.lease_s);
        self.cloud.begin_catalog_read(self.now, interval);
        let timeout = self.heartbeat_intervals(READ_TIMEOUT_INTERVALS);
        self.call(Target::Cloud, "GET", CATALOG_PATH.into(), None, timeout, CallPurpose::Catalog);
    }

    /// Keeps the catalog in the store, so that a controller that starts while the cloud does
    /// not answer knows what can run.
    pub(super) fn store_catalog(&mut self) {
        let stored = self.state.catalog.as_ref();
        let types = self.cloud.catalog();
        let max_types = (self.config.deployment.state.value_kb * 1024.0) as usize / MAX_CATALOG_ENTRY_BYTES;
        let unchanged = stored.is_some_and(|catalog| catalog.rec.has_same_types(types));
        if types.is_empty()
            || types.len() > max_types
            || unchanged
            || self.transactions.is_locked(records::CATALOG_KEY)
            || !self.may_write(1.0 + self.transactions.write_rate() * SUBMISSION_RESERVE_FRACTION)
        {
            return;
        }
        let key = records::CATALOG_KEY.to_string();
        let record = records::CatalogRecord { types: types.to_vec() };
        let version = stored.map_or(0, |catalog| catalog.version);
        let txn = Txn {
            conditions: vec![self.leader_condition(), Condition { key: key.clone(), version }],
            ops: vec![Op::Put { key, data: records::to_value(&record), lease: None }],
        };
        self.transact_locking_machines(txn, TxnPurpose::Catalog);
    }

    /// Reads the list of machines when it is due.
    pub(super) fn read_machine_list(&mut self) {
        if self.cloud.list_due(self.now) && self.may_call_cloud(RetryPurpose::List) {
            let after = self.cloud.begin_list_read(self.now);
            self.request_list_page(&after);
        }
    }

    /// Requests the page of the list that begins after this machine.
    fn request_list_page(&mut self, after: &str) {
        let timeout = self.heartbeat_intervals(READ_TIMEOUT_INTERVALS);
        self.call(Target::Cloud, "GET", list_path(after), None, timeout, CallPurpose::List);
    }

    /// Handles an answer of the cloud: its catalog, a page of its list, or a rental.
    pub(super) fn handle_cloud_result(&mut self, purpose: CallPurpose, result: Result<Reply, NoAnswer>) {
        match purpose {
            CallPurpose::Catalog => self.handle_catalog_answer(result),
            CallPurpose::List => self.handle_list_answer(result),
            CallPurpose::Rent { offer, number, requested_at } => {
                self.handle_rent_answer(offer, number, requested_at, result);
            }
            _ => {}
        }
    }

    fn handle_catalog_answer(&mut self, result: Result<Reply, NoAnswer>) {
        if self.cloud.finish_catalog_read(self.now, result) {
            self.scheduler.request_round();
        }
    }

    fn handle_list_answer(&mut self, result: Result<Reply, NoAnswer>) {
        let interval = self.secs(self.config.deployment.cloud.list_lag_s * LIST_INTERVAL_LAGS);
        match self.cloud.receive_list_page(self.now, interval, result) {
            ListProgress::Stopped => {}
            ListProgress::NextPage(after) => self.request_list_page(&after),
            ListProgress::Complete { requested_at } => {
                self.update_unlisted_machines(requested_at);
                self.forget_finished_rentals();
            }
        }
    }

    /// Updates the set of unlisted machines. The owners of newly unlisted machines are told
    /// of them, and confirm with the cloud that a machine is gone before they act on it.
    fn update_unlisted_machines(&mut self, requested_at: Instant) {
        let absence_proof = self.secs(self.config.deployment.cloud.list_lag_s * ABSENCE_PROOF_LAGS);
        if self.cloud.update_unlisted(self.now, requested_at, absence_proof, &self.state.machines) {
            // The owners can then confirm it soon and start the machines' tasks elsewhere.
            self.connectivity.hasten_heartbeat(self.now);
        }
        self.agents.mark_unlisted(self.cloud.unlisted());
    }
}

#[cfg(test)]
mod tests;
