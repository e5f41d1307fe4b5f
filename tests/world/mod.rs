//! Simulation of a small deployment on a fake clock: a few controllers, which run the real
//! controller code, and stand-ins for the store, the cloud, agents and users. The rules are
//! checked at every step; a violation panics with the seed.

#![warn(missing_docs)]

mod bodies;
mod capacity;
mod cbor;
mod checks;
pub mod cloud;
mod counters;
pub mod digest;
mod events;
mod faults;
pub mod helpers;
mod jobs;
mod machines;
mod network;
mod nodes;
mod settings;
pub mod store;
mod users;
pub mod worker;

pub use cbor::{bytes, get, number, text, value};
use cloud::Cloud;
use counters::Counters;
use digest::Recorder;
use events::{Pending, WorldEvent};
use faults::Faults;
use finchquay::config::Operator;
pub use jobs::{Job, array, gang, service};
use nodes::Node;
use rand::SeedableRng;
use rand::rngs::StdRng;
pub use settings::{CANCEL_S, GANG_PEER_S, GANG_WAIT_S, LEASE_S, MACHINE_CPUS, MACHINE_GPUS, REPORT_S, SMALL, Size};
use std::collections::BTreeMap;
use std::time::Duration;
use store::Store;
pub use users::CloseQueries;
use worker::Worker;

/// Converts seconds to a duration.
pub fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

/// A cluster on a fake clock, together with the store, the cloud, agents and users.
pub struct World {
    size: Size,
    /// The simulated time since the beginning.
    pub now: Duration,
    /// The source of all random decisions.
    pub rng: StdRng,
    /// The seed of `rng`.
    pub seed: u64,
    /// Digests of what the controllers emit, recorded for the pinned scenarios only.
    recorder: Recorder,
    /// Events by time and, at the same time, by the order in which they were scheduled.
    queue: BTreeMap<(Duration, u64), WorldEvent>,
    next_event: u64,
    /// The controllers, in the order of their member names.
    pub nodes: Vec<Node>,
    /// The store that the controllers share.
    pub store: Store,
    /// The cloud from which machines are rented.
    pub cloud: Cloud,
    /// The agents of the machines that are up, by machine name.
    pub workers: BTreeMap<String, Worker>,
    /// The submitted jobs, by uid.
    pub jobs: BTreeMap<String, Job>,
    /// Requests to controllers that have no answer yet, by connection.
    pending: BTreeMap<u64, Pending>,
    next_conn: u64,
    /// When each controller's process started, which is where its clock begins.
    started_at: BTreeMap<usize, Duration>,
    /// The operator's settings, which each process reads as it starts.
    pub operator: Operator,
    /// The faults that are drawn at random.
    pub faults: Faults,
    /// What has been counted so far.
    pub counters: Counters,
    /// Copies of heartbeats that are delivered when the next term begins.
    kept_heartbeats: Vec<Vec<u8>>,
    /// Heartbeats that are held until the next term: connection, controller, body, and for how
    /// many seconds after the beginning of the term at most.
    held_heartbeats: Vec<(u64, usize, Vec<u8>, f64)>,
    /// The term for which kept and held heartbeats were last delivered.
    delivered_for_term: u64,
    /// The time at which the last fault ended, from which the capacity rule holds.
    pub faults_ended_at: Option<Duration>,
    /// The status of the last answer to a query by `ask`, by job and controller; 0 if there is
    /// none.
    pub asked: BTreeMap<(String, usize), u16>,
    /// The job's status in that answer; empty if it has none.
    pub told: BTreeMap<(String, usize), String>,
}

impl World {
    /// Creates a world of three controllers and `machines` machines that are up.
    pub fn new(seed: u64, machines: u32) -> World {
        World::sized(seed, Size { controllers: 3, machines, write_rps: 80.0, txn_ops: 32, team_max: 8.0, ..SMALL })
    }

    /// Creates a world of the given size. The same seed gives the same events.
    pub fn sized(seed: u64, size: Size) -> World {
        let mut w = World {
            size,
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            seed,
            recorder: Recorder::new(seed),
            queue: BTreeMap::new(),
            next_event: 0,
            nodes: Vec::new(),
            store: Store::new(size.write_rps, size.txn_ops),
            cloud: Cloud::default(),
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            pending: BTreeMap::new(),
            next_conn: 1,
            started_at: BTreeMap::new(),
            operator: Operator::default(),
            faults: Faults::default(),
            counters: Counters::default(),
            kept_heartbeats: Vec::new(),
            held_heartbeats: Vec::new(),
            delivered_for_term: 0,
            faults_ended_at: None,
            asked: BTreeMap::new(),
            told: BTreeMap::new(),
        };
        for i in 0..size.controllers {
            w.nodes.push(Node {
                controller: None,
                process_epoch: 0,
                refused: false,
                deaf: false,
                store_cut: false,
                answers_lost: false,
                served: 0,
                held_transactions: Vec::new(),
                paused_events: None,
            });
            w.start_controller(i);
        }
        w.cloud.zones = size.zones.to_vec();
        w.schedule_after(0.0, WorldEvent::Advance);
        for i in 0..size.machines {
            let zone = size.zones[i as usize % size.zones.len()];
            let name = w.cloud.create(Duration::ZERO, "std", zone, false);
            w.add_worker(&name);
        }
        w
    }

    /// Lets a user submit a job now.
    pub fn submit(&mut self, uid: &str, job: Job) {
        self.jobs.insert(uid.to_string(), job);
        self.schedule_after(0.0, WorldEvent::User(uid.to_string()));
    }
}
