//! Heartbeats of agents: who answers them, and what they change.

use super::{Agents, MAX_HEARTBEAT_GAP};
use crate::connectivity::heartbeat_tracking::Freshness;
use crate::controller::Controller;
use crate::effects::{ConnId, Instant};
use crate::protocol::encode;
use crate::protocol::worker::{Heartbeat, HeartbeatResponse, Redirect};

/// A heartbeat waits for a grant this long, in heartbeat intervals.
const GRANT_WAIT: f64 = 0.75;
const MISDIRECTED: u16 = 421;
const UNAVAILABLE: u16 = 503;
/// Reasons for refusing a heartbeat, as agents see them.
const OLDER: &str = "an older report";
const NO_GRANT: &str = "not granted yet";
const OUTRANKED: &str = "the worker listens to somebody else";
const NO_STORE: &str = "not in touch with the state service";
const NO_OWNER: &str = "no owner yet";
const HEARS_NOTHING: &str = "hears nothing";

/// A heartbeat that waits for a grant to be made or seen.
#[derive(Debug)]
pub(super) struct PendingHeartbeat {
    conn: ConnId,
    heartbeat: Heartbeat,
    news: Freshness,
    /// It is refused after this time.
    until: Instant,
}

/// Who is to answer a heartbeat.
enum Route {
    Here,
    /// Nobody yet: its machine has to be granted, or the grant to be seen.
    Pending,
    /// Another controller, if one is known.
    Redirect(Option<String>),
    Refuse(&'static str),
}

impl Agents {
    /// Takes in a heartbeat of a machine that this controller owns. Gives whether a
    /// scheduling round may act on it, or why it is refused.
    fn record_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        news: Freshness,
        now: Instant,
        heartbeat_interval_s: f64,
    ) -> Result<bool, &'static str> {
        let name = &heartbeat.machine;
        let machine = self.machines.get_mut(name).ok_or(NO_GRANT)?;
        let is_new_epoch = machine.at.0 > 0 && heartbeat.agent_epoch > machine.at.0;
        if !machine.take(heartbeat) {
            return Err(OLDER);
        }
        if !machine.raise_token_above_agent() {
            return Err(OUTRANKED);
        }
        machine.observe_report(news == Freshness::New, now);
        let silent = machine.heard_at.map(|at| now.saturating_sub(at).as_secs_f64() / heartbeat_interval_s);
        let wakes_scheduler = silent.is_none_or(|intervals| intervals > 1.0) || machine.answered_at.is_none();
        if news == Freshness::New || machine.sure {
            machine.heard_at = Some(now);
            machine.unlisted = false;
            self.hearing.proved(name, machine.at, now);
        }
        machine.observe_report_timing(silent.is_some_and(|intervals| intervals > MAX_HEARTBEAT_GAP), is_new_epoch);
        Ok(wakes_scheduler)
    }
}

impl Controller {
    /// An agent's heartbeat.
    pub(in crate::controller) fn receive_heartbeat(&mut self, conn: ConnId, heartbeat: Heartbeat) {
        let machine = self.agents.machine(&heartbeat.machine);
        if machine.is_some_and(|machine| machine.contradicts_token(heartbeat.fencing_token)) {
            // A copy from before its end, or it ended since.
            self.call_back(&heartbeat);
            return self.refuse(conn, UNAVAILABLE, OLDER);
        }
        let news = self.agents.classify(&heartbeat, self.now);
        let until = self.now + self.heartbeat_intervals(GRANT_WAIT);
        self.answer_heartbeat(PendingHeartbeat { conn, heartbeat, news, until });
    }

    /// Heartbeats that waited for a grant are looked at again.
    pub(in crate::controller) fn retry_pending_heartbeats(&mut self) {
        for pending in std::mem::take(&mut self.agents.pending) {
            if pending.until <= self.now {
                self.refuse(pending.conn, UNAVAILABLE, NO_OWNER);
            } else {
                self.answer_heartbeat(pending);
            }
        }
    }

