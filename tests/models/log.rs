//! Two controllers, one with two machines and one with one, one job of two tasks, a leader that reassigns
//! the job's task range, the store, transactions that come late, answers that are lost,
//! a restart. Stands for the controller's journal and `ClusterState`'s replay.

use finchquay_explorer::Model;

/// Conditions that can be taken away.
#[derive(Debug, Clone, Copy)]
pub struct Guards {
    /// A segment names its slot's version.
    pub slot: bool,
    /// A start names the job's record.
    pub job: bool,
    /// Starts wait until the replica has come to the job's record.
    pub seen: bool,
    /// Facts about a machine name its owner's grant.
    pub grant: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards { slot: true, job: true, seen: true, grant: true }
    }
}

pub struct Log {
    pub guards: Guards,
    /// How far the exploration goes: tasks, and changes of the store.
    pub tasks: usize,
    pub ledger: usize,
}

const TASKS: usize = 2;
const MACHINES: usize = 3;
/// Whose each machine is.
const OWNER: [usize; MACHINES] = [0, 0, 1];
const TRIES: u8 = 2;
const FLYING: usize = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Fact {
    /// Task, attempt, machine.
    Start(u8, u8, u8),
    Gone(u8, u8),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Entry {
    Segment {
        writer: u8,
        seq: u8,
        fact: Fact,
    },
    /// The job's lease goes to this controller.
    Lease(u8),
    /// The controller's machine is granted to its newest incarnation.
    Grant(u8),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Txn {
    writer: u8,
    life: u8,
    seq: u8,
    fact: Fact,
    /// Revisions of the job's record and of the grant as the writer knows them.
    job: u8,
    grant: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Controller {
    life: u8,
    /// The ledger is known up to here.
    seen: u8,
    /// Entries further on that it knows by answers and not by the watch: its own
    /// segments, and leases that it was told of. A bit each.
    ahead: u8,
    waits: bool,
    /// Attempts of the two tasks that it saw end, and that it never orders again.
    ended: [u8; TASKS],
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    ledger: Vec<Entry>,
    flying: Vec<Txn>,
    controllers: [Controller; 2],
    /// On which machines each task runs.
    runs: [[bool; MACHINES]; TASKS],
    restarted: bool,
}

/// What a controller's view comes to.
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

    /// The newest revisions of the job's record and of a grant.
    fn newest(&self, which: impl Fn(&Entry) -> bool) -> u8 {
        self.ledger.iter().rposition(which).map_or(0, |i| i as u8 + 1)
    }

    fn flies(&mut self, txn: Txn) {
        self.flying.push(txn);
        self.flying.sort();
    }
}

impl Log {
    fn carried_out(&self, s: &State, t: &Txn) -> bool {
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

    fn start(&self) -> State {
        let seen = Controller { seen: 1, ..Controller::default() };
        State {
            ledger: vec![Entry::Lease(0)],
            flying: Vec::new(),
            controllers: [seen; 2],
            runs: [[false; MACHINES]; TASKS],
            restarted: false,
        }
    }

    fn next(&self, s: &State, out: &mut Vec<(String, State)>) {
        let full = s.ledger.len() >= self.ledger;
        for c in 0..2 {
            let me = s.controllers[c];
            let v = s.view(c);
            if (me.seen as usize) < s.ledger.len() {
                let mut n = s.clone();
                let me = &mut n.controllers[c];
                me.seen += 1;
                me.ahead &= !(1 << (me.seen - 1));
                out.push((format!("{c} watches"), n));
            }
            // It acts under the grant of its own incarnation only.
            if v.granted < me.life {
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
                let start = v.holder as usize == c && v.places[t].is_none() && v.highest_attempt[t] < TRIES && seen;
                let gone = here.filter(|p| me.ended[t] >= p.1).map(|p| Fact::Gone(t as u8, p.1));
                let on = (0..MACHINES).filter(|m| start && OWNER[*m] == c);
                let starts = on.map(|m| Fact::Start(t as u8, v.highest_attempt[t] + 1, m as u8));
                for fact in starts.chain(gone).filter(|_| !me.waits && s.flying.len() < FLYING) {
                    let mut n = s.clone();
                    n.controllers[c].waits = true;
                    let (job, grant) = (v.job, v.grant);
                    n.flies(Txn { writer: c as u8, life: me.life, seq: v.seq + 1, fact, job, grant });
                    out.push((format!("{c} writes {fact:?}"), n));
                }
            }
            if me.waits {
                let mut n = s.clone();
                n.controllers[c].waits = false;
                out.push((format!("{c} gives up waiting"), n));
            }
        }
        for (i, t) in s.flying.iter().enumerate() {
            let c = t.writer as usize;
            let done = self.carried_out(s, t) && !full;
            for answered in [false, true] {
                let mut n = s.clone();
                n.flying.remove(i);
                if done {
                    n.ledger.push(Entry::Segment { writer: t.writer, seq: t.seq, fact: t.fact });
                }
                let me = &mut n.controllers[c];
                // An answer to a call that was given up is not read.
                if answered && me.waits && me.life == t.life {
                    me.waits = false;
                    if done {
                        me.ahead |= 1 << (n.ledger.len() - 1);
                    }
                }
                out.push((format!("{t:?} comes, answered {answered}"), n));
            }
        }
        if !full {
            // The leader moves the lease; the new holder may hear of it first.
            let to = 1 - s.view_of_all().holder;
            for confirmed in [false, true] {
                let mut n = s.clone();
                n.ledger.push(Entry::Lease(to));
                if confirmed {
                    n.controllers[to as usize].ahead |= 1 << (n.ledger.len() - 1);
                }
                out.push((format!("lease to {to}, told {confirmed}"), n));
            }
        }
        if !s.restarted {
            for c in 0..2 {
                let mut n = s.clone();
                n.restarted = true;
                let seen = n.ledger.len() as u8;
                n.controllers[c] = Controller { life: 1, seen, ..Controller::default() };
                out.push((format!("{c} restarts"), n));
            }
        } else if !full {
            for c in 0..2u8 {
                let granted = s.ledger.contains(&Entry::Grant(c));
                if s.controllers[c as usize].life == 1 && !granted {
                    let mut n = s.clone();
                    n.ledger.push(Entry::Grant(c));
                    out.push((format!("{c} is granted anew"), n));
                }
            }
        }
    }

    fn check(&self, s: &State) -> Result<(), String> {
        let twice = (0..TASKS).find(|t| s.runs[*t].iter().filter(|r| **r).count() > 1);
        twice.map_or(Ok(()), |t| Err(format!("task {t} runs on two machines")))
    }
}

impl State {
    fn view_of_all(&self) -> ClusterState {
        let mut all = self.clone();
        all.controllers[0].seen = self.ledger.len() as u8;
        all.view(0)
    }
}
