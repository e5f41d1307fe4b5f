//! The phases of a controller's startup.
//!
//! Commands to a machine need only the heartbeat of that machine, so they do not wait for the
//! startup. Decisions that depend on the whole fleet do: returning machines, moving them between
//! shards, renting them for arrays, preempting tasks and reassigning queues. They wait until most
//! machines have sent a heartbeat, or until the others have had enough time for one: a lease, or
//! a round of heartbeats at whose end hardly any new machine appears. Machines that hung or were
//! partitioned before the startup delay only decisions about themselves.
//!
//! Invariants:
//! - Phases only advance, except after a pause of the process: earlier heartbeats are then
//!   outdated, and the controller gathers them again.
//! - Time counts only while the replica is fresh, so an outage of the store during the startup
//!   does not use up the time that machines have for their heartbeats.
//! - A controller that starts with an empty fleet waits for nothing.

#![warn(missing_docs)]

use super::difference::Difference;
use crate::protocol::time::scale_duration;
use std::collections::BTreeMap;
use std::time::Duration;

/// The fraction of the fleet that must have sent heartbeats before the silence of the rest is
/// significant.
const REQUIRED_FLEET_FRACTION: f64 = 0.9;
/// The fleet is still arriving if more than this fraction of it is heard for the first time
/// within a quarter of a round.
const ARRIVING_FLEET_FRACTION: f64 = 0.01;
/// Absent controllers have this many leases of an agent to return before their machines are
/// reassigned, because a shard whose owner returns needs no reassignment.
const MEMBERS_WAIT_LEASES: f64 = 1.0 / 6.0;

/// A phase of the startup, in the order in which they follow each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The store is being read.
    Loading,
    /// Controllers return and machines send their first heartbeats. Decisions that depend on the
    /// whole fleet wait.
    Gathering,
    /// Most of the fleet is known, but not yet all machines of this shard.
    Reconciling,
    /// The startup is complete.
    Settled,
}

/// How many of the expected machines or controllers have been heard from since the process
/// started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeardCount {
    /// The number of those that have been heard from.
    pub heard: usize,
    /// The number of those that are expected.
    pub all: usize,
}

impl HeardCount {
    /// Whether enough of them have been heard from for the silence of the rest to be significant.
    fn most(self) -> bool {
        self.heard as f64 >= self.all as f64 * REQUIRED_FLEET_FRACTION
    }
}

/// What a controller observes during its startup.
#[derive(Debug, Clone, Copy)]
pub struct StartupObservations {
    /// Whether the replica is no older than a heartbeat interval.
    pub fresh: bool,
    /// The live ones of the configured controllers.
    pub members: HeardCount,
    /// The machines of this controller's shard.
    pub shard: HeardCount,
    /// The machines of all shards.
    pub fleet: HeardCount,
}

/// The progress of a controller's startup.
#[derive(Debug)]
pub struct Startup {
    phase: Phase,
    /// An agent that gets no response for this long stops all its tasks.
    lease: Duration,
    /// Every live agent that can reach a responsive controller sends a heartbeat within this
    /// time.
    round: Duration,
    /// When `update` was last called, or the startup was last reset.
    updated_at: Duration,
    last_growth: FleetGrowth,
    /// The time that passed with a fresh replica since the store was read.
    elapsed: Duration,
    /// Whether all controllers are live, or the absent ones have had time to return.
    members_known: bool,
    /// The number of differences of each kind that the first heartbeats of machines showed.
    pub differences: BTreeMap<Difference, u32>,
}

/// When the number of machines that have been heard from last rose considerably.
#[derive(Debug, Default)]
struct FleetGrowth {
    /// The number after it rose.
    heard: usize,
    /// The value of `elapsed` when it rose.
    at: Duration,
}

impl Startup {
    /// A startup with an agent lease of `lease` and heartbeats within `round`.
    pub fn new(lease: Duration, round: Duration) -> Startup {
        Startup {
            phase: Phase::Loading,
            lease,
            round: round.min(lease),
            last_growth: FleetGrowth::default(),
            updated_at: Duration::ZERO,
            elapsed: Duration::ZERO,
            members_known: false,
            differences: BTreeMap::new(),
        }
    }

    /// The present phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Records that the store has been read. Reading it again later does not restart the startup.
    pub fn record_loaded(&mut self, now: Duration) {
        if self.phase == Phase::Loading {
            self.phase = Phase::Gathering;
            self.updated_at = now;
        }
    }

    /// Records that the process was suspended for so long that earlier heartbeats are outdated.
    pub fn record_pause(&mut self, now: Duration) {
        if self.phase > Phase::Gathering {
            self.phase = Phase::Gathering;
            self.members_known = false;
            self.elapsed = Duration::ZERO;
            self.last_growth = FleetGrowth::default();
            self.updated_at = now;
        }
    }

    /// Whether hardly any new machine has been heard from recently.
    fn has_stopped_growing(&mut self, fleet: HeardCount) -> bool {
        if fleet.heard as f64 > self.last_growth.heard as f64 + fleet.all as f64 * ARRIVING_FLEET_FRACTION {
            self.last_growth = FleetGrowth { heard: fleet.heard, at: self.elapsed };
        }
        self.elapsed.saturating_sub(self.last_growth.at) >= self.round / 4
    }

    /// Evaluates the observations at this time. Returns the phase if it has changed.
    pub fn update(&mut self, now: Duration, observed: &StartupObservations) -> Option<Phase> {
        let since_update = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        if !observed.fresh || self.phase == Phase::Loading {
            return None;
        }
        self.elapsed += since_update;
        if self.phase == Phase::Settled {
            return None;
        }
        let stopped_growing = self.has_stopped_growing(observed.fleet);
        let timed_out = self.elapsed >= self.lease || self.elapsed >= self.round && stopped_growing;
        self.members_known |= observed.members.heard >= observed.members.all
            || self.elapsed >= scale_duration(self.lease, MEMBERS_WAIT_LEASES);
        let previous = self.phase;
        let members_known = self.members_known || observed.fleet.all == 0;
        if self.phase == Phase::Gathering && (timed_out || members_known && observed.fleet.most()) {
            self.phase = Phase::Reconciling;
        }
        if self.phase == Phase::Reconciling && (timed_out || observed.shard.heard >= observed.shard.all) {
            self.phase = Phase::Settled;
        }
        (self.phase != previous).then_some(self.phase)
    }

    /// Whether absent controllers count as failed, so that their machines and queues are
    /// reassigned.
    pub fn members_known(&self) -> bool {
        self.members_known || self.phase == Phase::Settled
    }

    /// Whether every live agent has had time to send a heartbeat. An agent that has not been
    /// heard from has lost its lease, is partitioned, or never started.
    pub fn all_agents_had_time(&self) -> bool {
        self.elapsed >= self.lease
    }

    /// Whether decisions may depend on the silence of a machine or on the capacity of the fleet.
    pub fn fleet_known(&self) -> bool {
        self.phase >= Phase::Reconciling
    }
}

#[cfg(test)]
mod tests;
