//! Synchronization with the store: the lease, the initial scan, the watch, and the read
//! barriers that prove the replica fresh.

use super::*;
use crate::coordination::store_session::SyncState;
use crate::effects::STATUS_TOO_LARGE;
use crate::protocol::decode;
use crate::protocol::store::{Condition, Lease, LeaseRequest, Op, RowPage, TxnResponse, WatchEvent};
use crate::protocol::watch::decode_watch_response;

/// The session with the store, and the replica that a scan is reading from it.
#[derive(Debug)]
pub(super) struct StoreAccess {
    /// The state of the lease, the scan, the watch and the read barriers.
    pub(super) session: StoreSession,
    /// The replica that a scan fills page by page, before it replaces the current one.
    snapshot: ClusterState,
}

/// Status of a watch whose revision is too old for the store.
const STATUS_GONE: u16 = 410;
/// How often a lease is renewed within its time to live.
const RENEWALS_PER_LEASE: u32 = 4;
/// Heartbeat intervals after which the replica has to be proved fresh again.
const BARRIER_INTERVALS: f64 = 0.25;
/// Heartbeat intervals after which a read barrier times out.
const BARRIER_TIMEOUT_INTERVALS: f64 = 0.5;
/// Heartbeat intervals for which the store holds a watch call open while nothing changes.
const WATCH_HOLD_INTERVALS: f64 = 2.0;

impl StoreAccess {
    /// A session that has not begun, and an empty replica to scan into.
    pub(super) fn new(session: StoreSession, snapshot: ClusterState) -> StoreAccess {
        StoreAccess { session, snapshot }
    }

    /// Drops a lease whose renewals have had no answer for its time to live. If the renewals
    /// arrive and only their answers are lost, the store keeps a member alive that sees
    /// nothing; without renewals the lease expires and the other controllers take over.
    fn drop_unrenewed_lease(&mut self, now: Instant) {
        let session = &mut self.session;
        if session.lease.is_some() && now.saturating_sub(session.lease_answered_at) > session.ttl {
            tracing::info!("lease dropped, renewals got no answer");
            session.lease = None;
        }
    }

    /// Whether the lease is to be requested or renewed now.
    fn lease_call_due(&self, now: Instant) -> bool {
        !self.session.lease_call_in_flight && now >= self.session.lease_renewal_at
    }

    /// Notes that a request for a lease, or its renewal, is sent.
    fn begin_lease_call(&mut self, now: Instant) {
        self.session.lease_call_in_flight = true;
        self.session.lease_renewal_at = now + self.session.ttl / RENEWALS_PER_LEASE;
    }

    /// Handles the result of a request for a lease; returns whether it was granted.
    fn end_lease_request(&mut self, now: Instant, result: Result<Reply, NoAnswer>) -> bool {
        self.session.lease_call_in_flight = false;
        match result.ok().filter(|reply| reply.status == 200).and_then(|reply| decode::<Lease>(&reply.body).ok()) {
            Some(lease) => {
                self.session.lease = Some(lease.id);
                self.session.lease_answered_at = now;
                true
            }
            None => {
                self.session.lease_renewal_at = now;
                false
            }
        }
    }

    /// Handles the result of a renewal.
    fn end_renewal(&mut self, now: Instant, result: &Result<Reply, NoAnswer>) {
        self.session.lease_call_in_flight = false;
        let status = result.as_ref().ok().map(|reply| reply.status);
        if status.is_some() {
            // A refusal counts as an answer: the renewal was not carried out.
            self.session.lease_answered_at = now;
        }
        if status != Some(200) {
            self.session.lease_renewal_at = now; // as soon as the retry policy allows
        }
        if status == Some(404) {
            tracing::info!("lease lost");
            self.session.lease = None;
        }
    }

    /// Whether the next page of the scan may be read now.
    fn page_due(&self, now: Instant) -> bool {
        !self.session.scan_in_flight && now >= self.session.scan_not_before && self.session.scan_bucket.allows(now)
    }

