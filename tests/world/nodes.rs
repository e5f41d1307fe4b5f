//! The controllers: the starts and ends of their processes, the events that they handle and the actions
//! that they emit.

#![warn(missing_docs)]

use super::bodies::exceeds_limit;
use super::digest::{Origin, Request};
use super::events::{Pending, Source, WorldEvent};
use super::settings::controller_settings;
use super::{World, s};
use ciborium::Value;
use finchquay::config::{Operator, Settings};
use finchquay::controller::Controller;
use finchquay::effects::{Action, Event, NoAnswer, Target};
use finchquay::protocol::peer;
use rand::RngExt;

/// One controller's process and its connections.
pub struct Node {
    /// The controller, while its process runs.
    pub controller: Option<Controller>,
    /// A number that is incremented by each start and each crash of the process.
    pub process_epoch: u64,
    /// Whether the store refuses all its requests with status 503.
    pub refused: bool,
    /// Whether it is cut off from all agents.
    pub deaf: bool,
    /// Whether it is cut off from the store. Its transactions are held until the cut ends.
    pub store_cut: bool,
    /// Whether the store executes its requests but the answers are lost.
    pub answers_lost: bool,
    /// How many heartbeats of agents it answered with status 200.
    pub served: u32,
    /// Transactions that it sent while it was cut off from the store.
    pub(super) held_transactions: Vec<Value>,
    /// Events that arrived while the process is paused; `None` if it is not paused.
    pub(super) paused_events: Option<Vec<Event>>,
}

impl World {
    /// Starts the process of a controller.
    pub(super) fn start_controller(&mut self, node: usize) {
        let incarnation = self.rng.random();
        self.nodes[node].process_epoch += 1;
        let settings = Settings { operator: self.operator.clone(), ..controller_settings(node, self.size) };
        let controller = Controller::new(settings, incarnation, self.now + s(1e9));
        self.nodes[node].controller = Some(controller);
        // The controller's clock starts with the process.
        self.started_at.insert(node, self.now);
        let process_epoch = self.nodes[node].process_epoch;
        self.schedule_after(0.01, WorldEvent::Tick(node, process_epoch));
    }

    /// Crashes the leader, or the first controller if there is no leader.
    pub fn crash_leader(&mut self) {
        let leader = self.store.leader().unwrap_or(0);
        self.crash(leader);
    }

    /// Crashes the process of a controller and schedules its restart.
    pub fn crash(&mut self, node: usize) {
        self.nodes[node].controller = None;
        self.nodes[node].paused_events = None;
        self.nodes[node].process_epoch += 1;
        let after = match self.faults.restart_range_s {
            Some((from, to)) => self.rng.random_range(from..to),
            None => self.faults.restart_s,
        };
        self.schedule_after(after, WorldEvent::Restart(node));
    }

    /// Draws whether the controller crashes soon after it sends this call. The probability is
    /// higher for writes, which are rarer than reads and whose interruption matters more.
    pub(super) fn crash_in_exchange(&mut self, node: usize, action: &Action) {
        if self.now >= self.faults.crashes_in_exchanges_until {
            return;
        }
        let Action::Call { target: Target::Store, path, .. } = action else { return };
        let probability = if path == "/multi" { 0.02 } else { 0.002 };
        if self.rng.random_bool(probability) {
            let after = self.rng.random_range(0.0..0.015);
            let process_epoch = self.nodes[node].process_epoch;
            self.schedule_after(after, WorldEvent::Crash(node, process_epoch));
        }
    }

    /// Pauses a process while its clock runs on, or resumes it. A resumed process handles its
    /// timers first, then the events that arrived meanwhile.
    pub fn pause(&mut self, node: usize, paused: bool) {
        if paused {
            self.nodes[node].paused_events = Some(Vec::new());
            return;
        }
        let events = self.nodes[node].paused_events.take().unwrap_or_default();
        self.handle_event(node, Event::Tick);
        for event in events {
            // The time-outs of its calls have expired before it reads the answers.
            let event = match event {
                Event::CallEnded { id, .. } => Event::CallEnded { id, result: Err(NoAnswer) },
                other => other,
            };
            self.handle_event(node, event);
        }
    }

