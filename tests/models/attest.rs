//! Controller A answers a machine; B, which leads, may grant it to itself and may
//! take a cancellation, whenever it reaches the store: it acts and tells by the answer,
//! while its watch may stand still from then on. A reaches the store or not, heartbeats pass
//! or not, or are held back and come late. What B knows of and A may not have seen it
//! carries in its heartbeats. Stands for `Controller::{may_act, revocations, apply_revocations}`,
//! `ClusterState::known_revision`, `read_index_time` in `src/connectivity` and `Machine::lease_expired`.

use finchquay_explorer::Model;

/// What an attestation rests on; each condition can be taken away.
#[derive(Debug, Clone, Copy)]
pub struct Trust {
    /// It counts from the heartbeat of ours that it echoes, not from when it came.
    pub acknowledgements: bool,
    /// The replica it speaks of is no newer than ours.
    pub revision: bool,
    /// It is good for as long as a read of the store is, not for ever.
    pub limit: bool,
    /// The revision that it speaks of counts what was learned from answers.
    pub known_revision: bool,
    /// A cancellation that it carries is applied before it counts,
    pub applied: bool,
    /// and a grant that it carries makes it void.
    pub granted: bool,
    /// What it carries is complete from where A's view ends.
    pub since: bool,
}

impl Default for Trust {
    fn default() -> Trust {
        Trust {
            acknowledgements: true,
            revision: true,
            limit: true,
            known_revision: true,
            applied: true,
            granted: true,
            since: true,
        }
    }
}

pub struct Attest {
    pub trust: Trust,
}

/// In steps: an agent's lease, and the time that a cancellation has.
const LEASE: u8 = 2;
const CANCEL: u8 = 5;
/// Ages above this are all the same.
const OLD: u8 = 6;

/// What B said: the age of A's heartbeat that it echoes, the age of the words
/// themselves, the newest change that it knew of, and what it owed to whom had come
/// to `since`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Word {
    acknowledgements: u8,
    age: u8,
    revision: u8,
    since: u8,
    cancelled: bool,
    granted: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Changes of the store so far, and which of them were what.
    revision: u8,
    granted: Option<u8>,
    cancelled: Option<u8>,
    /// Views, and the age of A's last read of the store.
    a_view: u8,
    b_view: u8,
    a_fresh: u8,
    /// What B knows from answers too, and where A's view was by the newest heartbeat that B had.
    b_learned: u8,
    b_seen_by_a: u8,
    /// A knows of the cancellation by B's word.
    applied: bool,
    /// The age of the newest heartbeat of A's that B has.
    b_has: u8,
    /// Words under way, oldest first, and the newest that came.
    flying: Vec<Word>,
    word: Option<Word>,
    /// The task on A's machine, and how long ago the machine was answered.
    runs: bool,
    answered: u8,
    /// Since B holds the machine without having heard it.
    adopted: Option<u8>,
    /// B has heard the machine and goes on from there.
    handed: bool,
    /// The task was started on another machine.
    elsewhere: bool,
    /// Since the user was told that the job is cancelled.
    confirmed_age: Option<u8>,
}

impl Attest {
    fn may_act(&self, s: &State) -> bool {
        let young = |age: u8| age < CANCEL - LEASE;
        let t = &self.trust;
        let revocations = |w: &Word| {
            let short = t.since && w.since > s.a_view;
            let unapplied = t.applied && w.cancelled && !s.applied;
            let lost = t.granted && w.granted;
            !(short || unapplied || lost)
        };
        let word = s.word.filter(|w| !t.revision || w.revision <= s.a_view || revocations(w));
        young(s.a_fresh)
            || word.is_some_and(|w| !t.limit || young(if t.acknowledgements { w.acknowledgements } else { w.age }))
    }

