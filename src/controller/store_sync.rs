//! Keeping in step with the state service: lease, load, watch, barriers.

use super::*;
use crate::coordination::session::Load;
use crate::protocol::decode;
use crate::protocol::store::{Condition, Lease, LeaseRequest, Op, Rows, TxnResponse, WatchResponse};

/// The session with the store, and the snapshot that is being read from it.
#[derive(Debug)]
pub(super) struct StoreAccess {
    /// Lease, watch, snapshot read and read barrier.
    pub(super) session: Session,
    /// The replica that is read page by page, until it takes the place of the current one.
    pub(super) snapshot: ClusterState,
}

impl Controller {
    pub(super) fn sync_tick(&mut self) {
        let now = self.now;
        let ttl = self.store.session.ttl;
        // Renewals that get through without their answers would keep a member alive
        // that sees nothing: it gives its lease up, and the others take over.
        if self.store.session.lease.is_some() && now.saturating_sub(self.store.session.lease_from) > ttl {
            tracing::info!("lease at the state service is given up, renewals get no answer");
            self.store.session.lease = None;
        }
        let silent = if self.store.session.lease.is_some() { Retry::Renew } else { Retry::Lease };
        if !self.store.session.lease_busy && now >= self.store.session.lease_next && self.retry.may(silent, now) {
            self.store.session.lease_busy = true;
            self.store.session.lease_next = now + ttl / 4;
            match self.store.session.lease {
                Some(id) => {
                    self.call(Target::State, "POST", store::renew_path(id), None, ttl / 4, Purpose::Renew);
                }
                None => {
                    let body = crate::protocol::encode(&LeaseRequest { ttl_ms: ttl.as_millis() as u64 });
                    self.call(Target::State, "POST", store::LEASES.into(), Some(body), ttl / 2, Purpose::Lease);
                }
            }
        }
        match self.store.session.load {
            Load::Reading => self.load_tick(),
            Load::Following => {
                self.watch_tick();
                self.member_tick();
                self.barrier_tick();
            }
        }
    }

    /// Reads the next page of the stored state.
    fn load_tick(&mut self) {
        let now = self.now;
        let due = now >= self.store.session.load_not_before && self.store.session.scan_pace.may(now);
        if self.store.session.scan_busy || !due || !self.retry.may(Retry::Load, now) {
            return;
        }
        self.store.session.scan_busy = true;
        self.store.session.scan_pace.take(now);
        let path = store::scan_path(records::PREFIX, &self.store.session.scan_after);
        self.call(Target::State, "GET", path, None, self.store.session.ttl, Purpose::Scan);
    }

    /// Reads what proves the view fresh, where somebody waits for it or it is time.
    fn barrier_tick(&mut self) {
        let now = self.now;
        let due = self.api.awaits_read()
            || self.store.session.staleness(now).is_none_or(|s| s > self.heartbeat_intervals(0.25));
        let may = self.store.session.barrier_pace.may(now) && self.retry.may(Retry::Barrier, now);
        if !due || self.store.session.barrier_busy || !may {
            return;
        }
        self.store.session.barrier_busy = true;
        self.store.session.barrier_pace.take(now);
        self.answer_requests(RequestEvent::ReadSent);
        self.store.session.barrier_sent = now;
        let path = store::key_path(records::BARRIER_KEY);
        let timeout = self.heartbeat_intervals(0.5);
        self.call(Target::State, "GET", path, None, timeout, Purpose::Barrier);
    }

    fn watch_tick(&mut self) {
        if self.store.session.watch_busy
            || !self.store.session.watch_pace.may(self.now)
            || !self.retry.may(Retry::Watch, self.now)
        {
            return;
        }
        self.store.session.watch_busy = true;
        self.store.session.watch_pace.take(self.now);
        let hold = self.heartbeat_intervals(2.0);
        let path = store::watch_path(records::PREFIX, self.state.revision, hold.as_millis() as u64);
        self.call(Target::State, "GET", path, None, hold * 2, Purpose::Watch);
    }

    /// Keeps this incarnation's member record on the lease.
    fn member_tick(&mut self) {
        let Some(lease) = self.store.session.lease else { return };
        let key = records::member_key(&self.process.member);
        if self.state.is_live(&self.process.member, self.process.incarnation)
            || self.transactions.locked_keys.contains(&key)
        {
            return;
        }
        if !self.retry.may(Retry::Write, self.now) {
            return; // no other limit: who is no member can do nothing else
        }
        let version = self.state.members.get(&self.process.member).map_or(0, |m| m.version);
        let rec = records::MemberRecord { incarnation: self.process.incarnation };
        let txn = Txn {
            conditions: vec![Condition { key: key.clone(), version }],
            ops: vec![Op::Put { key, data: records::to_value(&rec), lease: Some(lease) }],
        };
        self.txn(txn, Why::Member);
    }

