//! The phases of a controller's startup.
//!
//! A heartbeat of one machine is enough to act on that machine, so commands to it wait
//! for nothing else. Decisions that depend on the whole fleet wait here: machines are
//! returned, moved between shards or rented for arrays, tasks are preempted and queues
//! reassigned only once most machines have sent a heartbeat, or once the others have had
//! enough time for it: a lease, or a round of heartbeats after which hardly any new
//! machine appeared. Machines that hung or were partitioned before the startup delay
//! nothing but what concerns them.
//!
//! Invariants:
//! - Phases only advance, except after a pause of the process: what it heard before is
//!   outdated then, and it gathers heartbeats again.
//! - Time counts only while the replica is fresh: an outage of the store during startup
//!   does not use up the time that machines have for their heartbeats.
//! - A controller that starts with an empty fleet waits for nothing.

use super::difference::Difference;
use std::collections::BTreeMap;
use std::time::Duration;

/// The part of the fleet that has to be heard before the silence of the rest counts.
const MOST_OF_FLEET: f64 = 0.9;
/// The fleet is still arriving if more than this part of it is heard for the first time
/// within a quarter of a round.
const STILL_ARRIVING: f64 = 0.01;
/// Controllers that are absent get this part of an agent's lease before their machines
/// are reassigned: a shard whose owner returns needs no reassignment.
const MEMBERS_WAIT_LEASES: f64 = 1.0 / 6.0;

/// A phase of the startup, in the order in which they follow each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The store is being read.
    Loading,
    /// Controllers return and machines send their first heartbeats: nothing is decided that
    /// depends on the whole fleet.
    Gathering,
    /// Most of the fleet is known, but not all machines of this shard.
    Reconciling,
    /// The startup is complete.
    Settled,
}

/// How many of the expected machines or controllers have been heard since the startup.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Heard {
    pub heard: usize,
    pub all: usize,
}

impl Heard {
    fn most(self) -> bool {
        self.heard as f64 >= self.all as f64 * MOST_OF_FLEET
    }
}

/// What a controller observes during its startup.
#[derive(Debug, Clone, Copy)]
pub struct Facts {
    /// The replica is no older than a heartbeat interval.
    pub fresh: bool,
    /// Live controllers, of those configured.
    pub members: Heard,
    /// Machines of this controller's shard.
    pub shard: Heard,
    /// Machines of all shards.
    pub fleet: Heard,
}

/// The progress of a controller's startup.
#[derive(Debug)]
pub struct Start {
    phase: Phase,
    /// An agent that gets no response for this long stops all its tasks.
    lease: Duration,
    /// An agent that is alive and reaches a responsive controller sends a heartbeat within
    /// this time.
    round: Duration,
    updated_at: Duration,
    last_growth: FleetGrowth,
    /// Time with a fresh replica since the store was read.
    elapsed: Duration,
    members_known: bool,
    /// The number of differences found with the first heartbeats of machines.
    pub cases: BTreeMap<Difference, u32>,
}

/// The last time the number of heard machines rose considerably.
#[derive(Debug, Default)]
struct FleetGrowth {
    heard: usize,
    /// The elapsed time at which it rose.
    at: Duration,
}

impl Start {
    /// A startup with an agent lease of `lease` and heartbeats within `round`.
    pub fn new(lease: Duration, round: Duration) -> Start {
        Start {
            phase: Phase::Loading,
            lease,
            round: round.min(lease),
            last_growth: FleetGrowth::default(),
            updated_at: Duration::ZERO,
            elapsed: Duration::ZERO,
            members_known: false,
            cases: BTreeMap::new(),
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The store has been read. Reading it again later does not restart the startup.
    pub fn loaded(&mut self, now: Duration) {
        if self.phase == Phase::Loading {
            self.phase = Phase::Gathering;
            self.updated_at = now;
        }
    }

    /// The process was suspended for so long that earlier heartbeats are outdated.
    pub fn paused(&mut self, now: Duration) {
        if self.phase > Phase::Gathering {
            self.phase = Phase::Gathering;
            self.members_known = false;
            self.elapsed = Duration::ZERO;
            self.last_growth = FleetGrowth::default();
            self.updated_at = now;
        }
    }

    /// Whether hardly any machine has been heard for the first time recently.
    fn has_stopped_growing(&mut self, fleet: Heard) -> bool {
        if fleet.heard as f64 > self.last_growth.heard as f64 + fleet.all as f64 * STILL_ARRIVING {
            self.last_growth = FleetGrowth { heard: fleet.heard, at: self.elapsed };
        }
        self.elapsed.saturating_sub(self.last_growth.at) >= self.round / 4
    }

    /// Evaluates the observations; returns the phase if it has changed.
    pub fn look(&mut self, now: Duration, observed: &Facts) -> Option<Phase> {
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
        self.members_known |=
            observed.members.heard >= observed.members.all || self.elapsed >= self.lease.mul_f64(MEMBERS_WAIT_LEASES);
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

    /// Whether controllers that are absent count as failed, so that their machines and
    /// queues are reassigned.
    pub fn members_known(&self) -> bool {
        self.members_known || self.phase == Phase::Settled
    }

    /// Whether every live agent has had time to send a heartbeat: the lease of one that was
    /// not heard has expired, or it is partitioned, or never started.
    pub fn all_came(&self) -> bool {
        self.elapsed >= self.lease
    }

    /// Whether decisions may depend on the silence of a machine or on the capacity of the
    /// fleet.
    pub fn fleet_known(&self) -> bool {
        self.phase >= Phase::Reconciling
    }
}

#[cfg(test)]
mod tests;
