//! A whole small deployment on a fake clock: a few controllers (the real
//! logic), and stand-ins for the store, the cloud, agents and users.
//! Every step checks the rules; a broken one panics with the seed.

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
pub use settings::{CANCEL_S, GANG_PEER_S, GANG_WAIT_S, LEASE_S, REPORT_S, SMALL, Size};
use std::collections::BTreeMap;
use std::time::Duration;
use store::Store;
pub use users::CloseQueries;
use worker::Worker;

/// Seconds as a duration.
pub fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

/// A cluster on a fake clock, with all that it has around it.
pub struct World {
    size: Size,
    pub now: Duration,
    pub rng: StdRng,
    pub seed: u64,
    /// What the controllers emit, where it is compared with what they emitted before.
    recorder: Recorder,
    /// Events by time, and by the order in which they were scheduled.
    queue: BTreeMap<(Duration, u64), WorldEvent>,
    next_event: u64,
    pub nodes: Vec<Node>,
    pub store: Store,
    pub cloud: Cloud,
    pub workers: BTreeMap<String, Worker>,
    pub jobs: BTreeMap<String, Job>,
    pending: BTreeMap<u64, Pending>,
    next_conn: u64,
    /// When each controller's process started: its clock begins there.
    started_at: BTreeMap<usize, Duration>,
    /// The operator's file, read by each process as it starts.
    pub operator: Operator,
    /// Faults that are drawn.
    pub faults: Faults,
    /// What was counted so far.
    pub counters: Counters,
    /// Heartbeats to be delivered once more as the next term begins.
    kept_heartbeats: Vec<Vec<u8>>,
    /// Calls that are held until the next term: connection, controller, body, and for how long
    /// after its beginning at most.
    held_heartbeats: Vec<(u64, usize, Vec<u8>, f64)>,
    /// The term at whose beginning the kept heartbeats were last delivered.
    delivered_for_term: u64,
    /// Since when all faults are over: then no job waits beside free capacity.
    pub calm_since: Option<Duration>,
    /// The last answers to queries of the test's own, by job and controller.
    pub asked: BTreeMap<(String, usize), u16>,
}

impl World {
    /// Three controllers and `machines` machines that are up.
    pub fn new(seed: u64, machines: u32) -> World {
        World::sized(seed, Size { controllers: 3, machines, write_rps: 80.0, txn_ops: 32, team_max: 8.0, ..SMALL })
    }

    /// A world of the given size; the same seed gives the same events.
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
            calm_since: None,
            asked: BTreeMap::new(),
        };
        for i in 0..size.controllers {
            w.nodes.push(Node {
                logic: None,
                life: 0,
                refused: false,
                deaf: false,
                store_cut: false,
                answers_lost: false,
                served: 0,
                held: Vec::new(),
                waits: None,
            });
            w.boot(i);
        }
        w.cloud.zones = size.zones.to_vec();
        w.at(0.0, WorldEvent::Advance);
        for i in 0..size.machines {
            let zone = size.zones[i as usize % size.zones.len()];
            let name = w.cloud.create(Duration::ZERO, "std", zone, false);
            w.add_worker(&name);
        }
        w
    }

    /// A user submits the job now.
    pub fn submit(&mut self, uid: &str, job: Job) {
        self.jobs.insert(uid.to_string(), job);
        self.at(0.0, WorldEvent::User(uid.to_string()));
    }
}
