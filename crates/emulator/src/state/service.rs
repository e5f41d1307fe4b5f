//! The state service as a whole: one thread owns the store and its log, and
//! carries out what arrives in batches, each on disk before any of it is
//! answered. Every node has a listener of its own, so a fault can hit one.

use super::log::{Batch, Log, LogError};
use super::machine::{Change, Limits, Outcome, Store};
use crate::http::{self, Reply, Request};
use ciborium::cbor;
use finchquay_protocol::store::{Lease, LeaseRequest, Op, Route, Txn, TxnResponse, WatchEvent, WatchResponse, route};
use finchquay_protocol::{BODY_LIMIT, decode, encode};
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// Most requests that one write to the log carries.
const BATCH: usize = 256;
/// How often leases are looked at where nothing else happens.
const STEP: Duration = Duration::from_millis(20);

/// What happens to a write that a fault picked.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteFault {
    /// Answered as carried out, and forgotten.
    Lose,
    /// Carried out, never answered.
    Unanswered,
    /// Never answered in time; carried out this much later.
    Late(Duration),
}

/// Picks transactions that change a key under a prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Pick {
    pub fault: WriteFault,
    pub prefix: String,
    /// So many that match pass before the first that is hit.
    pub skip: u32,
    pub count: u32,
}

/// What the emulator may do to the service while it runs.
#[derive(Debug)]
pub enum Fault {
    /// Nothing is served, and leases stand still, until it is lifted.
    Outage(bool),
    /// One node is refused.
    Refuse(String, bool),
    /// Nothing passes to or from one node; its transactions arrive when it is over.
    Cut(String, bool),
    /// One node gets no answers.
    Mute(String, bool),
    /// Answers come this much later.
    Slow(Option<(Duration, Duration)>),
    Write(Pick),
    /// The last transactions are gone, the ledger goes back.
    LoseTail(u64),
}

/// What the service did that a history must tell.
#[derive(Debug, Clone, PartialEq)]
pub enum Noted {
    /// A write was hit: the fault and the keys that it would change.
    Hit { fault: &'static str, keys: Vec<String> },
    /// A tail was lost: the ledger before and after, and the keys undone.
    TailLost { from: u64, to: u64, keys: Vec<String> },
}

pub type Notes = Arc<dyn Fn(Noted) + Send + Sync>;

/// What the service has done so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counts {
    pub requests: u64,
    pub refused: u64,
    pub transactions: u64,
    pub changes: u64,
    pub conflicts: u64,
    pub keys: u64,
    pub ledger: u64,
}

enum Command {
    Request {
        node: String,
        request: Request,
        reply: oneshot::Sender<(Reply, Duration)>,
    },
    Fault(Fault),
    Counts(oneshot::Sender<Counts>),
    /// Gives the log back, so that it may be opened anew.
    Stop(oneshot::Sender<()>),
}

#[derive(Clone)]
pub struct Handle {
    commands: Sender<Command>,
}

/// Where the service keeps its log, and what it allows.
#[derive(Debug, Clone)]
pub struct Config {
    pub path: PathBuf,
    pub fsync: bool,
    pub limits: Limits,
}

/// Opens the log and starts the service's thread.
pub fn start(config: &Config, notes: Notes) -> Result<Handle, LogError> {
    let log = Log::open(&config.path, config.fsync)?;
    let store = log.load(config.limits.clone(), Duration::ZERO)?;
    let (commands, inbox) = channel();
    let actor = Actor {
        log,
        store,
        notes,
        began: Instant::now(),
        outage: false,
        refused: BTreeSet::new(),
        cut: BTreeSet::new(),
        mute: BTreeSet::new(),
        held: Vec::new(),
        slow: None,
        picks: Vec::new(),
        watches: Vec::new(),
        late: Vec::new(),
        answers: Vec::new(),
        counts: Counts::default(),
    };
    std::thread::spawn(move || actor.run(&inbox));
    Ok(Handle { commands })
}

