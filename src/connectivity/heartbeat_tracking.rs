//! Tracks the newest message of every machine, as received by this controller or reported by
//! the others, and tells whether a heartbeat is new or may be a delayed copy.
//!
//! A network that duplicates or delays packets delivers copies of heartbeats from seconds to
//! well over a lease late. Such a copy makes a dead machine look alive. It is recognized by
//! `(agent epoch, heartbeat sequence)`, which grows with every message of a worker:
//!
//! - A message above the newest known one is new.
//! - Where nothing is known of the machine yet, the message may be a copy. It is answered, but
//!   the machine does not count as alive until the worker sends another one.
//! - Any other message is a copy, or the machine was lost and restarted with new counters. Only
//!   the worker's own answer to a probe tells these two apart.

#![warn(missing_docs)]

use crate::effects::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// Agent epoch and heartbeat sequence number of a worker's message, compared in this order.
pub type HeartbeatCounters = (u64, u64);

/// How a message compares with the newest known one of its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// It is newer.
    New,
    /// Nothing was known of the machine.
    First,
    /// It is not newer: a delayed copy, or the machine restarted with new counters.
    NotNewer,
}

/// What is known of one machine.
#[derive(Debug, Default)]
struct TrackedMachine {
    /// The counters of its newest message.
    newest: HeartbeatCounters,
    /// When it last sent a message to this controller that proves it alive.
    alive_at: Option<Instant>,
    /// When it is known to have restarted: what others received before that is void.
    restarted_at: Option<Instant>,
    /// When it was last probed to tell a delayed copy from a restart.
    probed_at: Option<Instant>,
}

/// The newest message of every machine that is known to this controller.
#[derive(Debug, Default)]
pub struct HeartbeatTracker {
    machines: BTreeMap<String, TrackedMachine>,
}

impl HeartbeatTracker {
    /// Records a heartbeat that was received here, and returns how new it is.
    pub fn record_heartbeat(&mut self, machine: &str, counters: HeartbeatCounters, now: Instant) -> Freshness {
        let Some(tracked) = self.machines.get_mut(machine) else {
            self.machines.insert(machine.to_string(), TrackedMachine { newest: counters, ..TrackedMachine::default() });
            return Freshness::First;
        };
        if counters <= tracked.newest {
            return Freshness::NotNewer;
        }
        tracked.newest = counters;
        tracked.alive_at = Some(now);
        Freshness::New
    }

    /// Records that the machine is proved alive: it presented our fencing token, or answered a
    /// probe.
    pub fn record_alive(&mut self, machine: &str, counters: HeartbeatCounters, now: Instant) {
        let tracked = self.machines.entry(machine.to_string()).or_default();
        tracked.newest = tracked.newest.max(counters);
        tracked.alive_at = Some(now);
    }

    /// Records a restart of the machine: it answered our probe with counters below those that
    /// were known when the probe was sent.
    pub fn record_restart(&mut self, machine: &str, counters: HeartbeatCounters, now: Instant) {
        let tracked = self.machines.entry(machine.to_string()).or_default();
        *tracked = TrackedMachine {
            newest: counters,
            alive_at: Some(now),
            restarted_at: Some(now),
            probed_at: tracked.probed_at,
        };
    }

    /// Records that another controller received a message of the machine at `received_at`.
    pub fn record_elsewhere(&mut self, machine: &str, counters: HeartbeatCounters, received_at: Instant) {
        let tracked = self.machines.entry(machine.to_string()).or_default();
        if tracked.restarted_at.is_none_or(|restarted_at| received_at > restarted_at) {
            tracked.newest = tracked.newest.max(counters);
        }
    }

    /// Whether a probe of the machine is due, at most one in `interval`; if so, records it.
    pub fn begin_probe(&mut self, machine: &str, now: Instant, interval: Duration) -> bool {
        let tracked = self.machines.entry(machine.to_string()).or_default();
        let due = tracked.probed_at.is_none_or(|probed_at| now.saturating_sub(probed_at) >= interval);
        if due {
            tracked.probed_at = Some(now);
        }
        due
    }

    /// The counters of the newest known message of the machine, `(0, 0)` if there is none.
    pub fn newest_counters(&self, machine: &str) -> HeartbeatCounters {
        self.machines.get(machine).map_or((0, 0), |tracked| tracked.newest)
    }

    /// When the machine last sent a message to this controller that proves it alive.
    pub fn alive_at(&self, machine: &str) -> Option<Instant> {
        self.machines.get(machine)?.alive_at
    }

    /// All machines that are proved alive by a message to this controller, each with the time of
    /// the last such message and the newest counters.
    pub fn alive_machines(&self) -> impl Iterator<Item = (&str, Instant, HeartbeatCounters)> {
        self.machines
            .iter()
            .filter_map(|(machine, tracked)| Some((machine.as_str(), tracked.alive_at?, tracked.newest)))
    }

    /// Forgets messages that are older than `keep`. Forgets machines that have no record in the
    /// store and neither sent a message nor were probed within that time.
    pub fn prune(&mut self, now: Instant, keep: Duration, has_record: impl Fn(&str) -> bool) {
        let recent = |time: &Instant| now.saturating_sub(*time) < keep;
        self.machines.retain(|machine, tracked| {
            tracked.alive_at = tracked.alive_at.filter(recent);
            tracked.alive_at.is_some() || tracked.probed_at.as_ref().is_some_and(recent) || has_record(machine)
        });
    }
}

#[cfg(test)]
mod tests;
