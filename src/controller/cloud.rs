//! Access to the cloud: its catalog of machine types, its list of machines, and this
//! controller's part of the cloud's request limit.

use super::*;
use crate::protocol::cloud::{CATALOG, Catalog, Page, Phase, list_path};
use crate::protocol::decode;
use crate::protocol::store::{Condition, Op};
use crate::state::records::Versions;
use records::MachineRecord;

/// A machine that was listed for so many lags of the list is in any later list,
/// unless it is gone: lists are at most two lags old.
const ABSENCE_PROOF_LAGS: f64 = 2.5;
/// A machine type takes no more than this of a record.
const CATALOG_ENTRY_BYTES: usize = 512;
/// Pages of the catalog and the list are waited for during so many heartbeat intervals.
const READ_TIMEOUT_INTERVALS: f64 = 2.0;
/// The list is read again after this part of the time that it may lag behind.
const LIST_INTERVAL_LAGS: f64 = 0.5;
/// The cloud's answer to a request that it carried out.
const OK: u16 = 200;
/// The cloud's answer above its rate limit.
const TOO_MANY_REQUESTS: u16 = 429;

/// The cloud's catalog and list of machines, and this controller's part of its rate limit.
#[derive(Debug)]
pub(super) struct CloudAccess {
    request_rate: RateLimiter,
    catalog: Vec<MachineType>,
    catalog_read_next: Instant,
    catalog_read_in_flight: bool,
    /// Machines by the newest complete list.
    machines: BTreeMap<String, ListedMachine>,
    /// When each machine was first listed.
    first_listed: HashMap<String, Instant>,
    /// Recorded machines that the cloud lists no more, or as failed.
    unlisted: BTreeSet<String>,
    list_read: ListRead,
    /// When the newest list was complete.
    list_complete_at: Option<Instant>,
    list_read_next: Instant,
    list_read_in_flight: bool,
}

/// A list of machines of which some pages may have been read.
#[derive(Debug, Default)]
struct ListRead {
    machines: BTreeMap<String, ListedMachine>,
    /// When the cloud first refused a later page for its rate limit: the pages before it
    /// are kept, and the read is resumed there.
    interrupted_at: Option<Instant>,
}

impl ListRead {
    /// After which machine the read goes on: from the beginning, or on from where the
    /// cloud's rate limit cut it short. A list of more pages than the cloud takes in one
    /// burst would otherwise never come to its end.
    fn resume_after(&mut self) -> String {
        if self.interrupted_at.is_none() {
            self.machines.clear();
        }
        self.machines.keys().next_back().cloned().unwrap_or_default()
    }

    /// Adds a page; the machine after which the next one begins, if there is one.
    fn add_page(&mut self, page: Page) -> Option<String> {
        let last = page.machines.last().map(|machine| machine.uid.clone());
        for machine in page.machines {
            self.machines.insert(machine.uid.clone(), machine);
        }
        last.filter(|_| page.truncated)
    }
}

/// How a read of the list stands after a page was answered.
#[derive(Debug)]
enum ListProgress {
    /// No page: the read is begun anew, or resumed, when it is due.
    Stopped,
    /// The next page begins after this machine.
    NextPage(String),
    /// That was the last page. The first pages had been read at this time.
    Complete { read_at: Instant },
}

impl CloudAccess {
    /// Nothing was read yet; `requests_per_s` is this controller's part of the limit.
    pub(super) fn new(requests_per_s: f64) -> CloudAccess {
        CloudAccess {
            request_rate: RateLimiter::new(requests_per_s),
            catalog: Vec::new(),
            catalog_read_next: Duration::ZERO,
            catalog_read_in_flight: false,
            machines: BTreeMap::new(),
            first_listed: HashMap::new(),
            unlisted: BTreeSet::new(),
            list_read: ListRead::default(),
            list_complete_at: None,
            list_read_next: Duration::ZERO,
            list_read_in_flight: false,
        }
    }

    /// Changes this controller's part of the cloud's request limit.
    pub(super) fn set_request_rate(&mut self, requests_per_s: f64) {
        self.request_rate.rate = requests_per_s;
    }

    /// Whether the rate limit has room for a request.
    pub(super) fn has_request(&self, now: Instant) -> bool {
        self.request_rate.has(now, 1.0)
    }

    /// Requests that the rate limit has room for.
    pub(super) fn available_requests(&self, now: Instant) -> f64 {
        self.request_rate.level(now)
    }

    /// Counts a request against the rate limit.
    pub(super) fn charge_request(&mut self, now: Instant) {
        self.request_rate.charge(now, 1.0);
    }

    /// Machine types of the catalog; none until it was read.
    pub(super) fn catalog(&self) -> &[MachineType] {
        &self.catalog
    }

