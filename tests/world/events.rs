//! The queue of events on the fake clock, and what each event does.

#![warn(missing_docs)]

use super::bodies::exceeds_limit;
use super::users::Asked;
use super::{World, get, s, text, users};
use ciborium::Value;
use finchquay::effects::{Action, Event, NoAnswer, Reply};

/// HTTP status for a request whose body exceeds the limit.
const STATUS_TOO_LARGE: u16 = 413;

/// The sender of a request, to whom the answer goes.
pub(super) enum Source {
    /// An agent, by machine name, with the sequence number of its heartbeat.
    Worker(String, u64),
    /// A user, with the question.
    User(Asked),
    /// A copy of an earlier heartbeat. Nobody waits for the answer.
    Duplicate,
}

/// An event on the fake clock.
pub(super) enum WorldEvent {
    /// Leases, watches, machines, agents and gangs advance, every 20 ms.
    Advance,
    /// A controller's timer fires: controller, process epoch.
    Tick(usize, u64),
    /// A call that a controller made ends: controller, process epoch and call id in one
    /// number, and the answer.
    Answer(usize, u64, Result<Reply, NoAnswer>),
    /// A call of a controller arrives at its target: controller, process epoch, call.
    Call(usize, u64, Box<Action>),
    /// A pending request arrives at a controller: controller, connection.
    Request(usize, u64),
    /// A copy of a heartbeat is sent to a controller: controller, body.
    DuplicateHeartbeat(usize, Vec<u8>),
    /// The store receives a transaction after its sender's time-out.
    LateTransaction(Value),
    /// The store receives a copy of a transaction that it carried out.
    DuplicateTransaction(Value),
    /// An agent receives delayed commands: machine, body.
    LateCommand(String, Value),
    /// An agent receives a copy of commands that it answered: machine, body.
    DuplicateCommand(String, Value),
    /// The sender of a request receives the answer: connection, status, body.
    Reply(u64, u16, Vec<u8>),
    /// The sender of a request stops waiting for an answer: connection.
    Timeout(u64),
    /// A controller receives a frame from another: receiver, member that sent it, frame.
    PeerHeartbeat(usize, String, finchquay::protocol::peer::Frame),
    /// A controller's process starts.
    Restart(usize),
    /// A controller's process crashes, unless it has restarted: controller, process epoch.
    Crash(usize, u64),
    /// The user of a job sends the next request about it: job.
    User(String),
    /// A test or a fault acts on the world.
    Run(Box<dyn FnOnce(&mut World)>),
}

/// A request to a controller that has no answer yet.
pub(super) struct Pending {
    /// The sender.
    pub(super) source: Source,
    /// The number of the controller.
    pub(super) node: usize,
    /// The controller's process at the time of sending. A restarted one never receives it.
    pub(super) process_epoch: u64,
    /// Method, path and body.
    pub(super) request: (String, String, Vec<u8>),
    /// What users knew of the job when this was sent. The answer must not be older.
    pub(super) confirmed_before: users::ConfirmedState,
}

impl World {
    /// Schedules an event for a number of seconds after now.
    pub(super) fn schedule_after(&mut self, delay_s: f64, event: WorldEvent) {
        self.next_event += 1;
        self.queue.insert((self.now + s(delay_s), self.next_event), event);
    }

    /// Schedules an action on the world for a time in seconds since its beginning, or for now if
    /// that is past.
    pub fn later(&mut self, at_s: f64, action: impl FnOnce(&mut World) + 'static) {
        let delay = (s(at_s).saturating_sub(self.now)).as_secs_f64();
        self.schedule_after(delay, WorldEvent::Run(Box::new(action)));
    }

    /// Processes all events up to a time, in seconds since the beginning of the world.
    pub fn run_until(&mut self, end_s: f64) {
        while let Some((&(t, n), _)) = self.queue.first_key_value() {
            if t > s(end_s) {
                break;
            }
            let event = self.queue.remove(&(t, n)).unwrap();
            self.now = t;
            self.process_event(event);
        }
        self.now = s(end_s);
    }

