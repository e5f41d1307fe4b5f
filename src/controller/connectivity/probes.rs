//! Calls to machines that fell silent, or whose heartbeats may be copies.

use super::heartbeats::HASTENED_HEARTBEAT;
use crate::connectivity::heartbeat_tracking::At;
use crate::controller::agents::MAX_HEARTBEAT_GAP;
use crate::controller::{Controller, Purpose};
use crate::coordination::machine::Machine;
use crate::effects::{NoAnswer, Reply, Target};
use crate::protocol::worker::Heartbeat;
use std::time::Duration;

/// So many silent machines are called at once, and asked after in one heartbeat.
const PROBES_AT_ONCE: usize = 24;
/// Machines are asked after until they were silent for so many heartbeat intervals more
/// than agents may take to find their controller.
const PROBED_INTERVALS: f64 = 2.0;
const STATUS_PATH: &str = "/show";

impl Controller {
    /// Machines of ours that fell silent of late, with their addresses: whether anybody
    /// reaches them decides what becomes of them.
    pub(super) fn silent_machines(&self) -> Vec<(String, String)> {
        let from = self.heartbeat_intervals(MAX_HEARTBEAT_GAP);
        let to = self.full_retry_round() + self.heartbeat_intervals(PROBED_INTERVALS);
        let silent = |machine: &Machine| machine.heard_at.map_or(Duration::MAX, |at| self.now.saturating_sub(at));
        let fell_silent = |(_, machine): &(&String, &Machine)| {
            !machine.releasing && !machine.addr.is_empty() && (from..to).contains(&silent(machine))
        };
        let mut machines: Vec<(&String, &Machine)> = self.agents.machines().filter(fell_silent).collect();
        machines.sort_by_key(|(_, machine)| silent(machine));
        let newest = machines.into_iter().take(PROBES_AT_ONCE);
        newest.map(|(name, machine)| (name.clone(), machine.addr.clone())).collect()
    }

    /// Calls machines that fell silent to their owner; reading what they report
    /// changes nothing and renews no lease.
    pub(in crate::controller) fn probe(&mut self, silent: &[(String, String)]) {
        for (machine, addr) in silent.iter().take(PROBES_AT_ONCE) {
            let Ok(addr) = addr.parse() else { continue };
            let purpose = Purpose::Probe { machine: machine.clone(), known: self.agents.newest_counters(machine) };
            let timeout = self.heartbeat_intervals(1.0);
            self.call(Target::Worker(addr), "GET", STATUS_PATH.into(), None, timeout, purpose);
        }
    }

    /// Calls a machine whose heartbeat may be a copy: of one that nobody knows, or that
    /// says less than is known.
    pub(in crate::controller) fn call_back(&mut self, heartbeat: &Heartbeat) {
        if self.agents.may_call_back(&heartbeat.machine, self.now, self.heartbeat_intervals(1.0)) {
            self.probe(&[(heartbeat.machine.clone(), heartbeat.addr.clone())]);
        }
    }

    /// A machine answered a call that was made when it was `known` to be at these counters,
    /// or did not.
    pub(in crate::controller) fn probe_answer(&mut self, machine: String, known: At, result: Result<Reply, NoAnswer>) {
        let reply = result.ok().filter(|reply| reply.status == 200);
        let answer = reply.and_then(|reply| crate::protocol::decode::<Heartbeat>(&reply.body).ok());
        let Some(answer) = answer.filter(|answer| answer.machine == machine) else { return };
        // Its owner may be about to return it.
        self.connectivity.hasten_heartbeat(self.now + self.heartbeat_intervals(HASTENED_HEARTBEAT));
        let is_restarted = self.agents.record_probe(&answer, known, self.now);
        self.scheduler.request_round_if(is_restarted);
        self.retry_pending_heartbeats();
    }
}
