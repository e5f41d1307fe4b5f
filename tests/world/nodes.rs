//! The controllers: their processes, what they are given and what they emit.

use super::digest::{Origin, Request};
use super::events::{Pending, Source, WorldEvent};
use super::settings::settings;
use super::{World, s};
use ciborium::Value;
use finchquay::config::{Operator, Settings};
use finchquay::controller::Controller;
use finchquay::effects::{Action, Event, NoAnswer, Target};
use finchquay::protocol::peer;
use rand::RngExt;

/// One controller, and what passes between it and the rest.
pub struct Node {
    pub logic: Option<Controller>,
    pub life: u64,
    /// The store refuses this controller.
    pub refused: bool,
    /// Nothing passes between this controller and the agents.
    pub deaf: bool,
    /// Nothing passes between it and the store; what it writes is held.
    pub store_cut: bool,
    /// What it asks of the store is done, and the answers are lost.
    pub answers_lost: bool,
    /// Heartbeats of agents that it answered.
    pub served: u32,
    pub(super) held: Vec<Value>,
    /// The process is paused: what came meanwhile waits, its clock runs on.
    pub(super) waits: Option<Vec<Event>>,
}

impl World {
    pub(super) fn boot(&mut self, i: usize) {
        let incarnation = self.rng.random();
        self.nodes[i].life += 1;
        let set = Settings { operator: self.operator.clone(), ..settings(i, self.size) };
        let c = Controller::new(set, incarnation, self.now + s(1e9));
        self.nodes[i].logic = Some(c);
        // The controller's clock starts with the process.
        self.started_at.insert(i, self.now);
        let life = self.nodes[i].life;
        self.at(0.01, WorldEvent::Tick(i, life));
    }

    /// Whoever leads ends, or the first where nobody does.
    pub fn crash_leader(&mut self) {
        let leader = self.store.leader().unwrap_or(0);
        self.crash(leader);
    }

    pub fn crash(&mut self, i: usize) {
        self.nodes[i].logic = None;
        self.nodes[i].waits = None;
        self.nodes[i].life += 1;
        let after = match self.faults.restart_range_s {
            Some((from, to)) => self.rng.random_range(from..to),
            None => self.faults.restart_s,
        };
        self.at(after, WorldEvent::Restart(i));
    }

    /// Whether the controller ends soon after this call went out: writes are rarer than reads
    /// and matter more.
    pub(super) fn crash_in_exchange(&mut self, i: usize, action: &Action) {
        if self.now >= self.faults.crashes_in_exchanges_until {
            return;
        }
        let Action::Call { target: Target::Store, path, .. } = action else { return };
        let part = if path == "/multi" { 0.02 } else { 0.002 };
        if self.rng.random_bool(part) {
            let after = self.rng.random_range(0.0..0.015);
            let life = self.nodes[i].life;
            self.at(after, WorldEvent::Crash(i, life));
        }
    }

    /// A process stands still, or goes on: its timers first, then all that waited.
    pub fn pause(&mut self, i: usize, still: bool) {
        if still {
            self.nodes[i].waits = Some(Vec::new());
            return;
        }
        let waits = self.nodes[i].waits.take().unwrap_or_default();
        self.handle_event(i, Event::Tick);
        for event in waits {
            // Its own time-outs are over before it reads what came.
            let event = match event {
                Event::CallEnded { id, .. } => Event::CallEnded { id, result: Err(NoAnswer) },
                other => other,
            };
            self.handle_event(i, event);
        }
    }

    pub(super) fn handle_event(&mut self, i: usize, event: Event) {
        if let Some(waits) = self.nodes[i].waits.as_mut() {
            if !matches!(event, Event::Tick) {
                waits.push(event);
            }
            return;
        }
        let start = self.started_at.get(&i).copied().unwrap_or_default();
        let now = self.now - start;
        let mut actions = Vec::new();
        if let Some(c) = self.nodes[i].logic.as_mut() {
            c.handle(now, event, &mut actions);
        }
        self.record(i, &actions);
        for a in actions {
            match a {
                Action::Respond { conn, status, body, .. } => {
                    let lag = self.lag();
                    let lost = |p: &Pending| matches!(&p.source, Source::Worker(name, _) if !self.node_reaches_machine(name, p.node));
                    let cut = self.pending.get(&conn).is_some_and(lost);
                    let worker = |p: &Pending| matches!(p.source, Source::Worker(..));
                    if self.pending.get(&conn).is_some_and(worker) {
                        self.nodes[i].served += u32::from(status == 200);
                        self.check_commands(&body);
                    }
                    if !cut {
                        self.at(lag, WorldEvent::Reply(conn, status, body));
                    }
                }
                Action::Send { member, frame } => {
                    let to: usize = member.trim_start_matches("perch-").parse().unwrap();
                    let lag = self.lag() + self.late(self.faults.late_heartbeats).unwrap_or_default();
                    if !self.faults.peers_cut.contains(&(i, to)) {
                        self.at(lag, WorldEvent::PeerHeartbeat(to, format!("perch-{i}"), frame));
                    }
                }
                call => {
                    self.crash_in_exchange(i, &call);
                    let writes = matches!(&call, Action::Call { path, .. } if path == "/multi");
                    let lag = self.lag() + if writes { self.faults.transaction_delay_s } else { 0.0 };
                    if let Action::Call { target: Target::Worker(_), body: Some(body), .. } = &call {
                        self.check_commands(body);
                    }
                    let life = self.nodes[i].life;
                    self.at(lag, WorldEvent::Call(i, life, Box::new(call)));
                }
            }
        }
    }

    /// Notes what a controller emitted, as it goes over the wire.
    pub(super) fn record(&mut self, node: usize, actions: &[Action]) {
        let origin = Origin { at: self.now, node };
        for action in actions {
            match action {
                Action::Respond { conn, status, body, retry_after } => {
                    self.recorder.respond(origin, *conn, *status, *retry_after, body);
                }
                Action::Call { target, method, path, body, timeout, .. } => {
                    let request = Request { method, path, body: body.as_deref(), timeout: *timeout };
                    self.recorder.call(origin, &target_name(target), request);
                }
                Action::Send { member, frame } => {
                    self.recorder.send(origin, member, || peer::encode(frame));
                }
            }
        }
    }

    /// The operator's file changes, and each process reads it again.
    pub fn reload_operator_settings(&mut self, operator: Operator) {
        self.operator = operator;
        for i in 0..self.nodes.len() {
            self.handle_event(i, Event::OperatorSettings(Box::new(self.operator.clone())));
        }
    }

    /// What the load balancer is told by a controller.
    pub fn healthy(&mut self, i: usize) -> bool {
        let now = self.now - self.started_at.get(&i).copied().unwrap_or_default();
        let Some(c) = self.nodes[i].logic.as_mut() else { return false };
        let mut actions = Vec::new();
        let (method, path) = ("GET".to_string(), "/healthz".to_string());
        c.handle(now, Event::Request { conn: 0, method, path, body: Vec::new() }, &mut actions);
        self.record(i, &actions);
        actions.iter().any(|a| matches!(a, Action::Respond { conn: 0, status: 200, .. }))
    }
}

/// Whom a controller calls, by a name that does not depend on the code's.
fn target_name(target: &Target) -> String {
    match target {
        Target::Store => "state".to_string(),
        Target::Cloud => "cloud".to_string(),
        Target::Worker(address) => address.to_string(),
    }
}
