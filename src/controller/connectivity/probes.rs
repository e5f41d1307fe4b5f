//! Probes of machines that fell silent, or whose heartbeats may be delayed copies.

use super::heartbeats::HASTENED_HEARTBEAT_INTERVALS;
use crate::connectivity::heartbeat_tracking::HeartbeatCounters;
use crate::controller::agents::MAX_HEARTBEAT_GAP_INTERVALS;
use crate::controller::{CallPurpose, Controller};
use crate::coordination::machine::Machine;
use crate::effects::{NoAnswer, Reply, Target};
use crate::protocol::worker::Heartbeat;
use std::time::Duration;

/// This many silent machines are probed at once, and listed in one heartbeat.
const MAX_PROBES: usize = 24;
/// Silent machines are probed until they have been silent for this many heartbeat intervals
/// longer than agents may take to find their controller.
const EXTRA_PROBED_INTERVALS: f64 = 2.0;
/// Path under which agents report their state.
const STATUS_PATH: &str = "/show";

impl Controller {
    /// Machines of ours that fell silent recently, with their addresses. Whether any controller
    /// reaches them decides whether they are released, waited for or reassigned.
    pub(super) fn silent_machines(&self) -> Vec<(String, String)> {
        let min_silence = self.heartbeat_intervals(MAX_HEARTBEAT_GAP_INTERVALS);
        let max_silence = self.full_retry_round() + self.heartbeat_intervals(EXTRA_PROBED_INTERVALS);
        let silence = |machine: &Machine| machine.heard_at.map_or(Duration::MAX, |at| self.now.saturating_sub(at));
        let fell_silent = |(_, machine): &(&String, &Machine)| {
            !machine.releasing && !machine.addr.is_empty() && (min_silence..max_silence).contains(&silence(machine))
        };
        let mut machines: Vec<(&String, &Machine)> = self.agents.machines().filter(fell_silent).collect();
        machines.sort_by_key(|(_, machine)| silence(machine));
        let newest = machines.into_iter().take(MAX_PROBES);
        newest.map(|(name, machine)| (name.clone(), machine.addr.clone())).collect()
    }

    /// Probes silent machines. Reading what they report changes nothing there and renews no lease.
    pub(in crate::controller) fn probe(&mut self, silent: &[(String, String)]) {
        for (machine, addr) in silent.iter().take(MAX_PROBES) {
            let Ok(addr) = addr.parse() else { continue };
            let purpose = CallPurpose::Probe { machine: machine.clone(), known: self.agents.newest_counters(machine) };
            let timeout = self.heartbeat_intervals(1.0);
            self.call(Target::Worker(addr), "GET", STATUS_PATH.into(), None, timeout, purpose);
        }
    }

    /// Probes the sender of a heartbeat that may be a delayed copy: nothing is known of the
    /// machine, or the heartbeat shows less than is known.
    pub(in crate::controller) fn probe_sender(&mut self, heartbeat: &Heartbeat) {
        if self.agents.begin_probe(&heartbeat.machine, self.now, self.heartbeat_intervals(1.0)) {
            self.probe(&[(heartbeat.machine.clone(), heartbeat.addr.clone())]);
        }
    }

    /// Processes the outcome of a probe that was sent when the newest counters of the machine were
    /// `known`.
    pub(in crate::controller) fn handle_probe_answer(
        &mut self,
        machine: String,
        known: HeartbeatCounters,
        result: Result<Reply, NoAnswer>,
    ) {
        let reply = result.ok().filter(|reply| reply.status == 200);
        let answer = reply.and_then(|reply| crate::protocol::decode::<Heartbeat>(&reply.body).ok());
        let Some(answer) = answer.filter(|answer| answer.machine == machine) else { return };
        // The owner of the machine may be about to release it, and must learn of the answer soon.
        self.connectivity.hasten_heartbeat(self.now + self.heartbeat_intervals(HASTENED_HEARTBEAT_INTERVALS));
        let is_restarted = self.agents.record_probe_answer(&answer, known, self.now);
        if is_restarted {
            self.push_token(&machine);
        }
        self.scheduler.request_round_if(is_restarted);
        self.retry_pending_heartbeats();
    }
}
