//! Two processes that each take themselves for the leader, replicas that lag, writes that
//! come late and in any order, crashes, and an owner that stops what has a disruption permit: two
//! replicas of a team, each on a machine of the batch, and a budget of one. The step is
//! the real one (`maintenance::campaign::next`); the rest stands for the controller's maintenance component.

use finchquay::maintenance::budget::{DisruptionBudget, TeamReplicas};
use finchquay::maintenance::campaign::{Campaign, Candidate, DisruptionPermit, MaintenanceRecord, next_step};
use finchquay_explorer::Model;
use std::collections::BTreeMap;

/// What the accounting rests on; each can be taken away.
#[derive(Debug, Clone, Copy)]
pub struct Rests {
    /// The record is written on its version.
    pub version: bool,
    /// A replica with a permit counts as away.
    pub counted: bool,
    /// A permit comes back only once its replica has had the time to run.
    pub settled: bool,
}

impl Default for Rests {
    fn default() -> Rests {
        Rests { version: true, counted: true, settled: true }
    }
}

pub struct Maintenance {
    pub rests: Rests,
}

const REPLICAS: usize = 2;
/// Writes under way at a time.
const FLYING: usize = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Placed {
    Old,
    Nowhere,
    New,
}

/// The store, or what somebody saw of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Stored {
    version: u8,
    permits: [bool; REPLICAS],
    placed: [Placed; REPLICAS],
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    stored: Stored,
    leaders: [Option<Stored>; 2],
    /// What the owner of the machines saw last.
    owner: Stored,
    /// Writes of permits: on which version, and what.
    flying: Vec<(u8, [bool; REPLICAS])>,
    runs: [bool; REPLICAS],
}

fn permit(i: usize) -> DisruptionPermit {
    DisruptionPermit { job: "run-1".into(), index: i as u32, attempt: 1, machine: format!("m{i}") }
}

impl Maintenance {
    /// The permits that a leader with this view wants written.
    fn decides(&self, view: &Stored, runs: &[bool; REPLICAS]) -> [bool; REPLICAS] {
        let mut permits = view.permits;
        for i in 0..REPLICAS {
            // The time that a start takes stands for its having run.
            let back = view.placed[i] == Placed::New && (runs[i] || !self.rests.settled);
            permits[i] &= !back;
        }
        let away = (0..REPLICAS).filter(|i| view.placed[*i] == Placed::Nowhere || self.rests.counted && permits[*i]);
        let standing = TeamReplicas { wanted: REPLICAS as u32, away: away.count() as u32 };
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
        let teams = BTreeMap::from([("t".to_string(), standing)]);
        let step = next_step(
            &rec,
            &Campaign::default(),
            &left,
            &teams,
            |_| DisruptionBudget { max_away: 1, max_away_share: 0.0 },
            REPLICAS,
        );
        for t in step.permits {
            permits[t.index as usize] = true;
        }
        permits
    }
}

impl Model for Maintenance {
    type State = State;

    fn start(&self) -> State {
        let stored = Stored { version: 0, permits: [false; REPLICAS], placed: [Placed::Old; REPLICAS] };
        State { stored, leaders: [None; 2], owner: stored, flying: Vec::new(), runs: [true; REPLICAS] }
    }

    fn next(&self, s: &State, out: &mut Vec<(String, State)>) {
        for (p, leader) in s.leaders.iter().enumerate() {
            if *leader != Some(s.stored) {
                let mut n = s.clone();
                n.leaders[p] = Some(s.stored);
                out.push((format!("leader {p} sees the store"), n));
            }
            let Some(view) = leader else { continue };
            let mut n = s.clone();
            n.leaders[p] = None;
            out.push((format!("leader {p} ends"), n));
            let wants = self.decides(view, &s.runs);
            let write = (view.version, wants);
            if wants != view.permits && s.flying.len() < FLYING && !s.flying.contains(&write) {
                let mut n = s.clone();
                n.flying.push(write);
                n.flying.sort_unstable();
                out.push((format!("leader {p} writes {wants:?}"), n));
            }
        }
        for k in 0..s.flying.len() {
            let mut n = s.clone();
            let (version, permits) = n.flying.remove(k);
            if version == s.stored.version || !self.rests.version {
                // A replica moves once here, so versions stay few.
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

    fn check(&self, s: &State) -> Result<(), String> {
        if s.stored.version > 8 {
            return Err("tickets are written for ever".into());
        }
        match s.runs.iter().filter(|r| !**r).count() {
            0 | 1 => Ok(()),
            n => Err(format!("{n} replicas are away on a budget of one")),
        }
    }
}
