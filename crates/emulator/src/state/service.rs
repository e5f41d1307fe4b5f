//! The state service: one thread owns the store and its log and carries out requests in
//! batches, each of which is in the log before any request of it is answered. Every
//! controller connects to a listener of its own, so that a fault can hit one controller.

use super::log::{Batch, Log, LogError};
use super::machine::{Change, Limits, Outcome, Store};
use crate::http::{self, Request, Response};
use ciborium::cbor;
use finchquay_protocol::store::{Lease, LeaseRequest, Op, Route, Txn, TxnResponse, WatchEvent, WatchResponse, route};
use finchquay_protocol::{MAX_BODY_BYTES, decode, encode};
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// Most commands in one batch, and so in one write to the log.
const MAX_BATCH: usize = 256;
/// How often expired leases, delayed transactions and watches are checked when no command
/// arrives.
const IDLE_INTERVAL: Duration = Duration::from_millis(20);

/// What happens to a transaction that a write fault hits.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteFault {
    /// It is answered as if it were carried out, and lost.
    Lose,
    /// It is carried out and never answered.
    Unanswered,
    /// It is never answered, and carried out after this time.
    Late(Duration),
}

/// Selects the transactions that a write fault hits: those that change a key under a
/// prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct WriteFaultRule {
    /// What happens to them.
    pub fault: WriteFault,
    /// Prefix of the keys.
    pub prefix: String,
    /// Matching transactions that pass before the first one that is hit.
    pub skip: u32,
    /// Transactions that are hit.
    pub count: u32,
}

/// A fault that can be injected into the running service. A `bool` says whether the fault
/// begins or ends, a `String` names the controller that it hits.
#[derive(Debug)]
pub enum Fault {
    /// No request is served, and no lease ends, until the fault ends.
    Outage(bool),
    /// The requests of one controller are refused.
    Refuse(String, bool),
    /// Nothing passes between one controller and the service; transactions that it sends
    /// meanwhile are carried out when the fault ends.
    Cut(String, bool),
    /// One controller gets no answers, though its requests are carried out.
    Mute(String, bool),
    /// Answers are delayed by a random time in this range; `None` ends the fault.
    Slow(Option<(Duration, Duration)>),
    /// Transactions that match the rule are lost, unanswered or late.
    Write(WriteFaultRule),
    /// This many of the last transactions are lost, and the revision goes back.
    LoseTail(u64),
}

/// An effect of a fault that the history of the run records.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultEvent {
    /// A write fault hit a transaction.
    WriteHit {
        /// Name of the fault in the history.
        fault: &'static str,
        /// Keys of the transaction.
        keys: Vec<String>,
    },
    /// The last transactions were lost.
    TailLost {
        /// Revision before.
        from: u64,
        /// Revision after.
        to: u64,
        /// Keys whose changes were undone.
        keys: Vec<String>,
    },
}

/// Called with every effect of a fault, from the service's thread.
pub type FaultListener = Arc<dyn Fn(FaultEvent) + Send + Sync>;

/// Counters of the service since it started, and the size of its store.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counts {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests that were answered with 429 or 503.
    pub refused: u64,
    /// Transactions that were carried out, or acknowledged and lost by a fault.
    pub transactions: u64,
    /// Operations of those transactions.
    pub changes: u64,
    /// Transactions whose conditions did not hold.
    pub conflicts: u64,
    /// Keys in the store.
    pub keys: u64,
    /// Revision of the store.
    pub revision: u64,
}

enum Command {
    Request {
        controller: String,
        request: Request,
        reply: oneshot::Sender<(Response, Duration)>,
    },
    Fault(Fault),
    Counts(oneshot::Sender<Counts>),
    /// Ends the thread; answered once the log is closed and can be opened again.
    Stop(oneshot::Sender<()>),
}

/// Sends requests and commands to the service's thread.
#[derive(Clone)]
pub struct Handle {
    commands: Sender<Command>,
}

/// Settings of the service.
#[derive(Debug, Clone)]
pub struct Config {
    /// File of the log.
    pub path: PathBuf,
    /// Whether every write is synced to disk.
    pub fsync: bool,
    /// Limits that requests are held to.
    pub limits: Limits,
}