    /// Notes that the read of a page is sent.
    fn begin_page(&mut self, now: Instant) {
        self.session.scan_in_flight = true;
        self.session.scan_bucket.consume(now);
    }

    /// Whether the next watch call may be made now.
    fn watch_due(&self, now: Instant) -> bool {
        !self.session.watch_in_flight && self.session.watch_bucket.allows(now)
    }

    /// Notes that a watch call is sent.
    fn begin_watch(&mut self, now: Instant) {
        self.session.watch_in_flight = true;
        self.session.watch_bucket.consume(now);
    }

    /// Whether a read barrier may be sent now.
    fn barrier_allowed(&self, now: Instant) -> bool {
        !self.session.barrier_in_flight && self.session.barrier_bucket.allows(now)
    }

    /// Notes that a read barrier is sent.
    fn begin_barrier(&mut self, now: Instant) {
        self.session.barrier_in_flight = true;
        self.session.barrier_bucket.consume(now);
        self.session.barrier_sent_at = now;
    }

    /// Handles the answer of a read barrier: the store was at `revision` at some time after
    /// the barrier was sent. So once the replica has applied that revision, it contains
    /// everything that the store held when the barrier was sent.
    fn barrier_answered(&mut self, revision: u64, replica_revision: u64) {
        self.session.barriers.push((revision, self.session.barrier_sent_at));
        self.session.record_revision(replica_revision);
    }
}

impl Controller {
    /// Keeps the lease and the replica current: makes every call to the store that is due.
    pub(super) fn synchronize(&mut self) {
        self.store.drop_unrenewed_lease(self.now);
        self.renew_lease();
        match self.store.session.sync_state {
            SyncState::Reading => self.read_next_page(),
            SyncState::Following => self.follow_store(),
        }
    }

    /// Makes the calls that are due once the replica is loaded.
    fn follow_store(&mut self) {
        self.watch_store();
        self.register_member();
        self.prove_freshness();
    }

    /// Renews the lease, or requests one if there is none.
    fn renew_lease(&mut self) {
        let lease = self.store.session.lease;
        let purpose = if lease.is_some() { RetryPurpose::Renew } else { RetryPurpose::Lease };
        if !self.store.lease_call_due(self.now) || !self.retry.allows(purpose, self.now) {
            return;
        }
        self.store.begin_lease_call(self.now);
        let ttl = self.store.session.ttl;
        match lease {
            Some(id) => {
                let timeout = ttl / RENEWALS_PER_LEASE;
                self.call(Target::Store, "POST", store::renew_path(id), None, timeout, CallPurpose::Renew);
            }
            None => {
                let body = crate::protocol::encode(&LeaseRequest { ttl_ms: ttl.as_millis() as u64 });
                self.call(Target::Store, "POST", store::LEASES_PATH.into(), Some(body), ttl / 2, CallPurpose::Lease);
            }
        }
    }

    /// Reads the next page of the scan, if it is due.
    fn read_next_page(&mut self) {
        if !self.store.page_due(self.now) || !self.retry.allows(RetryPurpose::Scan, self.now) {
            return;
        }
        self.store.begin_page(self.now);
        let path = store::scan_path(records::PREFIX, &self.store.session.scan_cursor);
        self.call(Target::Store, "GET", path, None, self.store.session.ttl, CallPurpose::Scan);
    }

