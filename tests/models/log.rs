//! Model of the controllers' logs of task placements.
//!
//! Two controllers, one with two machines and one with a single machine, run one job of two
//! tasks. A leader reassigns the job's task range, transactions reach the store late,
//! answers are lost, and one controller restarts. The model stands for the controller's
//! journal and the replay in `ClusterState`.

#![warn(missing_docs)]

use finchquay_explorer::Model;

/// Conditions that fence writers. Each one can be disabled, to show that it is needed.
#[derive(Debug, Clone, Copy)]
pub struct Guards {
    /// The transaction of a segment is conditional on the version of the segment's slot.
    pub slot: bool,
    /// The transaction of a start is conditional on the version of the job's record.
    pub job: bool,
    /// Starts wait until the replica has reached the revision of the job's record.
    pub seen: bool,
    /// The transaction of a fact about a machine is conditional on the version of the owner's grant.
    pub grant: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards { slot: true, job: true, seen: true, grant: true }
    }
}

/// The log model with its guards and the bounds of the exploration.
pub struct Log {
    /// Conditions in force.
    pub guards: Guards,
    /// Number of tasks explored, at most `TASKS`.
    pub tasks: usize,
    /// Number of changes of the store explored.
    pub ledger: usize,
}

/// Tasks of the job.
const TASKS: usize = 2;
/// Machines of both controllers.
const MACHINES: usize = 3;
/// The controller that owns each machine.
const OWNER: [usize; MACHINES] = [0, 0, 1];
/// Attempts at each task, at most.
const MAX_ATTEMPTS: u8 = 2;
/// Transactions in flight at a time, at most.
const MAX_IN_FLIGHT: usize = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Fact {
    /// Task, attempt, machine.
    Start(u8, u8, u8),
    /// Task, attempt.
    Gone(u8, u8),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Entry {
    Segment {
        writer: u8,
        seq: u8,
        fact: Fact,
    },
    /// The job's lease is assigned to this controller.
    Lease(u8),
    /// The controller's machines are granted to its newest incarnation.
    Grant(u8),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Txn {
    writer: u8,
    incarnation: u8,
    seq: u8,
    fact: Fact,
    /// Revisions of the job's record and of the grant that the writer knows.
    job: u8,
    grant: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Controller {
    incarnation: u8,
    /// Number of ledger entries that the watch has delivered.
    seen: u8,
    /// Later entries that the controller knows from answers and not from the watch, one bit
    /// each: its own segments, and leases of which it was informed.
    ahead: u8,
    /// A transaction of this controller awaits its answer.
    waits: bool,
    /// The latest attempt at each task that this controller saw end and never starts again.
    ended: [u8; TASKS],
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
/// State of the store, the transactions in flight, both controllers and the tasks.
pub struct State {
    ledger: Vec<Entry>,
    in_flight: Vec<Txn>,
    controllers: [Controller; 2],
    /// The machines on which each task runs.
    runs: [[bool; MACHINES]; TASKS],
    restarted: bool,
}

/// The state that a controller derives from the entries it knows.
#[derive(Debug, Default)]
struct ClusterState {
    /// The machine where each task is placed, and its attempt.
    places: [Option<(u8, u8)>; TASKS],
    highest_attempt: [u8; TASKS],
    holder: u8,
    job: u8,
    grant: u8,
    seq: u8,
    granted: u8,
}

impl State {
    fn view(&self, c: usize) -> ClusterState {
        let me = &self.controllers[c];
        let known = |i: usize| i < me.seen as usize || me.ahead & 1 << i != 0;
        let mut v = ClusterState::default();
        for (i, e) in self.ledger.iter().enumerate().filter(|(i, _)| known(*i)) {
            let revision = i as u8 + 1;
            match *e {
                Entry::Lease(to) => (v.holder, v.job) = (to, revision),
                Entry::Grant(to) if to as usize == c => {
                    v.grant = revision;
                    v.granted += 1;
                }
                Entry::Grant(_) => {}
                Entry::Segment { writer, seq, fact } => {
                    if writer as usize == c {
                        v.seq = v.seq.max(seq);
                    }
                    match fact {
                        Fact::Start(t, a, m) => {
                            let t = t as usize;
                            v.highest_attempt[t] = v.highest_attempt[t].max(a);
                            if v.places[t].is_none_or(|p| p.1 < a) {
                                v.places[t] = Some((m, a));
                            }
                        }
                        Fact::Gone(t, a) => {
                            if v.places[t as usize].is_some_and(|p| p.1 == a) {
                                v.places[t as usize] = None;
                            }
                        }
                    }
                }
            }
        }
        v
    }

    /// The newest revision of an entry of this kind, or 0.
    fn newest(&self, which: impl Fn(&Entry) -> bool) -> u8 {
        self.ledger.iter().rposition(which).map_or(0, |i| i as u8 + 1)
    }

    /// Adds a transaction to those in flight, whose order is canonical.
    fn send(&mut self, txn: Txn) {
        self.in_flight.push(txn);
        self.in_flight.sort();
    }
}

impl Log {
    /// Whether the store commits the transaction.
    fn commits(&self, s: &State, t: &Txn) -> bool {
        let slot = |e: &Entry| matches!(e, Entry::Segment { writer, seq, .. } if (*writer, *seq) == (t.writer, t.seq));
        let starts = matches!(t.fact, Fact::Start(..));
        let job = s.newest(|e| matches!(e, Entry::Lease(_)));
        let grant = s.newest(|e| *e == Entry::Grant(t.writer));
        let g = &self.guards;
        !(g.slot && s.ledger.iter().any(slot) || g.job && starts && job != t.job || g.grant && grant != t.grant)
    }
}

impl Model for Log {
    type State = State;

    fn initial_state(&self) -> State {
        let seen = Controller { seen: 1, ..Controller::default() };
        State {
            ledger: vec![Entry::Lease(0)],
            in_flight: Vec::new(),
            controllers: [seen; 2],
            runs: [[false; MACHINES]; TASKS],
            restarted: false,
        }
    }

    fn successors(&self, s: &State, out: &mut Vec<(String, State)>) {
        let full = s.ledger.len() >= self.ledger;
        for c in 0..2 {
            let me = s.controllers[c];
            let v = s.view(c);
            if (me.seen as usize) < s.ledger.len() {
                let mut n = s.clone();
                let me = &mut n.controllers[c];
                me.seen += 1;
                me.ahead &= !(1 << (me.seen - 1));
                out.push((format!("the watch of {c} delivers an entry"), n));
            }
            // A controller acts only under the grant of its own incarnation.
            if v.granted < me.incarnation {
                continue;
            }
            for t in 0..self.tasks {
                let here = v.places[t].filter(|p| OWNER[p.0 as usize] == c);
                if let Some((m, a)) = here {
                    let m = m as usize;
                    if !s.runs[t][m] && me.ended[t] < a {
                        let mut n = s.clone();
                        n.runs[t][m] = true;
                        out.push((format!("{t} runs on {m}"), n));
                    }
                    if s.runs[t][m] {
                        let mut n = s.clone();
                        n.runs[t][m] = false;
                        n.controllers[c].ended[t] = a;
                        out.push((format!("{t} ends on {m}"), n));
                    }
                }
                let seen = !self.guards.seen || v.job <= me.seen;
                let start =
                    v.holder as usize == c && v.places[t].is_none() && v.highest_attempt[t] < MAX_ATTEMPTS && seen;
                let gone = here.filter(|p| me.ended[t] >= p.1).map(|p| Fact::Gone(t as u8, p.1));
                let on = (0..MACHINES).filter(|m| start && OWNER[*m] == c);
                let starts = on.map(|m| Fact::Start(t as u8, v.highest_attempt[t] + 1, m as u8));
                for fact in starts.chain(gone).filter(|_| !me.waits && s.in_flight.len() < MAX_IN_FLIGHT) {
                    let mut n = s.clone();
                    n.controllers[c].waits = true;
                    let (job, grant) = (v.job, v.grant);
                    n.send(Txn { writer: c as u8, incarnation: me.incarnation, seq: v.seq + 1, fact, job, grant });
                    out.push((format!("{c} writes {fact:?}"), n));
                }
            }
            if me.waits {
                let mut n = s.clone();
                n.controllers[c].waits = false;
                out.push((format!("{c} gives up waiting"), n));
            }
        }
        for (i, t) in s.in_flight.iter().enumerate() {
            let c = t.writer as usize;
            let done = self.commits(s, t) && !full;
            for answered in [false, true] {
                let mut n = s.clone();
                n.in_flight.remove(i);
                if done {
                    n.ledger.push(Entry::Segment { writer: t.writer, seq: t.seq, fact: t.fact });
                }
                let me = &mut n.controllers[c];
                // The answer to an abandoned request is ignored.
                if answered && me.waits && me.incarnation == t.incarnation {
                    me.waits = false;
                    if done {
                        me.ahead |= 1 << (n.ledger.len() - 1);
                    }
                }
                out.push((format!("{t:?} arrives, answered {answered}"), n));
            }
        }
        if !full {
            // The leader reassigns the lease; the new holder may be informed ahead of its watch.
            let to = 1 - s.complete_view().holder;
            for informed in [false, true] {
                let mut n = s.clone();
                n.ledger.push(Entry::Lease(to));
                if informed {
                    n.controllers[to as usize].ahead |= 1 << (n.ledger.len() - 1);
                }
                out.push((format!("lease to {to}, informed {informed}"), n));
            }
        }
        if !s.restarted {
            for c in 0..2 {
                let mut n = s.clone();
                n.restarted = true;
                let seen = n.ledger.len() as u8;
                n.controllers[c] = Controller { incarnation: 1, seen, ..Controller::default() };
                out.push((format!("{c} restarts"), n));
            }
        } else if !full {
            for c in 0..2u8 {
                let granted = s.ledger.contains(&Entry::Grant(c));
                if s.controllers[c as usize].incarnation == 1 && !granted {
                    let mut n = s.clone();
                    n.ledger.push(Entry::Grant(c));
                    out.push((format!("{c} is granted its machines again"), n));
                }
            }
        }
    }

    fn check_invariants(&self, s: &State) -> Result<(), String> {
        let twice = (0..TASKS).find(|t| s.runs[*t].iter().filter(|r| **r).count() > 1);
        twice.map_or(Ok(()), |t| Err(format!("task {t} runs on two machines")))
    }
}

impl State {
    /// The state derived from all entries of the ledger.
    fn complete_view(&self) -> ClusterState {
        let mut all = self.clone();
        all.controllers[0].seen = self.ledger.len() as u8;
        all.view(0)
    }
}