    /// The machine type of this label.
    pub(super) fn machine_type(&self, label: &str) -> Option<&MachineType> {
        self.catalog.iter().find(|machine_type| machine_type.label == label)
    }

    /// Boot time of the fastest machine type; infinite without a catalog.
    pub(super) fn shortest_startup_s(&self) -> f64 {
        self.catalog.iter().map(|t| t.startup_s).fold(f64::INFINITY, f64::min)
    }

    /// Boot time of the slowest machine type; zero without a catalog.
    pub(super) fn longest_startup_s(&self) -> f64 {
        self.catalog.iter().map(|t| t.startup_s).fold(0.0, f64::max)
    }

    /// The lowest rate at which a machine fetches images; infinite without a catalog.
    pub(super) fn slowest_pull_gb_per_s(&self) -> f64 {
        self.catalog.iter().map(|t| t.pull_gb_per_s).fold(f64::INFINITY, f64::min)
    }

    /// The highest rate at which a machine fetches images; never zero.
    pub(super) fn fastest_pull_gb_per_s(&self) -> f64 {
        self.catalog.iter().map(|t| t.pull_gb_per_s).fold(f64::MIN_POSITIVE, f64::max)
    }

    /// Uses the stored catalog until the cloud answers, which is asked all the same.
    pub(super) fn load_stored_catalog(&mut self, types: &[MachineType]) {
        self.catalog = types.to_vec();
    }

    /// Whether the catalog should be read: there is none, or it has grown old.
    pub(super) fn catalog_due(&self, now: Instant) -> bool {
        now >= self.catalog_read_next || self.catalog.is_empty()
    }

    /// A read of the catalog is sent; the next is due after `interval`.
    fn begin_catalog_read(&mut self, now: Instant, interval: Duration) {
        self.catalog_read_in_flight = true;
        self.request_rate.charge(now, 1.0);
        self.catalog_read_next = now + interval;
    }

    /// A read of the catalog was answered; whether there is a new one.
    fn finish_catalog_read(&mut self, now: Instant, result: Result<Reply, NoAnswer>) -> bool {
        self.catalog_read_in_flight = false;
        let reply = result.ok().filter(|reply| reply.status == OK);
        match reply.and_then(|reply| decode::<Catalog>(&reply.body).ok()) {
            Some(catalog) => {
                self.catalog = catalog.machine_types;
                true
            }
            None => {
                self.catalog_read_next = now; // as soon as the retry policy allows
                false
            }
        }
    }

    /// Machines by the newest complete list.
    pub(super) fn machines(&self) -> &BTreeMap<String, ListedMachine> {
        &self.machines
    }

    /// Whether a complete list was read, in its term by a leader.
    pub(super) fn has_list(&self) -> bool {
        self.list_complete_at.is_some()
    }

    /// The list has to be read anew before anything is decided by it.
    pub(super) fn require_new_list(&mut self) {
        self.list_complete_at = None;
        self.list_read.interrupted_at = None;
    }

    /// Recorded machines that the cloud lists no more, or as failed.
    pub(super) fn unlisted(&self) -> &BTreeSet<String> {
        &self.unlisted
    }

    fn list_due(&self, now: Instant) -> bool {
        !self.list_read_in_flight && now >= self.list_read_next
    }

    /// A read of the list is sent; the machine after which it begins.
    fn begin_list_read(&mut self, now: Instant) -> String {
        self.list_read_in_flight = true;
        self.request_rate.charge(now, 1.0);
        self.list_read.resume_after()
    }

    /// A page of the list was answered, or was not. The next list is due after `interval`.
    fn receive_list_page(&mut self, now: Instant, interval: Duration, result: Result<Reply, NoAnswer>) -> ListProgress {
        self.list_read_in_flight = false;
        self.list_read_next = now + interval;
        let rate_limited = result.as_ref().is_ok_and(|reply| reply.status == TOO_MANY_REQUESTS);
        if rate_limited && !self.list_read.machines.is_empty() {
            self.list_read.interrupted_at.get_or_insert(now);
            self.list_read_next = now; // as soon as the retry policy allows
            return ListProgress::Stopped;
        }
        let Some(reply) = result.ok().filter(|reply| reply.status == OK) else {
            self.list_read.interrupted_at = None;
            return ListProgress::Stopped;
        };
        let Ok(page) = decode::<Page>(&reply.body) else { return ListProgress::Stopped };
        if let Some(last) = self.list_read.add_page(page) {
            self.list_read_in_flight = true;
            return ListProgress::NextPage(last);
        }
        let read = std::mem::take(&mut self.list_read);
        self.machines = read.machines;
        self.list_complete_at = Some(now);
        ListProgress::Complete { read_at: read.interrupted_at.unwrap_or(now) }
    }