/// Opens the log and starts the service's thread.
///
/// # Errors
/// The log cannot be opened or read.
pub fn start(config: &Config, fault_listener: FaultListener) -> Result<Handle, LogError> {
    let log = Log::open(&config.path, config.fsync)?;
    let store = log.load(config.limits.clone(), Duration::ZERO)?;
    let (commands, inbox) = channel();
    let actor = Actor {
        log,
        store,
        fault_listener,
        started: Instant::now(),
        outage: false,
        refused: BTreeSet::new(),
        cut: BTreeSet::new(),
        muted: BTreeSet::new(),
        held_back: Vec::new(),
        answer_delay: None,
        write_faults: Vec::new(),
        watches: Vec::new(),
        late: Vec::new(),
        answers: Vec::new(),
        counts: Counts::default(),
    };
    std::thread::spawn(move || actor.run(&inbox));
    Ok(Handle { commands })
}

impl Handle {
    /// Serves the requests of one controller on a listener until dropped.
    pub async fn serve(self, controller: String, listener: TcpListener) {
        let handler = move |request: Request| {
            let (handle, controller) = (self.clone(), controller.clone());
            async move { handle.request(controller, request).await }
        };
        http::serve(listener, MAX_BODY_BYTES, handler).await;
    }

    async fn request(&self, controller: String, request: Request) -> Response {
        let (reply, answer) = oneshot::channel();
        let sent = self.commands.send(Command::Request { controller, request, reply });
        if sent.is_err() {
            return Response::empty(503);
        }
        match answer.await {
            Ok((reply, delay)) => {
                tokio::time::sleep(delay).await;
                reply
            }
            // The sender was dropped: this request never gets an answer.
            Err(_) => std::future::pending().await,
        }
    }

    /// Injects a fault, or ends one.
    pub fn inject(&self, fault: Fault) {
        let _ = self.commands.send(Command::Fault(fault));
    }

    /// Reads the counters; all are 0 if the service has ended.
    pub async fn counts(&self) -> Counts {
        let (sender, receiver) = oneshot::channel();
        let _ = self.commands.send(Command::Counts(sender));
        receiver.await.unwrap_or_default()
    }

    /// Ends the thread as a kill would; returns once the log is closed.
    pub async fn stop(&self) {
        let (sender, receiver) = oneshot::channel();
        if self.commands.send(Command::Stop(sender)).is_ok() {
            let _ = receiver.await;
        }
    }
}

/// A watch that waits for changes.
struct Watch {
    controller: String,
    prefix: String,
    /// Revision after which changes are reported.
    after: u64,
    /// When it is answered even without changes.
    deadline: Duration,
    reply: oneshot::Sender<(Response, Duration)>,
}

/// The service's thread: it owns the store, the log and all faults in effect.
struct Actor {
    log: Log,
    store: Store,
    fault_listener: FaultListener,
    started: Instant,
    outage: bool,
    /// Controllers whose requests are refused.
    refused: BTreeSet<String>,
    /// Controllers that are cut off.
    cut: BTreeSet<String>,
    /// Controllers that get no answers.
    muted: BTreeSet<String>,
    /// Transactions from controllers that are cut off.
    held_back: Vec<(String, Txn)>,
    /// Shortest and longest delay of answers.
    answer_delay: Option<(Duration, Duration)>,
    /// Rules of write faults that have transactions left to hit.
    write_faults: Vec<WriteFaultRule>,
    watches: Vec<Watch>,
    /// Transactions that are carried out at a later time and never answered.
    late: Vec<(Duration, Txn)>,
    /// Answers to send once the batch is in the log.
    answers: Vec<(oneshot::Sender<(Response, Duration)>, Response)>,
    counts: Counts,
}