impl Handle {
    /// Serves one node's requests on a listener until dropped.
    pub async fn serve(self, node: String, listener: TcpListener) {
        let handler = move |request: Request| {
            let (handle, node) = (self.clone(), node.clone());
            async move { handle.ask(node, request).await }
        };
        http::serve(listener, BODY_LIMIT, handler).await;
    }

    async fn ask(&self, node: String, request: Request) -> Reply {
        let (reply, answer) = oneshot::channel();
        let sent = self.commands.send(Command::Request { node, request, reply });
        if sent.is_err() {
            return Reply::empty(503);
        }
        match answer.await {
            Ok((reply, delay)) => {
                tokio::time::sleep(delay).await;
                reply
            }
            // Dropped: this one never gets an answer.
            Err(_) => std::future::pending().await,
        }
    }

    pub fn fault(&self, fault: Fault) {
        let _ = self.commands.send(Command::Fault(fault));
    }

    pub async fn counts(&self) -> Counts {
        let (tx, rx) = oneshot::channel();
        let _ = self.commands.send(Command::Counts(tx));
        rx.await.unwrap_or_default()
    }

    /// Ends the thread as a kill would; returns once the log is closed.
    pub async fn stop(&self) {
        let (tx, rx) = oneshot::channel();
        if self.commands.send(Command::Stop(tx)).is_ok() {
            let _ = rx.await;
        }
    }
}

struct Watch {
    node: String,
    starts: String,
    after: u64,
    until: Duration,
    reply: oneshot::Sender<(Reply, Duration)>,
}

struct Actor {
    log: Log,
    store: Store,
    notes: Notes,
    began: Instant,
    outage: bool,
    refused: BTreeSet<String>,
    cut: BTreeSet<String>,
    mute: BTreeSet<String>,
    /// Transactions of nodes that are cut off.
    held: Vec<(String, Txn)>,
    slow: Option<(Duration, Duration)>,
    picks: Vec<Pick>,
    watches: Vec<Watch>,
    /// Transactions that are carried out later, unanswered.
    late: Vec<(Duration, Txn)>,
    /// Answers that wait for the batch to be on disk.
    answers: Vec<(oneshot::Sender<(Reply, Duration)>, Reply)>,
    counts: Counts,
}

