//! Heartbeats of agents: which controller answers them, and what they change.

use super::{Agents, MAX_HEARTBEAT_GAP_INTERVALS};
use crate::connectivity::heartbeat_tracking::Freshness;
use crate::controller::Controller;
use crate::effects::{ConnId, Instant};
use crate::protocol::encode;
use crate::protocol::worker::{Heartbeat, HeartbeatResponse, Redirect};

/// A heartbeat waits this long for a grant, in heartbeat intervals.
const GRANT_WAIT_INTERVALS: f64 = 0.75;
/// HTTP status that redirects an agent to another controller.
const STATUS_MISDIRECTED: u16 = 421;
/// HTTP status that refuses a heartbeat.
const STATUS_UNAVAILABLE: u16 = 503;
/// Reasons for refusing a heartbeat, as they are sent to agents.
const OLDER_REPORT: &str = "an older report";
const NOT_GRANTED: &str = "not granted yet";
const OTHER_CONTROLLER: &str = "the worker listens to somebody else";
const STORE_UNREACHABLE: &str = "not in touch with the state service";
const NO_OWNER: &str = "no owner yet";
const ANSWERS_LOST: &str = "hears nothing";

/// A heartbeat that waits until a grant is made or becomes known here.
#[derive(Debug)]
pub(super) struct PendingHeartbeat {
    conn: ConnId,
    heartbeat: Heartbeat,
    freshness: Freshness,
    /// When it is refused if it still waits.
    refuse_at: Instant,
}

/// Which controller answers a heartbeat.
enum Route {
    /// This controller.
    Here,
    /// None yet: the machine has to be granted, or the grant to become known here.
    Pending,
    /// Another controller, if one is known.
    Redirect(Option<String>),
    /// None; the reason is sent to the agent.
    Refuse(&'static str),
}

impl Agents {
    /// Records a heartbeat of a machine that this controller owns. Returns whether it calls for a
    /// scheduling round, or the reason why it is refused.
    fn record_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        freshness: Freshness,
        now: Instant,
        heartbeat_interval_s: f64,
    ) -> Result<bool, &'static str> {
        let name = &heartbeat.machine;
        let machine = self.machines.get_mut(name).ok_or(NOT_GRANTED)?;
        let is_new_epoch = machine.newest_report.0 > 0 && heartbeat.agent_epoch > machine.newest_report.0;
        if !machine.apply_report(heartbeat) {
            return Err(OLDER_REPORT);
        }
        if !machine.raise_token_above_agent() {
            return Err(OTHER_CONTROLLER);
        }
        machine.observe_report(freshness == Freshness::New, now);
        let silent_intervals = machine.heard_at.map(|at| now.saturating_sub(at).as_secs_f64() / heartbeat_interval_s);
        let wakes_scheduler = silent_intervals.is_none_or(|intervals| intervals > 1.0) || machine.answered_at.is_none();
        if freshness == Freshness::New || machine.report_proven {
            machine.heard_at = Some(now);
            machine.unlisted = false;
            self.heartbeat_tracker.record_alive(name, machine.newest_report, now);
        }
        machine.observe_report_timing(
            silent_intervals.is_some_and(|intervals| intervals > MAX_HEARTBEAT_GAP_INTERVALS),
            is_new_epoch,
        );
        Ok(wakes_scheduler)
    }
}

impl Controller {
    /// Processes a heartbeat of an agent.
    pub(in crate::controller) fn receive_heartbeat(&mut self, conn: ConnId, heartbeat: Heartbeat) {
        let machine = self.agents.machine(&heartbeat.machine);
        if machine.is_some_and(|machine| machine.contradicts_token(heartbeat.fencing_token)) {
            // It is a delayed copy from before a restart of the agent, or the agent restarted
            // since.
            self.probe_sender(&heartbeat);
            return self.refuse(conn, STATUS_UNAVAILABLE, OLDER_REPORT);
        }
        let freshness = self.agents.classify(&heartbeat, self.now);
        let refuse_at = self.now + self.heartbeat_intervals(GRANT_WAIT_INTERVALS);
        self.answer_heartbeat(PendingHeartbeat { conn, heartbeat, freshness, refuse_at });
    }

    /// Retries the heartbeats that wait for a grant, and refuses those that waited too long.
    pub(in crate::controller) fn retry_pending_heartbeats(&mut self) {
        for pending in std::mem::take(&mut self.agents.pending_heartbeats) {
            if pending.refuse_at <= self.now {
                self.refuse(pending.conn, STATUS_UNAVAILABLE, NO_OWNER);
            } else {
                self.answer_heartbeat(pending);
            }
        }
    }