    /// Lets one event take effect.
    pub(super) fn process_event(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Advance => {
                self.advance_surroundings();
                self.schedule_after(0.02, WorldEvent::Advance);
            }
            WorldEvent::Tick(node, process_epoch) => {
                if self.nodes[node].process_epoch == process_epoch {
                    self.handle_event(node, Event::Tick);
                    self.schedule_after(0.02, WorldEvent::Tick(node, process_epoch));
                }
            }
            WorldEvent::Restart(node) => self.start_controller(node),
            WorldEvent::Crash(node, process_epoch) => {
                if self.nodes[node].process_epoch == process_epoch {
                    self.counters.crashes_in_exchanges += 1;
                    self.crash(node);
                }
            }
            WorldEvent::Answer(node, epoch_and_call_id, result) => {
                let (process_epoch, id) = (epoch_and_call_id >> 32, epoch_and_call_id & 0xffff_ffff);
                if self.nodes[node].process_epoch & 0xffff == process_epoch & 0xffff {
                    self.handle_event(node, Event::CallEnded { id, result });
                }
            }
            WorldEvent::Call(node, process_epoch, action) => self.perform_call(node, process_epoch, *action),
            WorldEvent::Request(node, conn) => {
                let Some(p) = self.pending.get(&conn) else { return };
                let (method, path, body) = p.request.clone();
                let lost = matches!(&p.source, Source::Worker(name, _) if !self.machine_reaches_node(name, node));
                if p.process_epoch != self.nodes[node].process_epoch || lost {
                    return;
                }
                if path == "/checkin" && exceeds_limit(&body) {
                    // The transport refuses it before the controller sees it.
                    self.counters.oversized_heartbeats += 1;
                    return self.schedule_after(0.0, WorldEvent::Reply(conn, STATUS_TOO_LARGE, vec![]));
                }
                self.handle_event(node, Event::Request { conn, method, path, body });
            }
            WorldEvent::DuplicateHeartbeat(node, body) => {
                self.send_request(node, Source::Duplicate, "POST", "/checkin", body, false);
            }
            WorldEvent::LateTransaction(body) if self.store.down => {
                self.schedule_after(1.0, WorldEvent::LateTransaction(body))
            }
            WorldEvent::LateTransaction(body) => {
                let applied = self.store.apply(self.now, &body);
                count_delivery(self.counters.late_transactions.entry(kind_of(&body)).or_default(), Some(applied));
            }
            WorldEvent::DuplicateTransaction(body) => {
                let applied = (!self.store.down).then(|| self.store.apply(self.now, &body));
                count_delivery(self.counters.duplicated_transactions.entry(kind_of(&body)).or_default(), applied);
            }
            WorldEvent::LateCommand(name, body) => {
                let accepted = self.deliver_commands(&name, body);
                count_delivery(&mut self.counters.late_commands, accepted);
            }
            WorldEvent::DuplicateCommand(name, _) if self.has_seen_no_token(&name) => {
                self.counters.unfenced_copies += 1;
            }
            WorldEvent::DuplicateCommand(name, body) => {
                let accepted = self.deliver_commands(&name, body);
                count_delivery(&mut self.counters.duplicated_commands, accepted);
            }
            WorldEvent::Reply(conn, status, body) => {
                if let Some(p) = self.pending.remove(&conn) {
                    self.receive_reply(p, status, &body);
                }
            }
            WorldEvent::Timeout(conn) => {
                if let Some(p) = self.pending.remove(&conn) {
                    self.counters.unanswered_user_requests += u32::from(matches!(p.source, Source::User(_)));
                    self.receive_reply(p, 0, &[]);
                }
            }
            WorldEvent::PeerHeartbeat(node, member, frame) => self.handle_event(node, Event::Peer { member, frame }),
            WorldEvent::User(uid) => self.act_as_user(&uid),
            WorldEvent::Run(action) => action(self),
        }
    }
    /// Returns whether the agent has restarted and received nothing since. It would carry out any
    /// copy from before: no controller can prevent that, so such copies are left out.
    fn has_seen_no_token(&self, name: &str) -> bool {
        self.workers.get(name).is_some_and(|w| w.fencing_token() == 0)
    }

    /// Delivers pushed commands for whose answer nobody waits, unless the agent is cut off. Returns
    /// whether the agent accepted them, or nothing if it did not receive them yet.
    fn deliver_commands(&mut self, name: &str, body: Value) -> Option<bool> {
        let now = self.now;
        let w = self.workers.get_mut(name).filter(|w| !w.cut)?;
        if w.hung_since.is_some() {
            w.held.push(body);
            return None;
        }
        let (status, _, started) = w.receive_commands(&body, &self.jobs, now);
        self.check_starts(name, started);
        Some(status == 200)
    }
}

/// Returns the kind of a transaction: the prefix of the first key that it puts.
fn kind_of(body: &Value) -> String {
    let first = get(body, "then").and_then(Value::as_array).and_then(|ops| ops.first());
    let key = first.map(|op| text(op, "put")).unwrap_or_default();
    key.split('/').take(2).collect::<Vec<_>>().join("/")
}

/// Counts a delivery as accepted or refused.
fn count_delivery(counts: &mut (u32, u32), accepted: Option<bool>) {
    match accepted {
        Some(true) => counts.0 += 1,
        Some(false) => counts.1 += 1,
        None => {}
    }
}