    /// Resumes a paused process as an event loop does that finds everything in its sockets: it
    /// handles what arrived meanwhile, answers of any age included, in the order of arrival, and
    /// its timers after that.
    pub fn resume_with_answers(&mut self, node: usize) {
        for event in self.nodes[node].paused_events.take().unwrap_or_default() {
            self.handle_event(node, event);
        }
        self.handle_event(node, Event::Tick);
    }

    /// Lets a controller handle an event, and schedules the actions that it emits.
    pub(super) fn handle_event(&mut self, node: usize, event: Event) {
        if let Some(paused_events) = self.nodes[node].paused_events.as_mut() {
            if !matches!(event, Event::Tick) {
                paused_events.push(event);
            }
            return;
        }
        let start = self.started_at.get(&node).copied().unwrap_or_default();
        let now = self.now - start;
        let mut actions = Vec::new();
        if let Some(controller) = self.nodes[node].controller.as_mut() {
            controller.handle(now, event, &mut actions);
        }
        self.record(node, &actions);
        for action in actions {
            match action {
                Action::Respond { conn, status, body, .. } => {
                    self.check_body_size(&body, "an answer");
                    let mut lag = self.draw_latency();
                    let unreachable = |p: &Pending| matches!(&p.source, Source::Worker(name, _) if !self.node_reaches_machine(name, p.node));
                    let lost = self.pending.get(&conn).is_some_and(unreachable);
                    let from_worker = |p: &Pending| matches!(p.source, Source::Worker(..));
                    if self.pending.get(&conn).is_some_and(from_worker) {
                        self.nodes[node].served += u32::from(status == 200);
                        self.check_commands(&body);
                        lag += self.draw_delay(self.faults.late_heartbeat_answers).unwrap_or_default();
                    }
                    if !lost {
                        self.schedule_after(lag, WorldEvent::Reply(conn, status, body));
                    }
                }
                Action::Send { member, frame } => {
                    let to: usize = member.trim_start_matches("perch-").parse().unwrap();
                    let lag = self.draw_latency() + self.draw_delay(self.faults.late_heartbeats).unwrap_or_default();
                    if !self.faults.peers_cut.contains(&(node, to)) {
                        self.schedule_after(lag, WorldEvent::PeerHeartbeat(to, format!("perch-{node}"), frame));
                    }
                }
                call => {
                    if let Action::Call { path, body: Some(body), .. } = &call {
                        self.check_body_size(body, path);
                    }
                    self.crash_in_exchange(node, &call);
                    let writes = matches!(&call, Action::Call { path, .. } if path == "/multi");
                    let lag = self.draw_latency() + if writes { self.faults.transaction_delay_s } else { 0.0 };
                    if let Action::Call { target: Target::Worker(_), body: Some(body), .. } = &call {
                        self.check_commands(body);
                    }
                    let process_epoch = self.nodes[node].process_epoch;
                    self.schedule_after(lag, WorldEvent::Call(node, process_epoch, Box::new(call)));
                }
            }
        }
    }

    /// Checks that a body that a controller sends is within the limit of the protocol.
    fn check_body_size(&self, body: &[u8], what: &str) {
        assert!(!exceeds_limit(body), "seed {}, {:?}: {what} exceeds the limit on bodies", self.seed, self.now);
    }

    /// Adds the actions of a controller to the digest, as they go over the wire.
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

    /// Changes the operator's settings and lets every controller reload them.
    pub fn reload_operator_settings(&mut self, operator: Operator) {
        self.operator = operator;
        for node in 0..self.nodes.len() {
            self.handle_event(node, Event::OperatorSettings(Box::new(self.operator.clone())));
        }
    }

    /// Returns whether a controller tells the load balancer that it is healthy.
    pub fn healthy(&mut self, node: usize) -> bool {
        let now = self.now - self.started_at.get(&node).copied().unwrap_or_default();
        let Some(controller) = self.nodes[node].controller.as_mut() else { return false };
        let mut actions = Vec::new();
        let (method, path) = ("GET".to_string(), "/healthz".to_string());
        controller.handle(now, Event::Request { conn: 0, method, path, body: Vec::new() }, &mut actions);
        self.record(node, &actions);
        actions.iter().any(|a| matches!(a, Action::Respond { conn: 0, status: 200, .. }))
    }
}

/// Returns the name of a call's target in the digest, which must not depend on names in the
/// code.
fn target_name(target: &Target) -> String {
    match target {
        Target::Store => "state".to_string(),
        Target::Cloud => "cloud".to_string(),
        Target::Worker(address) => address.to_string(),
    }
}
