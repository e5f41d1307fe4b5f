//! Keeping in step with the store: the lease, the snapshot read, the watch, and the
//! read barriers that prove the replica fresh.

use super::*;
use crate::coordination::store_session::SyncState;
use crate::protocol::decode;
use crate::protocol::store::{Condition, Lease, LeaseRequest, Op, Rows, TxnResponse, WatchResponse};

/// The session with the store, and the snapshot that is being read from it.
#[derive(Debug)]
pub(super) struct StoreAccess {
    /// Lease, watch, snapshot read and read barrier.
    pub(super) session: StoreSession,
    /// The replica that is read page by page, until it takes the place of the current one.
    snapshot: ClusterState,
}

/// Renewals of a lease go so often within its time.
const RENEWALS_PER_LEASE: u32 = 4;
/// Heartbeat intervals after which the replica's freshness is proved again.
const BARRIER_INTERVAL: f64 = 0.25;
/// Heartbeat intervals within which a read barrier is answered.
const BARRIER_TIMEOUT: f64 = 0.5;
/// Heartbeat intervals for which the store holds a watch without changes open.
const WATCH_HOLD: f64 = 2.0;

impl StoreAccess {
    /// A session that has not begun, and an empty replica to read into.
    pub(super) fn new(session: StoreSession, snapshot: ClusterState) -> StoreAccess {
        StoreAccess { session, snapshot }
    }

    /// Renewals that get through without their answers would keep a member alive
    /// that sees nothing: it gives its lease up, and the others take over.
    fn drop_unrenewed_lease(&mut self, now: Instant) {
        let session = &mut self.session;
        if session.lease.is_some() && now.saturating_sub(session.lease_from) > session.ttl {
            tracing::info!("lease_dropped_without_renewal");
            session.lease = None;
        }
    }

    /// Whether a call about the lease is to go now.
    fn lease_call_due(&self, now: Instant) -> bool {
        !self.session.lease_call_in_flight && now >= self.session.lease_renewal_at
    }

    /// A call about the lease goes out.
    fn begin_lease_call(&mut self, now: Instant) {
        self.session.lease_call_in_flight = true;
        self.session.lease_renewal_at = now + self.session.ttl / RENEWALS_PER_LEASE;
    }

    /// The request for a lease has ended; true where there is one now.
    fn end_lease_request(&mut self, now: Instant, result: Result<Reply, NoAnswer>) -> bool {
        self.session.lease_call_in_flight = false;
        match result.ok().filter(|reply| reply.status == 200).and_then(|reply| decode::<Lease>(&reply.body).ok()) {
            Some(lease) => {
                self.session.lease = Some(lease.id);
                self.session.lease_from = now;
                true
            }
            None => {
                self.session.lease_renewal_at = now;
                false
            }
        }
    }

    /// The renewal of the lease has ended.
    fn end_renewal(&mut self, now: Instant, result: &Result<Reply, NoAnswer>) {
        self.session.lease_call_in_flight = false;
        let status = result.as_ref().ok().map(|reply| reply.status);
        if status.is_some() {
            // A refusal is an answer: it was not carried out.
            self.session.lease_from = now;
        }
        if status != Some(200) {
            self.session.lease_renewal_at = now; // as soon as the retry policy allows
        }
        if status == Some(404) {
            tracing::info!("lease_lost");
            self.session.lease = None;
        }
    }

    /// Whether the next page of the snapshot may be read now.
    fn page_due(&self, now: Instant) -> bool {
        !self.session.scan_in_flight && now >= self.session.scan_not_before && self.session.scan_bucket.may(now)
    }

    /// The read of a page goes out.
    fn begin_page(&mut self, now: Instant) {
        self.session.scan_in_flight = true;
        self.session.scan_bucket.take(now);
    }

    /// Whether the next changes may be asked for now.
    fn watch_due(&self, now: Instant) -> bool {
        !self.session.watch_in_flight && self.session.watch_bucket.may(now)
    }

    /// The watch goes out.
    fn begin_watch(&mut self, now: Instant) {
        self.session.watch_in_flight = true;
        self.session.watch_bucket.take(now);
    }

    /// Whether a read barrier may go out now.
    fn barrier_may_go(&self, now: Instant) -> bool {
        !self.session.barrier_in_flight && self.session.barrier_bucket.may(now)
    }