    /// One step of time, with what works in it.
    fn step(&self, s: &State, a_store: bool, heartbeat: bool, arrives: bool) -> State {
        let mut n = s.clone();
        let older = |age: &mut u8| *age = (*age + 1).min(OLD);
        [&mut n.a_fresh, &mut n.b_has, &mut n.answered].into_iter().for_each(older);
        n.adopted.iter_mut().for_each(older);
        n.confirmed_age.iter_mut().for_each(older);
        for w in n.flying.iter_mut().chain(n.word.as_mut()) {
            older(&mut w.acknowledgements);
            if !self.trust.acknowledgements {
                older(&mut w.age); // nothing else looks at it
            }
        }
        if n.runs && n.answered > LEASE {
            n.runs = false;
        }
        if a_store {
            (n.a_view, n.a_fresh) = (n.revision, 0);
        }
        if heartbeat {
            (n.b_has, n.b_seen_by_a) = (0, n.a_view);
        }
        if n.flying.is_empty() {
            let since = if self.trust.since { n.b_seen_by_a } else { n.b_view };
            let after = |change: Option<u8>| change.is_some_and(|r| r > since && r <= n.b_learned);
            n.flying.push(Word {
                acknowledgements: n.b_has,
                age: 0,
                revision: if self.trust.known_revision { n.b_learned } else { n.b_view },
                since,
                cancelled: after(n.cancelled),
                granted: after(n.granted),
            });
        }
        if arrives {
            // In order; how long it was held back shows in nothing but the echo.
            let mut w = n.flying.remove(0);
            w.age = 0;
            n.word = Some(w);
            n.applied |= w.cancelled && self.trust.applied;
        }
        // The machine reports to A while that answers, else to B.
        let knows = |view: u8, change: Option<u8>| change.is_some_and(|r| r <= view);
        if self.may_act(&n) && !knows(n.a_view, n.granted) {
            n.answered = 0;
            n.runs &= !n.applied && !knows(n.a_view, n.cancelled);
        } else if n.adopted.is_some() {
            n.handed = true;
            n.runs &= !knows(n.b_learned, n.cancelled);
        }
        // What B never heard has lapsed by now.
        if n.adopted.is_some_and(|age| age >= CANCEL) && !n.handed {
            n.elsewhere = true;
        }
        n
    }
}

impl Model for Attest {
    type State = State;

    fn start(&self) -> State {
        State {
            revision: 0,
            granted: None,
            cancelled: None,
            a_view: 0,
            b_view: 0,
            a_fresh: 0,
            b_learned: 0,
            b_seen_by_a: 0,
            applied: false,
            b_has: 0,
            flying: Vec::new(),
            word: None,
            runs: true,
            answered: 0,
            adopted: None,
            handed: false,
            elsewhere: false,
            confirmed_age: None,
        }
    }

    fn next(&self, s: &State, out: &mut Vec<(String, State)>) {
        for a_store in [false, true] {
            for heartbeat in [false, true] {
                for arrives in [false, true].into_iter().take(1 + usize::from(!s.flying.is_empty())) {
                    let name = format!("a step, store {a_store}, beat {heartbeat}, word {arrives}");
                    out.push((name, self.step(s, a_store, heartbeat, arrives)));
                }
            }
        }
        // B reaches the store: it grants the machine to itself, and tells a user.
        if s.granted.is_none() {
            let mut n = s.clone();
            n.revision += 1;
            (n.granted, n.b_learned, n.adopted) = (Some(n.revision), n.revision, Some(0));
            out.push(("the machine is granted to B".into(), n));
        }
        if s.cancelled.is_none() {
            let mut n = s.clone();
            n.revision += 1;
            (n.cancelled, n.b_learned, n.confirmed_age) = (Some(n.revision), n.revision, Some(0));
            out.push(("the user is told withdrawn".into(), n));
        }
        if s.b_view < s.b_learned {
            out.push(("B's watch moves".into(), State { b_view: s.b_learned, ..s.clone() }));
        }
    }

    fn check(&self, s: &State) -> Result<(), String> {
        if s.elsewhere && s.runs && !s.handed {
            return Err("the task runs on two machines".into());
        }
        if s.runs && !s.handed && s.confirmed_age.is_some_and(|age| age > CANCEL) {
            return Err("the task outlives its withdrawal".into());
        }
        Ok(())
    }
}