    /// Machines that were listed and are no more are gone: once listed, they stay so.
    /// A list may be older than the one before it, by twice the lag at most, so a machine
    /// has to have been listed for `absence_proof`, which is longer than that. `read_at`:
    /// when the first pages of the list had been read. Whether there are new ones.
    fn update_unlisted(
        &mut self,
        now: Instant,
        read_at: Instant,
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
            None => self.first_listed.get(name).is_some_and(|t| read_at.saturating_sub(*t) > absence_proof),
        };
        let unlisted: BTreeSet<String> = recorded.keys().filter(|name| gone(name)).cloned().collect();
        let grew = !unlisted.is_subset(&self.unlisted);
        self.unlisted = unlisted;
        grew
    }
}

impl Controller {
    /// Whether the retry policy and the rate limit allow a request to the cloud now.
    pub(super) fn may_call_cloud(&self, purpose: Retry) -> bool {
        self.retry.may(purpose, self.now) && self.cloud.has_request(self.now)
    }

    /// Reads the catalog when it is due.
    pub(super) fn read_catalog(&mut self) {
        let due = self.cloud.catalog_due(self.now) && !self.cloud.catalog_read_in_flight;
        if !due || !self.may_call_cloud(Retry::Catalog) {
            return;
        }
        let interval = self.secs(self.config.settings.workers.lease_s);
        self.cloud.begin_catalog_read(self.now, interval);
        let timeout = self.heartbeat_intervals(READ_TIMEOUT_INTERVALS);
        self.call(Target::Cloud, "GET", CATALOG.into(), None, timeout, Purpose::Catalog);
    }

    /// Keeps the catalog in the store, so that whoever starts while the cloud does not
    /// answer knows what can run.
    pub(super) fn store_catalog(&mut self) {
        let stored = self.state.catalog.as_ref();
        let types = self.cloud.catalog();
        let limit = (self.config.settings.state.value_kb * 1024.0) as usize / CATALOG_ENTRY_BYTES;
        let unchanged = stored.is_some_and(|catalog| catalog.rec.has(types));
        if types.is_empty()
            || types.len() > limit
            || unchanged
            || self.transactions.is_locked(records::CATALOG_KEY)
            || !self.may_write(1.0 + self.transactions.write_rate() * ACCEPT_RESERVE)
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
        self.txn_keyed(txn, Why::Catalog);
    }

    /// Reads the list of machines when it is due.
    pub(super) fn read_machine_list(&mut self) {
        if self.cloud.list_due(self.now) && self.may_call_cloud(Retry::List) {
            let after = self.cloud.begin_list_read(self.now);
            self.request_list_page(&after);
        }
    }

    fn request_list_page(&mut self, after: &str) {
        let timeout = self.heartbeat_intervals(READ_TIMEOUT_INTERVALS);
        self.call(Target::Cloud, "GET", list_path(after), None, timeout, Purpose::List);
    }

    /// Handles the cloud's answers: its catalog, pages of its list, and rentals.
    pub(super) fn cloud_answer(&mut self, purpose: Purpose, result: Result<Reply, NoAnswer>) {
        match purpose {
            Purpose::Catalog => self.catalog_answer(result),
            Purpose::List => self.list_answer(result),
            Purpose::Rent { offer, number } => self.rent_answer(offer, number, result),
            _ => {}
        }
    }

    fn catalog_answer(&mut self, result: Result<Reply, NoAnswer>) {
        if self.cloud.finish_catalog_read(self.now, result) {
            self.scheduler.request_round();
        }
    }

    fn list_answer(&mut self, result: Result<Reply, NoAnswer>) {
        let interval = self.secs(self.config.settings.cloud.list_lag_s * LIST_INTERVAL_LAGS);
        match self.cloud.receive_list_page(self.now, interval, result) {
            ListProgress::Stopped => {}
            ListProgress::NextPage(after) => self.request_list_page(&after),
            ListProgress::Complete { read_at } => {
                self.update_unlisted_machines(read_at);
                self.forget_rentals_that_came_up();
            }
        }
    }

    /// Owners of machines that are listed no more are informed, and ask the cloud
    /// themselves before anything rests on it.
    fn update_unlisted_machines(&mut self, read_at: Instant) {
        let absence_proof = self.secs(self.config.settings.cloud.list_lag_s * ABSENCE_PROOF_LAGS);
        if self.cloud.update_unlisted(self.now, read_at, absence_proof, &self.state.machines) {
            // Their owners can prove it, and start their tasks elsewhere.
            self.connectivity.hasten_heartbeat(self.now);
        }
        self.agents.mark_unlisted(self.cloud.unlisted());
    }
}

#[cfg(test)]
mod tests;