    /// Sends a read barrier if requests wait for one, or if the last proof that the replica
    /// is fresh is too old or from before a suspension of this process.
    fn prove_freshness(&mut self) {
        let now = self.now;
        let max_staleness = self.heartbeat_intervals(BARRIER_INTERVALS);
        let stale = self.store.session.staleness(now).is_none_or(|staleness| staleness > max_staleness);
        let due = self.api.awaits_read() || stale || !self.is_replica_confirmed_since_resume();
        if !due || !self.store.barrier_allowed(now) || !self.retry.allows(RetryPurpose::Barrier, now) {
            return;
        }
        self.store.begin_barrier(now);
        self.api.count_read();
        self.answer_requests(RequestEvent::ReadSent);
        let path = store::key_path(records::BARRIER_KEY);
        let timeout = self.heartbeat_intervals(BARRIER_TIMEOUT_INTERVALS);
        self.call(Target::Store, "GET", path, None, timeout, CallPurpose::Barrier);
    }

    /// Requests the changes after the replica's revision.
    fn watch_store(&mut self) {
        if !self.store.watch_due(self.now) || !self.retry.allows(RetryPurpose::Watch, self.now) {
            return;
        }
        self.store.begin_watch(self.now);
        let hold = self.heartbeat_intervals(WATCH_HOLD_INTERVALS);
        let path = store::watch_path(records::PREFIX, self.state.revision, hold.as_millis() as u64);
        self.call(Target::Store, "GET", path, None, hold * 2, CallPurpose::Watch);
    }

    /// Writes the member record of this incarnation, attached to the lease, if the replica
    /// does not show it. Only the retry policy limits this write: a controller that is no
    /// member can do nothing else.
    fn register_member(&mut self) {
        let Some(lease) = self.store.session.lease else { return };
        let key = records::member_key(&self.process.member);
        if self.state.is_live(&self.process.member, self.process.incarnation)
            || self.transactions.is_locked(&key)
            || !self.retry.allows(RetryPurpose::Write, self.now)
        {
            return;
        }
        let version = self.state.members.get(&self.process.member).map_or(0, |m| m.version);
        let record = records::MemberRecord { incarnation: self.process.incarnation };
        let txn = Txn {
            conditions: vec![Condition { key: key.clone(), version }],
            ops: vec![Op::Put { key, data: records::to_value(&record), lease: Some(lease) }],
        };
        self.transact(txn, TxnPurpose::RegisterMember);
    }

    /// Handles the result of a call that synchronizes this controller with the store.
    pub(super) fn handle_store_result(&mut self, purpose: &CallPurpose, result: Result<Reply, NoAnswer>) {
        match purpose {
            CallPurpose::Lease => self.handle_lease_result(result),
            CallPurpose::Renew => self.store.end_renewal(self.now, &result),
            CallPurpose::Scan => self.handle_page_result(result),
            CallPurpose::Watch => self.handle_watch_result(result),
            CallPurpose::Barrier => self.handle_barrier_result(&result),
            _ => {}
        }
    }

    fn handle_lease_result(&mut self, result: Result<Reply, NoAnswer>) {
        if self.store.end_lease_request(self.now, result) && self.store.session.is_following() {
            self.register_member();
        }
    }

    fn handle_page_result(&mut self, result: Result<Reply, NoAnswer>) {
        self.store.session.scan_in_flight = false;
        if let Ok(reply) = result
            && reply.status == 200
            && let Ok(rows) = decode::<RowPage>(&reply.body)
        {
            self.apply_page(rows);
        }
    }

    fn handle_watch_result(&mut self, result: Result<Reply, NoAnswer>) {
        self.store.session.watch_in_flight = false;
        match result {
            Ok(reply) if reply.status == 200 => self.apply_changes(&reply.body),
            // A scan reads the state in pages of limited size.
            Ok(reply) if matches!(reply.status, STATUS_GONE | STATUS_TOO_LARGE) => self.restart_scan(),
            Ok(_) | Err(NoAnswer) => {}
        }
    }