impl Actor {
    /// Carries out commands in batches until it is stopped or every handle is dropped.
    fn run(mut self, inbox: &Receiver<Command>) {
        loop {
            let mut batch = match inbox.recv_timeout(IDLE_INTERVAL) {
                Ok(command) => vec![command],
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            batch.extend(inbox.try_iter().take(MAX_BATCH - 1));
            let now = self.started.elapsed();
            let (mut changed_leases, mut rolled_back) = (Vec::new(), Vec::new());
            let mut stop = None;
            for command in batch {
                match command {
                    Command::Request { controller, request, reply } => {
                        self.request(now, controller, &request, reply, &mut changed_leases);
                    }
                    Command::Fault(fault) => self.fault(now, fault, &mut rolled_back),
                    Command::Counts(reply) => {
                        let (keys, revision) = (self.store.len() as u64, self.store.revision());
                        let _ = reply.send(Counts { keys, revision, ..self.counts });
                    }
                    Command::Stop(done) => stop = Some(done),
                }
            }
            if let Some(done) = stop {
                // What is not in the log by now is lost, as it would be with a killed process.
                drop(self);
                let _ = done.send(());
                return;
            }
            if !self.outage {
                self.run_late_transactions(now);
                changed_leases.extend(self.store.expire(now).into_iter().map(|id| (id, None)));
            }
            let batch = Batch {
                changes: self.store.take_unwritten(),
                rolled_back,
                leases: changed_leases,
                revision: self.store.revision(),
                next_lease: self.store.next_lease(),
            };
            if !(batch.changes.is_empty() && batch.rolled_back.is_empty() && batch.leases.is_empty())
                && let Err(e) = self.log.write(&batch)
            {
                eprintln!("finchquay-emulator: the state service ends: {e}");
                return;
            }
            for (reply, answer) in self.answers.drain(..) {
                let _ = reply.send((answer, random_delay(self.answer_delay)));
            }
            self.answer_watches(now);
        }
    }

    /// Carries out one request; its answer waits for the batch to be in the log.
    fn request(
        &mut self,
        now: Duration,
        controller: String,
        request: &Request,
        reply: oneshot::Sender<(Response, Duration)>,
        leases: &mut Vec<(u64, Option<Duration>)>,
    ) {
        if self.cut.contains(&controller) {
            if let (Some(Route::Txn), Ok(txn)) = (route(&request.method, &request.path), decode::<Txn>(&request.body)) {
                self.held_back.push((controller, txn));
            }
            return;
        }
        self.counts.requests += 1;
        let muted = self.muted.contains(&controller);
        let answer = if self.outage || self.refused.contains(&controller) {
            Response::empty(503)
        } else if !self.store.admit_request(now) {
            Response::empty(429)
        } else {
            match route(&request.method, &request.path) {
                None => Response::empty(400),
                Some(Route::Watch { prefix, after, max_wait_ms }) => {
                    let deadline = now + Duration::from_millis(max_wait_ms);
                    self.watches.push(Watch { controller, prefix: prefix.into(), after, deadline, reply });
                    return;
                }
                Some(Route::Txn) => match decode::<Txn>(&request.body) {
                    Err(_) => Response::empty(400),
                    Ok(txn) => match self.take_write_fault(&txn) {
                        Some(WriteFault::Late(delay)) => {
                            self.late.push((now + delay, txn));
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
                Some(other) => self.key_or_lease_request(now, &other, &request.body, leases),
            }
        };
        self.counts.refused += u64::from(matches!(answer.status, 429 | 503));
        // Dropping the sender leaves the request without an answer.
        if !muted {
            self.answers.push((reply, answer));
        }
    }

    /// Carries out a request that reads keys or changes a lease.
    fn key_or_lease_request(
        &mut self,
        now: Duration,
        route: &Route,
        body: &[u8],
        leases: &mut Vec<(u64, Option<Duration>)>,
    ) -> Response {
        let revision = || encode(&TxnResponse { revision: self.store.revision(), failed: Vec::new() });
        match *route {
            Route::Get(key) => match self.store.get(key) {
                Some(row) => Response::new(200, encode(&row)),
                None => Response::new(404, revision()),
            },
            Route::Scan { prefix, after, page } => Response::new(200, encode(&self.store.scan(prefix, after, page))),
            Route::Grant => {
                let request = decode::<LeaseRequest>(body).ok();
                let ttl_ms = request.map(|r| r.ttl_ms);
                match ttl_ms.and_then(|ms| self.store.grant(now, ms).map(|id| (id, ms))) {
                    Some((id, ttl_ms)) => {
                        leases.push((id, Some(Duration::from_millis(ttl_ms))));
                        Response::new(200, encode(&Lease { id }))
                    }
                    None => Response::empty(400),
                }
            }
            Route::Renew(id) if self.store.extend(now, id) => Response::empty(200),
            Route::Revoke(id) if self.store.revoke(id) => {
                leases.push((id, None));
                Response::empty(200)
            }
            Route::Renew(_) | Route::Revoke(_) => Response::empty(404),
            Route::Txn | Route::Watch { .. } => Response::empty(400),
        }
    }

    /// Carries out a transaction, or only acknowledges it where `apply` is false.
    fn transact(&mut self, now: Duration, txn: &Txn, apply: bool) -> Response {
        let outcome = if apply { self.store.transact(now, txn) } else { self.store.acknowledge_and_lose(now, txn) };
        let answer = |revision, failed| encode(&TxnResponse { revision, failed });
        match outcome {
            Outcome::Committed { revision } => {
                self.counts.transactions += 1;
                self.counts.changes += txn.ops.len() as u64;
                Response::new(200, answer(revision, Vec::new()))
            }
            Outcome::Conflict { keys, revision } => {
                self.counts.conflicts += 1;
                Response::new(409, answer(revision, keys))
            }
            Outcome::NoSuchLease => {
                Response::new(400, cbor!({"error" => "no such lease"}).map_or_else(|_| Vec::new(), |v| encode(&v)))
            }
            Outcome::Malformed => Response::empty(400),
            Outcome::RateLimited => Response::empty(429),
        }
    }

    /// The write fault that hits this transaction, if any; counts it against its rule.
    fn take_write_fault(&mut self, txn: &Txn) -> Option<WriteFault> {
        let key = |op: &Op| match op {
            Op::Put { key, .. } | Op::Delete { key } => key.clone(),
        };
        let keys: Vec<String> = txn.ops.iter().map(key).collect();
        let position = self.write_faults.iter_mut().position(|rule| {
            if rule.count == 0 || !keys.iter().any(|k| k.starts_with(&rule.prefix)) {
                return false;
            }
            if rule.skip > 0 {
                rule.skip -= 1;
                return false;
            }
            rule.count -= 1;
            true
        })?;
        let fault = self.write_faults[position].fault.clone();
        if self.write_faults[position].count == 0 {
            self.write_faults.remove(position);
        }
        let name = match fault {
            WriteFault::Lose => "lost",
            WriteFault::Unanswered => "unanswered",
            WriteFault::Late(_) => "late",
        };
        (self.fault_listener)(FaultEvent::WriteHit { fault: name, keys });
        Some(fault)
    }

    /// Carries out late transactions whose time has come; nobody gets their answers.
    fn run_late_transactions(&mut self, now: Duration) {
        let late = std::mem::take(&mut self.late);
        let (due, rest): (Vec<_>, Vec<_>) = late.into_iter().partition(|(due_at, _)| *due_at <= now);
        self.late = rest;
        for (_, txn) in due {
            self.transact(now, &txn, true);
        }
    }

    /// Begins or ends a fault; changes of a lost tail go to `rolled_back`.
    fn fault(&mut self, now: Duration, fault: Fault, rolled_back: &mut Vec<Change>) {
        match fault {
            Fault::Outage(on) => {
                if self.outage && !on {
                    self.store.renew_all(now);
                }
                self.outage = on;
            }
            Fault::Refuse(controller, true) => {
                self.refused.insert(controller);
            }
            Fault::Refuse(controller, false) => {
                self.refused.remove(&controller);
            }
            Fault::Cut(controller, true) => {
                self.cut.insert(controller);
            }
            Fault::Cut(controller, false) => {
                self.cut.remove(&controller);
                let (released, held_back): (Vec<_>, Vec<_>) =
                    std::mem::take(&mut self.held_back).into_iter().partition(|(sender, _)| *sender == controller);
                self.held_back = held_back;
                self.late.extend(released.into_iter().map(|(_, txn)| (now, txn)));
            }
            Fault::Mute(controller, true) => {
                self.muted.insert(controller);
            }
            Fault::Mute(controller, false) => {
                self.muted.remove(&controller);
            }
            Fault::Slow(range) => self.answer_delay = range,
            Fault::Write(rule) => self.write_faults.push(rule),
            Fault::LoseTail(transactions) => {
                let from = self.store.revision();
                let changes = self.store.lose_tail(transactions);
                let keys = changes.iter().map(|c| c.key.clone()).collect();
                (self.fault_listener)(FaultEvent::TailLost { from, to: self.store.revision(), keys });
                rolled_back.extend(changes);
            }
        }
    }

    /// Answers watches that have changes to report or whose time is over. Watches of
    /// controllers that are refused wait, as in an outage.
    fn answer_watches(&mut self, now: Duration) {
        if self.outage {
            return;
        }
        let mut open = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            if watch.reply.is_closed() {
                continue;
            }
            if self.refused.contains(&watch.controller) {
                open.push(watch);
                continue;
            }
            if self.cut.contains(&watch.controller) || self.muted.contains(&watch.controller) {
                continue; // The answer is lost, or would come too late to be of use.
            }
            let revision = self.store.revision();
            let answer = match self.store.changes_since(&watch.prefix, watch.after) {
                None => Response::empty(410),
                Some(events) if events.is_empty() && now < watch.deadline => {
                    open.push(watch);
                    continue;
                }
                Some(events) => {
                    Response::new(200, encode(&WatchResponse { revision, events: events as Vec<WatchEvent> }))
                }
            };
            let _ = watch.reply.send((answer, random_delay(self.answer_delay)));
        }
        self.watches = open;
    }
}

/// A random time in the range; zero without a range.
fn random_delay(range: Option<(Duration, Duration)>) -> Duration {
    range.map_or(Duration::ZERO, |(low, high)| low + high.saturating_sub(low).mul_f64(rand::random::<f64>()))
}
