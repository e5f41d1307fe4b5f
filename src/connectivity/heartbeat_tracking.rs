//! The newest message of every machine, as received by this controller or told by the
//! heartbeats of the others, and so whether a heartbeat is new or may be a delayed copy.
//!
//! A network that duplicates or delays packets delivers heartbeats from seconds to well
//! over a lease late. Such a copy makes a dead machine look alive. It is recognized by
//! `(agent epoch, heartbeat sequence)`, which grow with every message of a worker:
//!
//! - above the newest known, the message is new;
//! - where nothing is known yet, it may be a copy: it is answered, but the machine does
//!   not count as alive until the worker sends another one;
//! - else it is a copy, or the machine was lost and restarted with new counters. Only
//!   the worker's own answer to a probe tells those two apart.

use crate::effects::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// Agent epoch and heartbeat sequence number of a worker's message, in this order.
pub type At = (u64, u64);

/// How a message compares with the newest one known of its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Newer.
    New,
    /// Nothing was known of the machine.
    First,
    /// Not newer: a delayed copy, or the machine restarted with new counters.
    Old,
}

/// What is known of one machine.
#[derive(Debug, Default)]
struct TrackedMachine {
    /// Its newest message.
    at: At,
    /// When it last sent a message to this controller that proves it alive.
    heard: Option<Instant>,
    /// When it is known to have restarted: what others received before is void.
    restarted: Option<Instant>,
    /// When it was last probed to tell a delayed copy from a restart.
    probed: Option<Instant>,
}

/// The newest message of every machine that is known here.
#[derive(Debug, Default)]
pub struct HeartbeatTracker {
    machines: BTreeMap<String, TrackedMachine>,
}

impl HeartbeatTracker {
    /// Records a heartbeat that was received here, and tells how new it is.
    pub fn report(&mut self, machine: &str, at: At, now: Instant) -> Freshness {
        let Some(tracked) = self.machines.get_mut(machine) else {
            self.machines.insert(machine.to_string(), TrackedMachine { at, ..TrackedMachine::default() });
            return Freshness::First;
        };
        if at <= tracked.at {
            return Freshness::Old;
        }
        tracked.at = at;
        tracked.heard = Some(now);
        Freshness::New
    }

    /// The machine is proved alive: it presented our fencing token, or answered a probe.
    pub fn proved(&mut self, machine: &str, at: At, now: Instant) {
        let tracked = self.machines.entry(machine.to_string()).or_default();
        tracked.at = tracked.at.max(at);
        tracked.heard = Some(now);
    }

    /// The machine restarted: it answered our probe with counters below those that were
    /// known when the probe was sent.
    pub fn agent_restarted(&mut self, machine: &str, at: At, now: Instant) {
        let tracked = self.machines.entry(machine.to_string()).or_default();
        *tracked = TrackedMachine { at, heard: Some(now), restarted: Some(now), probed: tracked.probed };
    }

    /// Another controller received this message of the machine at `when`.
    pub fn heard_elsewhere(&mut self, machine: &str, at: At, when: Instant) {
        let tracked = self.machines.entry(machine.to_string()).or_default();
        if tracked.restarted.is_none_or(|restarted| when > restarted) {
            tracked.at = tracked.at.max(at);
        }
    }

    /// Whether the machine may be probed now, once in `every`; records that it is.
    pub fn may_call(&mut self, machine: &str, now: Instant, every: Duration) -> bool {
        let tracked = self.machines.entry(machine.to_string()).or_default();
        let due = tracked.probed.is_none_or(|probed| now.saturating_sub(probed) >= every);
        if due {
            tracked.probed = Some(now);
        }
        due
    }

    /// The newest message that is known of the machine, `(0, 0)` if none is.
    pub fn newest(&self, machine: &str) -> At {
        self.machines.get(machine).map_or((0, 0), |tracked| tracked.at)
    }

    /// When the machine last sent a message to this controller that proves it alive.
    pub fn heard(&self, machine: &str) -> Option<Instant> {
        self.machines.get(machine)?.heard
    }

    /// All machines that are proved alive by a message to this controller, with the time
    /// of the last one and the newest counters.
    pub fn all(&self) -> impl Iterator<Item = (&str, Instant, At)> {
        self.machines.iter().filter_map(|(machine, tracked)| Some((machine.as_str(), tracked.heard?, tracked.at)))
    }

    /// Forgets messages that are older than `keep`, and machines that neither have a
    /// record in the store nor sent a message or were probed since.
    pub fn prune(&mut self, now: Instant, keep: Duration, recorded: impl Fn(&str) -> bool) {
        let recent = |time: &Instant| now.saturating_sub(*time) < keep;
        self.machines.retain(|machine, tracked| {
            tracked.heard = tracked.heard.filter(recent);
            tracked.heard.is_some() || tracked.probed.as_ref().is_some_and(recent) || recorded(machine)
        });
    }
}

#[cfg(test)]
mod tests;