    pub(super) fn sync_answer(&mut self, purpose: Purpose, result: Result<Reply, NoAnswer>) {
        let now = self.now;
        match purpose {
            Purpose::Lease => {
                self.store.session.lease_busy = false;
                if let Ok(r) = result
                    && r.status == 200
                    && let Ok(l) = decode::<Lease>(&r.body)
                {
                    self.store.session.lease = Some(l.id);
                    self.store.session.lease_from = now;
                    if self.store.session.following() {
                        self.member_tick();
                    }
                } else {
                    self.store.session.lease_next = now;
                }
            }
            Purpose::Renew => {
                self.store.session.lease_busy = false;
                if result.is_ok() {
                    // A refusal is an answer: it was not carried out.
                    self.store.session.lease_from = now;
                }
                if !result.as_ref().is_ok_and(|r| r.status == 200) {
                    self.store.session.lease_next = now; // as soon as the retry policy allows
                }
                if result.is_ok_and(|r| r.status == 404) {
                    tracing::info!("lease at the state service was lost");
                    self.store.session.lease = None;
                }
            }
            Purpose::Scan => {
                self.store.session.scan_busy = false;
                if let Ok(r) = result
                    && r.status == 200
                    && let Ok(rows) = decode::<Rows>(&r.body)
                {
                    self.scanned(rows);
                }
            }
            Purpose::Watch => {
                self.store.session.watch_busy = false;
                match result {
                    Ok(r) if r.status == 200 => match decode::<WatchResponse>(&r.body) {
                        Ok(f) => self.watched(f),
                        Err(_) => self.reload(),
                    },
                    Ok(r) if r.status == 410 => self.reload(),
                    Ok(_) | Err(NoAnswer) => {}
                }
            }
            Purpose::Barrier => {
                self.store.session.barrier_busy = false;
                let ledger = match result {
                    Ok(r) if r.status == 404 => decode::<TxnResponse>(&r.body).ok(),
                    _ => None,
                };
                let read = ledger.as_ref().map_or(RequestEvent::ReadFailed, |l| RequestEvent::Read(l.revision));
                self.answer_requests(read);
                if let Some(l) = ledger {
                    self.store.session.barriers.push((l.revision, self.store.session.barrier_sent));
                    self.store.session.reached(self.state.revision);
                }
                self.answer_requests(RequestEvent::ClusterState(self.state.revision));
            }
            _ => {}
        }
    }

    fn reload(&mut self) {
        tracing::info!("watch fell behind, reading all keys again");
        self.transactions.in_flight.gap();
        self.store.session.restart_load(self.now);
    }

    fn scanned(&mut self, rows: Rows) {
        if self.store.session.scan_revision.is_none() {
            self.store.snapshot = ClusterState::loading(self.state.chunk_size, rows.revision);
            self.store.session.scan_revision = Some(rows.revision);
        }
        for row in &rows.rows {
            self.store.snapshot.put(&row.key, &row.data, row.version);
            self.transactions.in_flight.shows(&row.key, Some(&row.data), row.version);
        }
        if let Some(last) = rows.rows.last()
            && rows.truncated
        {
            self.store.session.scan_after = last.key.clone();
            return self.load_tick();
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
            self.store.session.restart_load(self.now + self.secs(self.config.settings.workers.lease_s));
            return;
        }
        view.follows(&self.state);
        self.state = view;
        self.agents.forget_followed_records();
        self.store.session.load = Load::Following;
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
            "state loaded"
        );
        self.settle(true);
        self.view_changed();
        // What workers wait for begins with these; none of them waits for a tick.
        self.watch_tick();
        self.member_tick();
        self.barrier_tick();
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
                self.transactions.in_flight.changed(key, Some(data), n.version);
            }
            if let Some(key) = &n.delete {
                self.state.delete(key, n.version);
                self.transactions.in_flight.changed(key, None, n.version);
            }
        }
        self.scheduler.request_round_if(!f.events.is_empty());
        self.state.reached(f.revision);
        self.store.session.reached(self.state.revision);
        self.settle(false);
        self.view_changed();
    }
}