    fn answer_heartbeat(&mut self, pending: PendingHeartbeat) {
        match self.route_heartbeat(&pending.heartbeat, pending.news) {
            Route::Here => self.accept_heartbeat(pending.conn, &pending.heartbeat, pending.news),
            Route::Pending => self.agents.pending.push(pending),
            Route::Redirect(to) => self.redirect(pending.conn, to),
            Route::Refuse(reason) => self.refuse(pending.conn, UNAVAILABLE, reason),
        }
    }

    /// Who answers the heartbeat. A machine that nobody knows is registered, one that may
    /// have been restarted is called.
    fn route_heartbeat(&mut self, heartbeat: &Heartbeat, news: Freshness) -> Route {
        if let Some(peer) = self.better_connected_peer() {
            return Route::Redirect(Some(peer));
        }
        if !self.entitled() {
            return Route::Refuse(NO_STORE);
        }
        let Some(machine) = self.state.machines.get(&heartbeat.machine) else {
            self.enrol(heartbeat);
            return Route::Pending;
        };
        if !self.owns(machine) {
            if self.state.owned(&machine.rec) {
                let owner = machine.rec.owner.clone();
                if news == Freshness::New {
                    self.report_misdirected_machine(&heartbeat.machine);
                }
                return Route::Redirect(Some(owner));
            }
            // The leader will grant it.
            let leader = self.leader_name();
            let leads = leader.as_ref() == Some(&self.process.member);
            return if leads { Route::Pending } else { Route::Redirect(leader) };
        }
        // Our replica must hold all that earlier owners stored about the machine.
        if self.state.revision < machine.rec.granted {
            return Route::Pending;
        }
        if news == Freshness::Old {
            // A copy, or a machine that ended and is back.
            self.call_back(heartbeat);
            return Route::Refuse(OLDER);
        }
        Route::Here
    }

    /// Takes in a heartbeat of a machine of ours, and answers it with commands.
    fn accept_heartbeat(&mut self, conn: ConnId, heartbeat: &Heartbeat, news: Freshness) {
        self.adopt_granted_machines();
        let interval_s = self.config.settings.workers.heartbeat_interval_s;
        match self.agents.record_heartbeat(heartbeat, news, self.now, interval_s) {
            Ok(wakes_scheduler) => self.scheduler.request_round_if(wakes_scheduler),
            Err(reason) => return self.refuse(conn, UNAVAILABLE, reason),
        }
        let name = &heartbeat.machine;
        let expiry = self.lease_expiry();
        if self.agents.machine(name).is_some_and(|m| m.lapsed(self.now, expiry.lease, expiry.cancel)) {
            // Before it is answered again: what ran under the answers that came has
            // ended, and the next one starts nothing of it.
            self.give_up_places(name);
        }
        self.reconcile(name);
        let must_await_lease_expiry =
            self.agents.machine(name).is_some_and(|m| m.must_await_lease_expiry(self.now, expiry.lease, expiry.cancel));
        if must_await_lease_expiry && self.holds_places(name) {
            return self.refuse(conn, UNAVAILABLE, HEARS_NOTHING);
        }
        self.respond_with_commands(conn, name);
    }

    fn respond_with_commands(&mut self, conn: ConnId, name: &str) {
        let tasks = self.machine_tasks(name);
        self.count_differences(name, &tasks.wanted, &tasks.kept);
        let Some(machine) = self.agents.machines.get_mut(name) else { return };
        let commands = super::commands::without_partly_placed(
            machine.commands(&tasks.wanted, &tasks.kept),
            &self.state,
            &self.config,
        );
        let response = HeartbeatResponse { fencing_token: machine.answer(self.now), commands: commands.into() };
        self.respond(conn, 200, encode(&response));
    }

    fn redirect(&mut self, conn: ConnId, to: Option<String>) {
        let controller = to.filter(|name| *name != self.process.member);
        self.respond(conn, MISDIRECTED, encode(&Redirect { controller: controller.map(Into::into) }));
    }

    /// The live leader, if there is one.
    pub(in crate::controller) fn leader_name(&self) -> Option<String> {
        let leader = self.state.leader.as_ref()?;
        self.state.is_live(&leader.rec.member, leader.rec.incarnation).then(|| leader.rec.member.clone())
    }
}
