//! Faults: the settings of those that are drawn at random, and those that a test causes itself.

use super::events::WorldEvent;
use super::{CloseQueries, World};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The probability of a delay, and the range it is drawn from, in seconds.
pub type Delay = (f64, (f64, f64));

/// The faults that are drawn while a world runs; none by default.
#[derive(Debug)]
pub struct Faults {
    /// Seconds from the end of a process to its restart.
    pub restart_s: f64,
    /// Where set, restarts take a time drawn from this, in seconds, instead.
    pub restart_range_s: Option<(f64, f64)>,
    /// Until then a process may crash in the middle of an exchange with the store: after a
    /// transaction, a snapshot read, a watch or a barrier went out and before or after its answer.
    pub crashes_in_exchanges_until: Duration,
    /// No peer heartbeat passes from the first to the second.
    pub peers_cut: BTreeSet<(usize, usize)>,
    /// Heartbeats that are delivered once more, later, to any controller.
    pub duplicated_heartbeats: Option<Delay>,
    /// Transactions that get no answer, and are carried out later, after newer ones.
    pub late_transactions: Option<Delay>,
    /// Pushed commands that are delayed and then carried out; their answers are lost.
    pub late_commands: Option<Delay>,
    /// Transactions that are carried out at once, and whose answer comes late; after the
    /// controller's time-out, not at all.
    pub late_answers: Option<Delay>,
    /// Answers to watches that are delayed; they say how things stood when they were sent.
    pub late_watches: Option<Delay>,
    /// All messages take longer by a time drawn from this range, in seconds.
    pub slow_links: Option<(f64, f64)>,
    /// Seconds for which transactions are on their way to the store.
    pub transaction_delay_s: f64,
    /// The probability that a heartbeat is kept, and delivered to every controller once more as
    /// soon as another leader begins.
    pub duplicates_for_next_leader: Option<f64>,
    /// The next heartbeat of each of these machines is held, the call itself and no copy,
    /// until another leader has begun and up to so many seconds more.
    pub heartbeats_held_for_next_leader: BTreeMap<String, f64>,
    /// The probability that a job is cancelled at the moment at which its last task ends.
    pub cancel_at_last_end: Option<f64>,
    /// Invalid requests that come each second.
    pub invalid_requests_per_s: f64,
    /// Peer heartbeats that come late, after newer ones.
    pub late_heartbeats: Option<Delay>,
    /// What users ask of all controllers at once right after they were told something.
    pub close_queries: Option<CloseQueries>,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            restart_s: 3.0,
            restart_range_s: None,
            crashes_in_exchanges_until: Duration::ZERO,
            peers_cut: BTreeSet::new(),
            duplicated_heartbeats: None,
            late_transactions: None,
            late_commands: None,
            late_answers: None,
            late_watches: None,
            slow_links: None,
            transaction_delay_s: 0.0,
            duplicates_for_next_leader: None,
            heartbeats_held_for_next_leader: BTreeMap::new(),
            cancel_at_last_end: None,
            invalid_requests_per_s: 0.0,
            late_heartbeats: None,
            close_queries: None,
        }
    }
}

impl World {
    /// The controller loses the store and the other controllers, or has them
    /// back.
    pub fn isolate(&mut self, node: usize, alone: bool) {
        for other in (0..self.nodes.len()).filter(|o| *o != node) {
            for link in [(node, other), (other, node)] {
                if alone {
                    self.faults.peers_cut.insert(link);
                } else {
                    self.faults.peers_cut.remove(&link);
                }
            }
        }
        if alone {
            self.nodes[node].store_cut = true;
        } else {
            self.reconnect_store(node);
        }
    }

    /// Ends a cut between a controller and the store: what it wrote comes late.
    pub fn reconnect_store(&mut self, node: usize) {
        self.nodes[node].store_cut = false;
        for body in std::mem::take(&mut self.nodes[node].held) {
            self.store.apply(self.now, &body);
        }
    }

    /// Cuts an agent off, or ends the cut and delivers what was held back.
    pub fn cut_worker(&mut self, name: &str, cut: bool) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else { return };
        w.cut = cut;
        if !cut {
            w.back_at = Some(now);
            self.deliver(name);
        }
    }

    /// The machine executes nothing and holds what it is told, or goes on: its lease ran
    /// out meanwhile or did not, its tasks are where they were.
    pub fn hang(&mut self, name: &str, hangs: bool) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else { return };
        if hangs {
            w.hangs = w.hangs.or(Some(now));
            return;
        }
        let Some(since) = w.hangs.take() else { return };
        w.resume(now.saturating_sub(since));
        w.advance(now);
        w.back_at = Some(now);
        self.deliver(name);
    }

    /// What was held back comes to the agent.
    pub(super) fn deliver(&mut self, name: &str) {
        let now = self.now;
        let held = self.workers.get_mut(name).map(|w| std::mem::take(&mut w.held)).unwrap_or_default();
        for body in held {
            let w = self.workers.get_mut(name).unwrap();
            let (_, _, started) = w.pushed(&body, now);
            self.check_starts(name, started);
        }
    }

    /// A report of long ago comes to a controller.
    pub fn send_duplicate(&mut self, node: usize, body: Vec<u8>) {
        self.at(0.0, WorldEvent::DuplicateHeartbeat(node, body));
    }

    /// Another leader begins: what was kept for it comes to every controller, and a part
    /// is kept on for those after it.
    pub(super) fn deliver_to_next_leader(&mut self) {
        let term = self.store.term();
        if term <= self.delivered_for_term {
            return;
        }
        self.delivered_for_term = term;
        for (conn, node, body, within) in std::mem::take(&mut self.held_heartbeats) {
            let after = self.rng.random_range(0.0..within);
            self.at(after, WorldEvent::Run(Box::new(move |w| w.deliver_held(conn, node, body))));
        }
        for body in std::mem::take(&mut self.kept_heartbeats) {
            self.counters.duplicates_for_next_leader += 1;
            for node in 0..self.nodes.len() {
                let lag = self.lag();
                self.at(lag, WorldEvent::DuplicateHeartbeat(node, body.clone()));
            }
            if self.rng.random_bool(0.3) {
                self.kept_heartbeats.push(body);
            }
        }
    }

    /// A call that was held back comes, to a machine that still waits for its answer or
    /// gave it up.
    pub(super) fn deliver_held(&mut self, conn: u64, node: usize, body: Vec<u8>) {
        if self.pending.contains_key(&conn) {
            self.counters.held_heartbeats.0 += 1;
            self.at(0.0, WorldEvent::Request(node, conn));
        } else {
            self.counters.held_heartbeats.1 += 1;
            self.send_duplicate(node, body);
        }
    }
}
