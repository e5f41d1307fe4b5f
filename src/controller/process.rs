//! The identity of this controller process, and its clocks.

use crate::coordination::suspension::SuspensionDetector;
use crate::effects::Instant;
use crate::state::records::MachineRecord;
use std::time::Duration;

/// The identity of this process, and how its monotonic clock relates to the time of day.
#[derive(Debug)]
pub(super) struct Process {
    /// The controller's name in the settings; constant.
    pub(super) member: String,
    /// Distinguishes this process from earlier ones of the same name; constant.
    pub(super) incarnation: u64,
    /// The time of day at which the process started.
    started_at: Duration,
    /// Tells which answers prove the present.
    pub(super) suspension: SuspensionDetector,
}

impl Process {
    /// A process that has just started at the time of day `started_at`, and handles ticks at this
    /// interval.
    pub(super) fn new(member: String, incarnation: u64, started_at: Duration, tick_interval: Duration) -> Process {
        let suspension = SuspensionDetector::new(tick_interval);
        Process { member, incarnation, started_at, suspension }
    }

    /// Whether a record with this member name and incarnation refers to this process.
    pub(super) fn is(&self, member: &str, incarnation: u64) -> bool {
        self.member == member && self.incarnation == incarnation
    }

    /// The time of day in milliseconds.
    pub(super) fn wall_ms(&self, now: Instant) -> u64 {
        (self.started_at + now).as_millis() as u64
    }

    /// Whether the machine is granted to this process.
    pub(super) fn owns(&self, machine: &MachineRecord) -> bool {
        machine.owner == self.member && machine.incarnation == self.incarnation
    }
}

#[cfg(test)]
mod tests;