impl Actor {
    fn run(mut self, inbox: &Receiver<Command>) {
        loop {
            let mut batch = match inbox.recv_timeout(STEP) {
                Ok(c) => vec![c],
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            batch.extend(inbox.try_iter().take(BATCH - 1));
            let now = self.began.elapsed();
            let (mut changed_leases, mut undone) = (Vec::new(), Vec::new());
            let mut stop = None;
            for command in batch {
                match command {
                    Command::Request { node, request, reply } => {
                        self.request(now, node, &request, reply, &mut changed_leases);
                    }
                    Command::Fault(fault) => self.fault(now, fault, &mut undone),
                    Command::Counts(reply) => {
                        let (keys, ledger) = (self.store.len() as u64, self.store.ledger());
                        let _ = reply.send(Counts { keys, ledger, ..self.counts });
                    }
                    Command::Stop(done) => stop = Some(done),
                }
            }
            if let Some(done) = stop {
                // What was not written by now is lost with the process.
                drop(self);
                let _ = done.send(());
                return;
            }
            if !self.outage {
                self.carry_out_late(now);
                changed_leases.extend(self.store.expire(now).into_iter().map(|id| (id, None)));
            }
            let batch = Batch {
                changes: self.store.take_fresh(),
                undone,
                leases: changed_leases,
                ledger: self.store.ledger(),
                next_lease: self.store.next_lease(),
            };
            if !(batch.changes.is_empty() && batch.undone.is_empty() && batch.leases.is_empty())
                && let Err(e) = self.log.write(&batch)
            {
                eprintln!("finchquay-emulator: the state service ends: {e}");
                return;
            }
            for (reply, answer) in self.answers.drain(..) {
                let _ = reply.send((answer, delay(self.slow)));
            }
            self.feed_watches(now);
        }
    }

    fn request(
        &mut self,
        now: Duration,
        node: String,
        request: &Request,
        reply: oneshot::Sender<(Reply, Duration)>,
        leases: &mut Vec<(u64, Option<Duration>)>,
    ) {
        if self.cut.contains(&node) {
            if let (Some(Route::Multi), Ok(txn)) = (route(&request.method, &request.path), decode::<Txn>(&request.body))
            {
                self.held.push((node, txn));
            }
            return;
        }
        self.counts.requests += 1;
        let mute = self.mute.contains(&node);
        let answer = if self.outage || self.refused.contains(&node) {
            Reply::empty(503)
        } else if !self.store.request(now) {
            Reply::empty(429)
        } else {
            match route(&request.method, &request.path) {
                None => Reply::empty(400),
                Some(Route::Watch { prefix: starts, after, hold_ms }) => {
                    let until = now + Duration::from_millis(hold_ms);
                    self.watches.push(Watch { node, starts: starts.into(), after, until, reply });
                    return;
                }
                Some(Route::Multi) => match decode::<Txn>(&request.body) {
                    Err(_) => Reply::empty(400),
                    Ok(txn) => match self.picked(&txn) {
                        Some(WriteFault::Late(by)) => {
                            self.late.push((now + by, txn));
                            return;
                        }
                        Some(WriteFault::Unanswered) => {
                            self.transact(now, &txn, true);
                            return;
                        }
                        Some(WriteFault::Lose) => self.transact(now, &txn, false),
                        None => self.transact(now, &txn, true),
                    },
                },
                Some(other) => self.simple(now, &other, &request.body, leases),
            }
        };
        self.counts.refused += u64::from(matches!(answer.status, 429 | 503));
        // A reply that is dropped never comes.
        if !mute {
            self.answers.push((reply, answer));
        }
    }

    fn simple(
        &mut self,
        now: Duration,
        route: &Route,
        body: &[u8],
        leases: &mut Vec<(u64, Option<Duration>)>,
    ) -> Reply {
        let ledger = || encode(&TxnResponse { revision: self.store.ledger(), failed: Vec::new() });
        match *route {
            Route::Get(key) => match self.store.get(key) {
                Some(row) => Reply::new(200, encode(&row)),
                None => Reply::new(404, ledger()),
            },
            Route::Scan { prefix: starts, after, page } => {
                Reply::new(200, encode(&self.store.scan(starts, after, page)))
            }
            Route::Grant => {
                let asked = decode::<LeaseRequest>(body).ok();
                let ttl = asked.map(|r| r.ttl_ms);
                match ttl.and_then(|t| self.store.grant(now, t).map(|id| (id, t))) {
                    Some((id, ttl)) => {
                        leases.push((id, Some(Duration::from_millis(ttl))));
                        Reply::new(200, encode(&Lease { id }))
                    }
                    None => Reply::empty(400),
                }
            }
            Route::Extend(id) if self.store.extend(now, id) => Reply::empty(200),
            Route::Revoke(id) if self.store.revoke(id) => {
                leases.push((id, None));
                Reply::empty(200)
            }
            Route::Extend(_) | Route::Revoke(_) => Reply::empty(404),
            Route::Multi | Route::Watch { .. } => Reply::empty(400),
        }
    }

    fn transact(&mut self, now: Duration, txn: &Txn, keep: bool) -> Reply {
        let outcome = if keep { self.store.transact(now, txn) } else { self.store.lose(now, txn) };
        let answer = |revision, failed| encode(&TxnResponse { revision, failed });
        match outcome {
            Outcome::Done { ledger } => {
                self.counts.transactions += 1;
                self.counts.changes += txn.ops.len() as u64;
                Reply::new(200, answer(ledger, Vec::new()))
            }
            Outcome::Failed { keys, ledger } => {
                self.counts.conflicts += 1;
                Reply::new(409, answer(ledger, keys))
            }
            Outcome::NoSuchLease => {
                Reply::new(400, cbor!({"error" => "no such lease"}).map_or_else(|_| Vec::new(), |v| encode(&v)))
            }
            Outcome::Malformed => Reply::empty(400),
            Outcome::TooMany => Reply::empty(429),
        }
    }

    /// The fault that hits this transaction, if any; it is used up.
    fn picked(&mut self, txn: &Txn) -> Option<WriteFault> {
        let key = |op: &Op| match op {
            Op::Put { key, .. } | Op::Delete { key } => key.clone(),
        };
        let keys: Vec<String> = txn.ops.iter().map(key).collect();
        let at = self.picks.iter_mut().position(|p| {
            if p.count == 0 || !keys.iter().any(|k| k.starts_with(&p.prefix)) {
                return false;
            }
            if p.skip > 0 {
                p.skip -= 1;
                return false;
            }
            p.count -= 1;
            true
        })?;
        let fault = self.picks[at].fault.clone();
        if self.picks[at].count == 0 {
            self.picks.remove(at);
        }
        let name = match fault {
            WriteFault::Lose => "lost",
            WriteFault::Unanswered => "unanswered",
            WriteFault::Late(_) => "late",
        };
        (self.notes)(Noted::Hit { fault: name, keys });
        Some(fault)
    }

    fn carry_out_late(&mut self, now: Duration) {
        let late = std::mem::take(&mut self.late);
        let (due, rest): (Vec<_>, Vec<_>) = late.into_iter().partition(|(at, _)| *at <= now);
        self.late = rest;
        for (_, txn) in due {
            self.transact(now, &txn, true);
        }
    }

    fn fault(&mut self, now: Duration, fault: Fault, undone: &mut Vec<Change>) {
        match fault {
            Fault::Outage(on) => {
                if self.outage && !on {
                    self.store.renew_all(now);
                }
                self.outage = on;
            }
            Fault::Refuse(node, true) => {
                self.refused.insert(node);
            }
            Fault::Refuse(node, false) => {
                self.refused.remove(&node);
            }
            Fault::Cut(node, true) => {
                self.cut.insert(node);
            }
            Fault::Cut(node, false) => {
                self.cut.remove(&node);
                let (late, held): (Vec<_>, Vec<_>) =
                    std::mem::take(&mut self.held).into_iter().partition(|(n, _)| *n == node);
                self.held = held;
                self.late.extend(late.into_iter().map(|(_, txn)| (now, txn)));
            }
            Fault::Mute(node, true) => {
                self.mute.insert(node);
            }
            Fault::Mute(node, false) => {
                self.mute.remove(&node);
            }
            Fault::Slow(range) => self.slow = range,
            Fault::Write(pick) => self.picks.push(pick),
            Fault::LoseTail(n) => {
                let from = self.store.ledger();
                let changes = self.store.lose_tail(n);
                let keys = changes.iter().map(|c| c.key.clone()).collect();
                (self.notes)(Noted::TailLost { from, to: self.store.ledger(), keys });
                undone.extend(changes);
            }
        }
    }

    /// Answers watches that have news or whose time is over; those of nodes
    /// that are refused wait, as in an outage.
    fn feed_watches(&mut self, now: Duration) {
        if self.outage {
            return;
        }
        let mut open = Vec::new();
        for w in std::mem::take(&mut self.watches) {
            if w.reply.is_closed() {
                continue;
            }
            if self.refused.contains(&w.node) {
                open.push(w);
                continue;
            }
            if self.cut.contains(&w.node) || self.mute.contains(&w.node) {
                continue; // its answer is lost, or held back past any use
            }
            let revision = self.store.ledger();
            let answer = match self.store.changes(&w.starts, w.after) {
                None => Reply::empty(410),
                Some(news) if news.is_empty() && now < w.until => {
                    open.push(w);
                    continue;
                }
                Some(news) => Reply::new(200, encode(&WatchResponse { revision, events: news as Vec<WatchEvent> })),
            };
            let _ = w.reply.send((answer, delay(self.slow)));
        }
        self.watches = open;
    }
}

fn delay(range: Option<(Duration, Duration)>) -> Duration {
    range.map_or(Duration::ZERO, |(low, high)| low + high.saturating_sub(low).mul_f64(rand::random::<f64>()))
}
