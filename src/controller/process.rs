//! This process: its name, its incarnation and its clocks.

use crate::effects::Instant;
use crate::state::records::MachineRecord;
use std::time::Duration;

/// Who this controller is, and how its steady clock relates to the time of day.
#[derive(Debug)]
pub(super) struct Process {
    /// The controller's name in the settings.
    pub(super) member: String,
    /// Distinguishes this process from earlier ones of the same name.
    pub(super) incarnation: u64,
    /// The time of day at which the process started.
    pub(super) wall: Duration,
    /// When the last tick was handled.
    pub(super) ticked_at: Instant,
}

impl Process {
    /// A process that has just started at the time of day `wall`.
    pub(super) fn new(member: String, incarnation: u64, wall: Duration) -> Process {
        Process { member, incarnation, wall, ticked_at: Duration::ZERO }
    }

    /// Whether the machine is granted to this process.
    pub(super) fn owns(&self, machine: &MachineRecord) -> bool {
        machine.owner == self.member && machine.incarnation == self.incarnation
    }
}