    /// Answers, redirects or refuses a heartbeat, or lets it wait.
    fn answer_heartbeat(&mut self, pending: PendingHeartbeat) {
        match self.route_heartbeat(&pending.heartbeat, pending.freshness) {
            Route::Here => self.accept_heartbeat(pending.conn, &pending.heartbeat, pending.freshness),
            Route::Pending => self.agents.pending_heartbeats.push(pending),
            Route::Redirect(to) => self.redirect(pending.conn, to),
            Route::Refuse(reason) => self.refuse(pending.conn, STATUS_UNAVAILABLE, reason),
        }
    }

    /// Determines which controller answers the heartbeat. Registers an unknown machine, and probes
    /// one that may have been restarted.
    fn route_heartbeat(&mut self, heartbeat: &Heartbeat, freshness: Freshness) -> Route {
        if let Some(peer) = self.better_connected_peer() {
            return Route::Redirect(Some(peer));
        }
        if !self.may_act() {
            return Route::Refuse(STORE_UNREACHABLE);
        }
        let Some(machine) = self.state.machines.get(&heartbeat.machine) else {
            self.register_machine(heartbeat);
            return Route::Pending;
        };
        if !self.owns(machine) {
            if self.state.is_machine_held(&machine.rec) {
                let owner = machine.rec.owner.clone();
                if freshness == Freshness::New {
                    self.report_misdirected_machine(&heartbeat.machine);
                }
                return Route::Redirect(Some(owner));
            }
            // The leader will grant the machine.
            let leader = self.leader_name();
            let is_leader = leader.as_ref() == Some(&self.process.member);
            return if is_leader { Route::Pending } else { Route::Redirect(leader) };
        }
        // Our replica must contain everything that earlier owners stored about the machine.
        if self.state.revision < machine.rec.grant_revision {
            return Route::Pending;
        }
        if freshness == Freshness::NotNewer {
            // It is a delayed copy, or the machine was restarted.
            self.probe_sender(heartbeat);
            return Route::Refuse(OLDER_REPORT);
        }
        Route::Here
    }

    /// Records a heartbeat of a machine of this controller, and answers it with commands.
    fn accept_heartbeat(&mut self, conn: ConnId, heartbeat: &Heartbeat, freshness: Freshness) {
        self.adopt_granted_machines();
        let interval_s = self.config.deployment.workers.heartbeat_interval_s;
        match self.agents.record_heartbeat(heartbeat, freshness, self.now, interval_s) {
            Ok(wakes_scheduler) => self.scheduler.request_round_if(wakes_scheduler),
            Err(reason) => return self.refuse(conn, STATUS_UNAVAILABLE, reason),
        }
        let name = &heartbeat.machine;
        let expiry = self.lease_expiry();
        if self.agents.machine(name).is_some_and(|m| m.lease_expired(self.now, expiry.lease, expiry.cancel)) {
            // This comes before the machine is answered again: what ran under the earlier answers
            // has ended, and the next answer starts none of it again.
            self.mark_placements_gone(name);
        }
        self.reconcile(name);
        let must_await_lease_expiry =
            self.agents.machine(name).is_some_and(|m| m.must_await_lease_expiry(self.now, expiry.lease, expiry.cancel));
        if must_await_lease_expiry && self.has_live_placements(name) {
            return self.refuse(conn, STATUS_UNAVAILABLE, ANSWERS_LOST);
        }
        self.respond_with_commands(conn, name);
    }

    /// Answers a heartbeat with the commands that follow from the recorded tasks.
    fn respond_with_commands(&mut self, conn: ConnId, name: &str) {
        let tasks = self.machine_tasks(name);
        self.count_differences(name, &tasks.wanted, &tasks.kept);
        let mut commands = self.sendable_commands(name, &tasks);
        let Some(machine) = self.agents.machines.get_mut(name) else { return };
        machine.raise_token_to_forget(&mut commands);
        let fencing_token = machine.record_answer(&commands, self.now);
        self.agents.summary.answers += 1;
        if !commands.is_empty() {
            let revision = self.state.revision;
            tracing::debug!(machine = %name, token = fencing_token, revision, ?commands, "heartbeat answered with commands");
        }
        let response = HeartbeatResponse { fencing_token, commands: commands.into() };
        self.respond(conn, 200, encode(&response));
    }

    /// Redirects an agent to another controller, or to any if none is known.
    fn redirect(&mut self, conn: ConnId, to: Option<String>) {
        let controller = to.filter(|name| *name != self.process.member);
        self.respond(conn, STATUS_MISDIRECTED, encode(&Redirect { controller: controller.map(Into::into) }));
    }

    /// The leader, if it is live.
    pub(in crate::controller) fn leader_name(&self) -> Option<String> {
        let leader = self.state.leader.as_ref()?;
        self.state.is_live(&leader.rec.member, leader.rec.incarnation).then(|| leader.rec.member.clone())
    }
}