    /// A read barrier goes out.
    fn begin_barrier(&mut self, now: Instant) {
        self.session.barrier_in_flight = true;
        self.session.barrier_bucket.take(now);
        self.session.barrier_sent_at = now;
    }

    /// The store was at `revision` after the barrier was sent: once the replica has
    /// come as far, it is as fresh as that.
    fn pass_barrier(&mut self, revision: u64, replica: u64) {
        self.session.barriers.push((revision, self.session.barrier_sent_at));
        self.session.reached(replica);
    }
}

impl Controller {
    /// Keeps the lease and the replica current: every call to the store that is due goes.
    pub(super) fn synchronize(&mut self) {
        self.store.drop_unrenewed_lease(self.now);
        self.renew_lease();
        match self.store.session.load {
            SyncState::Reading => self.read_next_page(),
            SyncState::Following => self.follow_store(),
        }
    }

    /// What is due of a replica that is loaded.
    fn follow_store(&mut self) {
        self.watch_store();
        self.register_member();
        self.prove_freshness();
    }

    /// Renews the lease, or asks for one where there is none.
    fn renew_lease(&mut self) {
        let lease = self.store.session.lease;
        let purpose = if lease.is_some() { Retry::Renew } else { Retry::Lease };
        if !self.store.lease_call_due(self.now) || !self.retry.may(purpose, self.now) {
            return;
        }
        self.store.begin_lease_call(self.now);
        let ttl = self.store.session.ttl;
        match lease {
            Some(id) => {
                let timeout = ttl / RENEWALS_PER_LEASE;
                self.call(Target::State, "POST", store::renew_path(id), None, timeout, Purpose::Renew);
            }
            None => {
                let body = crate::protocol::encode(&LeaseRequest { ttl_ms: ttl.as_millis() as u64 });
                self.call(Target::State, "POST", store::LEASES.into(), Some(body), ttl / 2, Purpose::Lease);
            }
        }
    }

    /// Reads the next page of the stored state.
    fn read_next_page(&mut self) {
        if !self.store.page_due(self.now) || !self.retry.may(Retry::Scan, self.now) {
            return;
        }
        self.store.begin_page(self.now);
        let path = store::scan_path(records::PREFIX, &self.store.session.scan_cursor);
        self.call(Target::State, "GET", path, None, self.store.session.ttl, Purpose::Scan);
    }

    /// Reads what proves the replica fresh, where somebody waits for it or it is time.
    fn prove_freshness(&mut self) {
        let now = self.now;
        let tolerated = self.heartbeat_intervals(BARRIER_INTERVAL);
        let stale = self.store.session.staleness(now).is_none_or(|staleness| staleness > tolerated);
        let due = self.api.awaits_read() || stale;
        if !due || !self.store.barrier_may_go(now) || !self.retry.may(Retry::Barrier, now) {
            return;
        }
        self.store.begin_barrier(now);
        self.answer_requests(RequestEvent::ReadSent);
        let path = store::key_path(records::BARRIER_KEY);
        let timeout = self.heartbeat_intervals(BARRIER_TIMEOUT);
        self.call(Target::State, "GET", path, None, timeout, Purpose::Barrier);
    }

    /// Asks for the changes after those that the replica shows.
    fn watch_store(&mut self) {
        if !self.store.watch_due(self.now) || !self.retry.may(Retry::Watch, self.now) {
            return;
        }
        self.store.begin_watch(self.now);
        let hold = self.heartbeat_intervals(WATCH_HOLD);
        let path = store::watch_path(records::PREFIX, self.state.revision, hold.as_millis() as u64);
        self.call(Target::State, "GET", path, None, hold * 2, Purpose::Watch);
    }

    /// Keeps this incarnation's member record on the lease. No limit holds it back but
    /// the retry policy: who is no member can do nothing else.
    fn register_member(&mut self) {
        let Some(lease) = self.store.session.lease else { return };
        let key = records::member_key(&self.process.member);
        if self.state.is_live(&self.process.member, self.process.incarnation)
            || self.transactions.is_locked(&key)
            || !self.retry.may(Retry::Write, self.now)
        {
            return;
        }
        let version = self.state.members.get(&self.process.member).map_or(0, |m| m.version);
        let rec = records::MemberRecord { incarnation: self.process.incarnation };
        let txn = Txn {
            conditions: vec![Condition { key: key.clone(), version }],
            ops: vec![Op::Put { key, data: records::to_value(&rec), lease: Some(lease) }],
        };
        self.txn(txn, Why::Member);
    }

