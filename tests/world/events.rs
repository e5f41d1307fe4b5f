//! The queue of events on the fake clock, and what each event does.

use super::users::Asked;
use super::{World, get, s, text, users};
use ciborium::Value;
use finchquay::effects::{Action, Event, NoAnswer, Reply};

/// Who sent a request, and so who waits for its answer.
pub(super) enum Source {
    Worker(String, u64),
    User(Asked),
    /// A heartbeat that was sent before; nobody waits for the answer.
    Duplicate,
}

/// What happens at a time on the fake clock; most name the controller first.
pub(super) enum WorldEvent {
    /// All that happens by itself, every 20 ms.
    Advance,
    Tick(usize, u64),
    Answer(usize, u64, Result<Reply, NoAnswer>),
    Call(usize, u64, Box<Action>),
    Request(usize, u64),
    DuplicateHeartbeat(usize, Vec<u8>),
    /// A transaction is carried out that nobody waits for any more.
    LateTransaction(Value),
    /// Pushed commands that were delayed come to an agent.
    LateCommand(String, Value),
    Reply(u64, u16, Vec<u8>),
    Timeout(u64),
    PeerHeartbeat(usize, String, finchquay::protocol::peer::Frame),
    Restart(usize),
    Crash(usize, u64),
    User(String),
    Run(Box<dyn FnOnce(&mut World)>),
}

/// A request that was not answered yet.
pub(super) struct Pending {
    pub(super) source: Source,
    pub(super) node: usize,
    pub(super) life: u64,
    pub(super) request: (String, String, Vec<u8>),
    /// What had been told of the job when this was sent.
    pub(super) floor: users::ConfirmedState,
}

impl World {
    pub(super) fn at(&mut self, delay_s: f64, ev: WorldEvent) {
        self.next_event += 1;
        self.queue.insert((self.now + s(delay_s), self.next_event), ev);
    }

    pub fn later(&mut self, at_s: f64, f: impl FnOnce(&mut World) + 'static) {
        let delay = (s(at_s).saturating_sub(self.now)).as_secs_f64();
        self.at(delay, WorldEvent::Run(Box::new(f)));
    }

    pub fn run_until(&mut self, end_s: f64) {
        while let Some((&(t, n), _)) = self.queue.first_key_value() {
            if t > s(end_s) {
                break;
            }
            let ev = self.queue.remove(&(t, n)).unwrap();
            self.now = t;
            self.step(ev);
        }
        self.now = s(end_s);
    }

    pub(super) fn step(&mut self, ev: WorldEvent) {
        match ev {
            WorldEvent::Advance => {
                self.advance_surroundings();
                self.at(0.02, WorldEvent::Advance);
            }
            WorldEvent::Tick(i, life) => {
                if self.nodes[i].life == life {
                    self.handle_event(i, Event::Tick);
                    self.at(0.02, WorldEvent::Tick(i, life));
                }
            }
            WorldEvent::Restart(i) => self.boot(i),
            WorldEvent::Crash(i, life) => {
                if self.nodes[i].life == life {
                    self.counters.crashes_in_exchanges += 1;
                    self.crash(i);
                }
            }
            WorldEvent::Answer(i, life_id, result) => {
                let (life, id) = (life_id >> 32, life_id & 0xffff_ffff);
                if self.nodes[i].life & 0xffff == life & 0xffff {
                    self.handle_event(i, Event::CallEnded { id, result });
                }
            }
            WorldEvent::Call(i, life, action) => self.carry_out(i, life, *action),
            WorldEvent::Request(i, conn) => {
                let Some(p) = self.pending.get(&conn) else { return };
                let (method, path, body) = p.request.clone();
                let lost = matches!(&p.source, Source::Worker(name, _) if !self.machine_reaches_node(name, i));
                if p.life != self.nodes[i].life || lost {
                    return;
                }
                self.handle_event(i, Event::Request { conn, method, path, body });
            }
            WorldEvent::DuplicateHeartbeat(i, body) => {
                self.request(i, Source::Duplicate, "POST", "/checkin", body, false);
            }
            WorldEvent::LateTransaction(body) if self.store.down => self.at(1.0, WorldEvent::LateTransaction(body)),
            WorldEvent::LateTransaction(body) => {
                let first = get(&body, "then").and_then(Value::as_array).and_then(|ops| ops.first());
                let key = first.map(|op| text(op, "put")).unwrap_or_default();
                let kind = key.split('/').take(2).collect::<Vec<_>>().join("/");
                let done = self.store.apply(self.now, &body);
                let n = self.counters.late_transactions.entry(kind).or_default();
                *(if done { &mut n.0 } else { &mut n.1 }) += 1;
            }
            WorldEvent::LateCommand(name, body) => {
                let now = self.now;
                let Some(w) = self.workers.get_mut(&name).filter(|w| !w.cut) else { return };
                if w.hangs.is_some() {
                    return w.held.push(body);
                }
                let (status, _, started) = w.pushed(&body, now);
                *(if status == 200 {
                    &mut self.counters.late_commands.0
                } else {
                    &mut self.counters.late_commands.1
                }) += 1;
                self.check_starts(&name, started);
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
            WorldEvent::PeerHeartbeat(i, member, frame) => self.handle_event(i, Event::Peer { member, frame }),
            WorldEvent::User(uid) => self.user(&uid),
            WorldEvent::Run(f) => f(self),
        }
    }
}
