//! Model of disruption permits during a maintenance campaign.
//!
//! Two processes both take themselves for the leader. Their views of the store lag, their
//! writes arrive late and in any order, and they crash; an owner stops replicas that have a
//! disruption permit. A team has two replicas, each on a machine of the wave, and a budget of
//! one. The step function is the real one (`maintenance::campaign::next_step`); the rest
//! stands for the controller's maintenance component.

#![warn(missing_docs)]

use finchquay::maintenance::budget::{DisruptionBudget, TeamReplicas};
use finchquay::maintenance::campaign::{
    Campaign, Candidate, DisruptionPermit, MaintenanceRecord, StepLimits, next_step,
};
use finchquay_explorer::Model;
use std::collections::BTreeMap;

/// Conditions that the accounting of permits depends on. Each one can be disabled, to show that it is needed.
#[derive(Debug, Clone, Copy)]
pub struct Guards {
    /// The write of the maintenance record is conditional on the version of the record.
    pub version: bool,
    /// A replica with a permit counts as away.
    pub counted: bool,
    /// A permit is returned only once its replica has had the time to start running.
    pub settled: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards { version: true, counted: true, settled: true }
    }
}

/// The maintenance model with the conditions that are in force.
pub struct Maintenance {
    /// Conditions in force.
    pub guards: Guards,
}

/// Replicas of the team.
const REPLICAS: usize = 2;
/// Writes in flight at a time, at most.
const MAX_IN_FLIGHT: usize = 2;

/// Where a replica is placed: on its original machine, on none, or on a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Placed {
    Old,
    Nowhere,
    New,
}

/// The contents of the store, or a view of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Stored {
    version: u8,
    permits: [bool; REPLICAS],
    placed: [Placed; REPLICAS],
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
/// State of the store, both leaders, the owner, the writes in flight and the replicas.
pub struct State {
    stored: Stored,
    leaders: [Option<Stored>; 2],
    /// The view of the owner of the machines.
    owner: Stored,
    /// Writes in flight: the version that each is conditional on, and the permits.
    in_flight: Vec<(u8, [bool; REPLICAS])>,
    runs: [bool; REPLICAS],
}

fn permit(i: usize) -> DisruptionPermit {
    DisruptionPermit { job: "run-1".into(), index: i as u32, attempt: 1, machine: format!("m{i}") }
}

impl Maintenance {
    /// The permits that a leader with this view writes.
    fn decides(&self, view: &Stored, runs: &[bool; REPLICAS]) -> [bool; REPLICAS] {
        let mut permits = view.permits;
        for i in 0..REPLICAS {
            // A running replica stands for one whose start has had enough time.
            let back = view.placed[i] == Placed::New && (runs[i] || !self.guards.settled);
            permits[i] &= !back;
        }
        let away = (0..REPLICAS).filter(|i| view.placed[*i] == Placed::Nowhere || self.guards.counted && permits[*i]);
        let team = TeamReplicas { wanted: REPLICAS as u32, away: away.count() as u32 };
        let left: Vec<Candidate> = (0..REPLICAS)
            .filter(|i| view.placed[*i] == Placed::Old)
            .map(|i| Candidate {
                name: format!("m{i}"),
                replicas: vec![(permit(i), "t".into())],
                heard: true,
                ..Candidate::default()
            })
            .collect();
        let rec = MaintenanceRecord {
            wave: left.iter().map(|c| c.name.clone()).collect(),
            permits: (0..REPLICAS).filter(|i| permits[*i]).map(permit).collect(),
            ..MaintenanceRecord::default()
        };
        let teams = BTreeMap::from([("t".to_string(), team)]);
        let step = next_step(
            &rec,
            &Campaign::default(),
            &left,
            &teams,
            |_| DisruptionBudget { max_away: 1, max_away_share: 0.0 },
            StepLimits { wave_machines: left.len(), new_permits: REPLICAS, permits: REPLICAS },
        );
        for t in step.permits {
            permits[t.index as usize] = true;
        }
        permits
    }
}

impl Model for Maintenance {
    type State = State;

    fn initial_state(&self) -> State {
        let stored = Stored { version: 0, permits: [false; REPLICAS], placed: [Placed::Old; REPLICAS] };
        State { stored, leaders: [None; 2], owner: stored, in_flight: Vec::new(), runs: [true; REPLICAS] }
    }

    fn successors(&self, s: &State, out: &mut Vec<(String, State)>) {
        for (p, leader) in s.leaders.iter().enumerate() {
            if *leader != Some(s.stored) {
                let mut n = s.clone();
                n.leaders[p] = Some(s.stored);
                out.push((format!("leader {p} sees the store"), n));
            }
            let Some(view) = leader else { continue };
            let mut n = s.clone();
            n.leaders[p] = None;
            out.push((format!("leader {p} crashes"), n));
            let permits = self.decides(view, &s.runs);
            let write = (view.version, permits);
            if permits != view.permits && s.in_flight.len() < MAX_IN_FLIGHT && !s.in_flight.contains(&write) {
                let mut n = s.clone();
                n.in_flight.push(write);
                n.in_flight.sort_unstable();
                out.push((format!("leader {p} writes {permits:?}"), n));
            }
        }
        for k in 0..s.in_flight.len() {
            let mut n = s.clone();
            let (version, permits) = n.in_flight.remove(k);
            if version == s.stored.version || !self.guards.version {
                // A replica moves only once in this model, so there are few versions.
                n.stored.version += 1;
                n.stored.permits = permits;
            }
            out.push(("a write arrives".into(), n));
        }
        if s.owner != s.stored {
            let mut n = s.clone();
            n.owner = s.stored;
            out.push(("the owner sees the store".into(), n));
        }
        for i in 0..REPLICAS {
            let mut n = s.clone();
            match s.stored.placed[i] {
                Placed::Old if s.runs[i] && s.owner.permits[i] && s.owner.placed[i] == Placed::Old => {
                    n.runs[i] = false;
                    out.push((format!("replica {i} is stopped"), n));
                }
                Placed::Old if !s.runs[i] => {
                    n.stored.placed[i] = Placed::Nowhere;
                    out.push((format!("replica {i} is proved gone"), n));
                }
                Placed::Nowhere => {
                    n.stored.placed[i] = Placed::New;
                    out.push((format!("replica {i} is placed"), n));
                }
                Placed::New if !s.runs[i] => {
                    n.runs[i] = true;
                    out.push((format!("replica {i} runs again"), n));
                }
                _ => {}
            }
        }
    }

    fn check_invariants(&self, s: &State) -> Result<(), String> {
        if s.stored.version > 8 {
            return Err("permits are written without end".into());
        }
        match s.runs.iter().filter(|r| !**r).count() {
            0 | 1 => Ok(()),
            n => Err(format!("{n} replicas are away on a budget of one")),
        }
    }
}
