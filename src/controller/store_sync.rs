//! Keeping in step with the state service: lease, load, watch, barriers.

use super::*;
use crate::coordination::session::Load;
use crate::protocol::decode;
use crate::protocol::store::{Condition, Lease, LeaseRequest, Op, Rows, TxnResponse, WatchResponse};

impl Controller {
    pub(super) fn sync_tick(&mut self) {
        let now = self.now;
        let ttl = self.ses.ttl;
        // Renewals that get through without their answers would keep a member alive
        // that sees nothing: it gives its lease up, and the others take over.
        if self.ses.lease.is_some() && now.saturating_sub(self.ses.lease_from) > ttl {
            tracing::info!("lease at the state service is given up, renewals get no answer");
            self.ses.lease = None;
        }
        let silent = if self.ses.lease.is_some() { Retry::Renew } else { Retry::Lease };
        if !self.ses.lease_busy && now >= self.ses.lease_next && self.retry.may(silent, now) {
            self.ses.lease_busy = true;
            self.ses.lease_next = now + ttl / 4;
            match self.ses.lease {
                Some(id) => {
                    self.call(Target::State, "POST", store::renew_path(id), None, ttl / 4, Purpose::Renew);
                }
                None => {
                    let body = crate::protocol::encode(&LeaseRequest { ttl_ms: ttl.as_millis() as u64 });
                    self.call(Target::State, "POST", store::LEASES.into(), Some(body), ttl / 2, Purpose::Lease);
                }
            }
        }
        match self.ses.load {
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
        let due = now >= self.ses.load_not_before && self.ses.scan_pace.may(now);
        if self.ses.scan_busy || !due || !self.retry.may(Retry::Load, now) {
            return;
        }
        self.ses.scan_busy = true;
        self.ses.scan_pace.take(now);
        let path = store::scan_path(records::PREFIX, &self.ses.scan_after);
        self.call(Target::State, "GET", path, None, self.ses.ttl, Purpose::Scan);
    }

    /// Reads what proves the view fresh, where somebody waits for it or it is time.
    fn barrier_tick(&mut self) {
        let now = self.now;
        let due = self.asked.queued() || self.ses.staleness(now).is_none_or(|s| s > self.heartbeat_intervals(0.25));
        let may = self.ses.barrier_pace.may(now) && self.retry.may(Retry::Barrier, now);
        if !due || self.ses.barrier_busy || !may {
            return;
        }
        self.ses.barrier_busy = true;
        self.ses.barrier_pace.take(now);
        self.answer_requests(RequestEvent::ReadSent);
        self.ses.barrier_sent = now;
        let path = store::key_path(records::BARRIER_KEY);
        let timeout = self.heartbeat_intervals(0.5);
        self.call(Target::State, "GET", path, None, timeout, Purpose::Barrier);
    }

    fn watch_tick(&mut self) {
        if self.ses.watch_busy || !self.ses.watch_pace.may(self.now) || !self.retry.may(Retry::Watch, self.now) {
            return;
        }
        self.ses.watch_busy = true;
        self.ses.watch_pace.take(self.now);
        let hold = self.heartbeat_intervals(2.0);
        let path = store::watch_path(records::PREFIX, self.view.revision, hold.as_millis() as u64);
        self.call(Target::State, "GET", path, None, hold * 2, Purpose::Watch);
    }

    /// Keeps this incarnation's member record on the lease.
    fn member_tick(&mut self) {
        let Some(lease) = self.ses.lease else { return };
        let key = records::member_key(&self.me);
        if self.view.is_live(&self.me, self.incarnation) || self.busy.contains(&key) {
            return;
        }
        if !self.retry.may(Retry::Write, self.now) {
            return; // no other limit: who is no member can do nothing else
        }
        let version = self.view.members.get(&self.me).map_or(0, |m| m.version);
        let rec = records::MemberRecord { incarnation: self.incarnation };
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
                self.ses.lease_busy = false;
                if let Ok(r) = result
                    && r.status == 200
                    && let Ok(l) = decode::<Lease>(&r.body)
                {
                    self.ses.lease = Some(l.id);
                    self.ses.lease_from = now;
                    if self.ses.following() {
                        self.member_tick();
                    }
                } else {
                    self.ses.lease_next = now;
                }
            }
            Purpose::Renew => {
                self.ses.lease_busy = false;
                if result.is_ok() {
                    // A refusal is an answer: it was not carried out.
                    self.ses.lease_from = now;
                }
                if !result.as_ref().is_ok_and(|r| r.status == 200) {
                    self.ses.lease_next = now; // as soon as the retry policy allows
                }
                if result.is_ok_and(|r| r.status == 404) {
                    tracing::info!("lease at the state service was lost");
                    self.ses.lease = None;
                }
            }
            Purpose::Scan => {
                self.ses.scan_busy = false;
                if let Ok(r) = result
                    && r.status == 200
                    && let Ok(rows) = decode::<Rows>(&r.body)
                {
                    self.scanned(rows);
                }
            }
            Purpose::Watch => {
                self.ses.watch_busy = false;
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
                self.ses.barrier_busy = false;
                let ledger = match result {
                    Ok(r) if r.status == 404 => decode::<TxnResponse>(&r.body).ok(),
                    _ => None,
                };
                let read = ledger.as_ref().map_or(RequestEvent::ReadFailed, |l| RequestEvent::Read(l.revision));
                self.answer_requests(read);
                if let Some(l) = ledger {
                    self.ses.barriers.push((l.revision, self.ses.barrier_sent));
                    self.ses.reached(self.view.revision);
                }
                self.answer_requests(RequestEvent::ClusterState(self.view.revision));
            }
            _ => {}
        }
    }

    fn reload(&mut self) {
        tracing::info!("watch fell behind, reading all keys again");
        self.open_writes.gap();
        self.ses.restart_load(self.now);
    }

    fn scanned(&mut self, rows: Rows) {
        if self.ses.scan_revision.is_none() {
            self.scan = ClusterState::loading(self.view.chunk_size, rows.revision);
            self.ses.scan_revision = Some(rows.revision);
        }
        for row in &rows.rows {
            self.scan.put(&row.key, &row.data, row.version);
            self.open_writes.shows(&row.key, Some(&row.data), row.version);
        }
        if let Some(last) = rows.rows.last()
            && rows.truncated
        {
            self.ses.scan_after = last.key.clone();
            return self.load_tick();
        }
        // Changes during the paging come again from the watch.
        let mut view = std::mem::take(&mut self.scan);
        view.loaded();
        if view.format_version() > records::FORMAT_VERSION {
            tracing::error!(
                format_version = view.format_version(),
                known = records::FORMAT_VERSION,
                "the stored state is of a later form than this program knows; nothing is started"
            );
            self.ses.restart_load(self.now + self.secs(self.set.settings.workers.lease_s));
            return;
        }
        view.follows(&self.view);
        self.view = view;
        self.adopted = None;
        self.ses.load = Load::Following;
        self.start.loaded(self.now);
        if let Some(c) = self.view.catalog.as_ref().filter(|_| self.types.is_empty()) {
            // Until the cloud answers; it is asked all the same.
            self.types.clone_from(&c.rec.types);
        }
        self.dirty = true;
        tracing::info!(
            revision = self.view.revision,
            jobs = self.view.jobs.len(),
            machines = self.view.machines.len(),
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
        if !self.ses.following() {
            return;
        }
        for n in &f.news {
            // All before this change is in the view by now.
            self.view.reached(n.version.saturating_sub(1));
            if let (Some(key), Some(data)) = (&n.put, &n.data) {
                self.view.put(key, data, n.version);
                self.open_writes.changed(key, Some(data), n.version);
            }
            if let Some(key) = &n.delete {
                self.view.delete(key, n.version);
                self.open_writes.changed(key, None, n.version);
            }
        }
        self.dirty |= !f.news.is_empty();
        self.view.reached(f.revision);
        self.ses.reached(self.view.revision);
        self.settle(false);
        self.view_changed();
    }
}