    /// A call that keeps this process in step with the store has ended.
    pub(super) fn sync_answer(&mut self, purpose: &Purpose, result: Result<Reply, NoAnswer>) {
        match purpose {
            Purpose::Lease => self.lease_answer(result),
            Purpose::Renew => self.store.end_renewal(self.now, &result),
            Purpose::Scan => self.page_answer(result),
            Purpose::Watch => self.watch_answer(result),
            Purpose::Barrier => self.barrier_answer(&result),
            _ => {}
        }
    }

    fn lease_answer(&mut self, result: Result<Reply, NoAnswer>) {
        if self.store.end_lease_request(self.now, result) && self.store.session.following() {
            self.register_member();
        }
    }

    fn page_answer(&mut self, result: Result<Reply, NoAnswer>) {
        self.store.session.scan_in_flight = false;
        if let Ok(reply) = result
            && reply.status == 200
            && let Ok(rows) = decode::<Rows>(&reply.body)
        {
            self.scanned(rows);
        }
    }

    fn watch_answer(&mut self, result: Result<Reply, NoAnswer>) {
        self.store.session.watch_in_flight = false;
        match result {
            Ok(reply) if reply.status == 200 => match decode::<WatchResponse>(&reply.body) {
                Ok(changes) => self.watched(changes),
                Err(_) => self.reload(),
            },
            Ok(reply) if reply.status == 410 => self.reload(),
            Ok(_) | Err(NoAnswer) => {}
        }
    }

    /// The key of the barrier never exists: the answer that counts is that it is absent,
    /// and as of which revision.
    fn barrier_answer(&mut self, result: &Result<Reply, NoAnswer>) {
        self.store.session.barrier_in_flight = false;
        let absent = result.as_ref().ok().filter(|reply| reply.status == 404);
        let revision = absent.and_then(|reply| decode::<TxnResponse>(&reply.body).ok()).map(|answer| answer.revision);
        self.answer_requests(revision.map_or(RequestEvent::ReadFailed, RequestEvent::Read));
        if let Some(revision) = revision {
            self.store.pass_barrier(revision, self.state.revision);
        }
        self.answer_requests(RequestEvent::ClusterState(self.state.revision));
    }

    fn reload(&mut self) {
        tracing::info!("watch_fell_behind");
        self.transactions.observe_gap();
        self.store.session.restart_scan(self.now);
    }

    fn scanned(&mut self, rows: Rows) {
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
        // Changes during the paging come again from the watch.
        let mut view = std::mem::take(&mut self.store.snapshot);
        view.loaded();
        if view.format_version() > records::FORMAT_VERSION {
            tracing::error!(
                format_version = view.format_version(),
                known = records::FORMAT_VERSION,
                "the stored state is of a later form than this program knows; nothing is started"
            );
            self.store.session.restart_scan(self.now + self.secs(self.config.settings.workers.lease_s));
            return;
        }
        view.follows(&self.state);
        self.state = view;
        self.agents.forget_followed_records();
        self.store.session.load = SyncState::Following;
        self.startup.loaded(self.now);
        if let Some(c) = self.state.catalog.as_ref().filter(|_| self.cloud.catalog().is_empty()) {
            // Until the cloud answers; it is asked all the same.
            self.cloud.load_stored_catalog(&c.rec.types);
        }
        self.scheduler.request_round();
        tracing::info!(
            revision = self.state.revision,
            jobs = self.state.jobs.len(),
            machines = self.state.machines.len(),
            "state_loaded"
        );
        self.settle(true);
        self.view_changed();
        // What workers wait for begins with these; none of them waits for a tick.
        self.follow_store();
    }

    fn watched(&mut self, f: WatchResponse) {
        if !self.store.session.following() {
            return;
        }
        for n in &f.events {
            // All before this change is in the view by now.
            self.state.reached(n.version.saturating_sub(1));
            if let (Some(key), Some(data)) = (&n.put, &n.data) {
                self.state.put(key, data, n.version);
                self.transactions.observe_change(key, Some(data), n.version);
            }
            if let Some(key) = &n.delete {
                self.state.delete(key, n.version);
                self.transactions.observe_change(key, None, n.version);
            }
        }
        self.scheduler.request_round_if(!f.events.is_empty());
        self.state.reached(f.revision);
        self.store.session.reached(self.state.revision);
        self.settle(false);
        self.view_changed();
    }
}