    /// Handles the result of a read barrier. The barrier's key never exists: the valid
    /// answer says that it is absent, and at which revision of the store.
    fn handle_barrier_result(&mut self, result: &Result<Reply, NoAnswer>) {
        self.store.session.barrier_in_flight = false;
        let absent = result.as_ref().ok().filter(|reply| reply.status == 404);
        let revision = absent.and_then(|reply| decode::<TxnResponse>(&reply.body).ok()).map(|answer| answer.revision);
        self.answer_requests(revision.map_or(RequestEvent::ReadFailed, RequestEvent::Read));
        if let Some(revision) = revision {
            self.store.barrier_answered(revision, self.state.revision);
        }
        self.answer_requests(RequestEvent::ReplicaAt(self.state.revision));
        self.push_withheld_starts();
    }

    /// Scans the store again, because the watch cannot continue from the replica's revision.
    fn restart_scan(&mut self) {
        tracing::info!("watch fell behind, reading the state again");
        self.transactions.observe_gap();
        self.store.session.restart_scan(self.now);
    }

    /// Adds a page of the scan to the snapshot; after the last page the snapshot becomes the
    /// replica.
    fn apply_page(&mut self, rows: RowPage) {
        if self.store.session.scan_revision.is_none() {
            self.store.snapshot = ClusterState::loading(self.state.checkpoint_size, rows.revision);
            self.store.session.scan_revision = Some(rows.revision);
        }
        for row in &rows.rows {
            self.store.snapshot.put(&row.key, &row.data, row.version);
            self.transactions.observe_row(&row.key, &row.data, row.version);
        }
        if let Some(last) = rows.rows.last()
            && rows.truncated
        {
            self.store.session.scan_cursor = last.key.clone();
            return self.read_next_page();
        }
        // The watch repeats the changes that were made during the scan.
        let mut replica = std::mem::take(&mut self.store.snapshot);
        replica.finish_loading();
        if replica.format_version() > records::FORMAT_VERSION {
            tracing::error!(
                format_version = replica.format_version(),
                known = records::FORMAT_VERSION,
                "stored state has a later format than this program supports, starting nothing"
            );
            self.store.session.restart_scan(self.now + self.secs(self.config.deployment.workers.lease_s));
            return;
        }
        replica.succeed(&self.state);
        self.state = replica;
        self.agents.invalidate_machines();
        self.store.session.sync_state = SyncState::Following;
        self.startup.record_loaded(self.now);
        if let Some(catalog) = self.state.catalog.as_ref().filter(|_| self.cloud.catalog().is_empty()) {
            // Used until the cloud answers; the cloud is asked all the same.
            self.cloud.load_stored_catalog(&catalog.rec.types);
        }
        self.scheduler.request_round();
        tracing::info!(
            revision = self.state.revision,
            jobs = self.state.jobs.len(),
            machines = self.state.machines.len(),
            "state loaded"
        );
        self.resolve_transactions(true);
        self.replica_changed();
        // Workers wait for what these calls lead to, so the calls do not wait for a tick.
        self.follow_store();
    }

    /// Applies the changes that the watch has returned to the replica. If the response is invalid,
    /// the state is read again.
    fn apply_changes(&mut self, response: &[u8]) {
        if !self.store.session.is_following() {
            return;
        }
        let mut is_changed = false;
        let revision = decode_watch_response(response, |change| {
            is_changed = true;
            self.apply_change(&change);
        });
        let Ok(revision) = revision else { return self.restart_scan() };
        self.scheduler.request_round_if(is_changed);
        self.state.advance_to(revision);
        self.store.session.record_revision(self.state.revision);
        self.resolve_transactions(false);
        self.replica_changed();
    }

    /// Applies one change that the watch has returned.
    fn apply_change(&mut self, change: &WatchEvent) {
        // Every earlier change has been applied by now.
        self.state.advance_to(change.version.saturating_sub(1));
        if let (Some(key), Some(data)) = (&change.put, &change.data) {
            self.state.put(key, data, change.version);
            self.transactions.observe_change(key, Some(data), change.version);
        }
        if let Some(key) = &change.delete {
            self.state.delete(key, change.version);
            self.transactions.observe_change(key, None, change.version);
        }
    }
}
