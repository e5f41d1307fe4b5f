//! Model of attestation between two controllers.
//!
//! Controller A answers the agent of a machine. Controller B, the leader, may grant the
//! machine to itself and may accept a cancellation whenever it reaches the store. B acts on
//! the store's answer and confirms the cancellation to the user by it, while its watch may
//! be stalled from then on. A reaches the store or not; heartbeats are delivered, lost, or
//! held back and delivered late. B's heartbeats carry the changes that B knows of and A may
//! not have seen. The model stands for `Controller::{may_act, revocations, apply_revocations}`,
//! `ClusterState::known_revision`, `read_index_time` in `src/connectivity` and `Machine::lease_expired`.

#![warn(missing_docs)]

use finchquay_explorer::Model;

/// Conditions that make an attestation valid. Each one can be disabled, to show that it is needed.
#[derive(Debug, Clone, Copy)]
pub struct Guards {
    /// An attestation is dated by the heartbeat of the receiver that it acknowledges, not by its arrival.
    pub acknowledgements: bool,
    /// The attested revision is no newer than the receiver's replica.
    pub revision: bool,
    /// An attestation is valid for as long as a read of the store, not indefinitely.
    pub limit: bool,
    /// The attested revision includes changes learned from answers of the store.
    pub known_revision: bool,
    /// A cancellation carried by an attestation is applied before the attestation counts.
    pub applied: bool,
    /// A grant carried by an attestation makes the attestation void.
    pub granted: bool,
    /// The carried changes are complete from the end of A's view on.
    pub since: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
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

/// The attestation model with the conditions that are in force.
pub struct Attest {
    /// Conditions in force.
    pub guards: Guards,
}

/// Length of an agent's lease, in steps.
const LEASE: u8 = 2;
/// Time within which a cancelled task must have ended, in steps.
const CANCEL: u8 = 5;
/// Ages are capped here, in steps: greater ones make no difference.
const OLD: u8 = 6;

/// A heartbeat from B to A: the age of the heartbeat of A that it acknowledges, its own
/// age, the newest revision that B knew of, and which changes after revision `since` it
/// carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Heartbeat {
    acknowledgements: u8,
    age: u8,
    revision: u8,
    since: u8,
    cancelled: bool,
    granted: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
/// State of the store, both controllers, the heartbeats in flight and the task.
pub struct State {
    /// Revision of the store, and the revisions of the grant and of the cancellation.
    revision: u8,
    granted: Option<u8>,
    cancelled: Option<u8>,
    /// Revisions of both controllers' views, and the age of A's last read of the store.
    a_view: u8,
    b_view: u8,
    a_read_age: u8,
    /// The newest revision that B knows of, from answers too, and the revision of A's view
    /// according to A's newest heartbeat that B received.
    b_known: u8,
    b_known_a_view: u8,
    /// A applied the cancellation that a heartbeat from B carried.
    applied: bool,
    /// Age of A's newest heartbeat that B received.
    a_heartbeat_age: u8,
    /// Heartbeats from B in flight, oldest first, and the newest one that A received.
    in_flight: Vec<Heartbeat>,
    received: Option<Heartbeat>,
    /// Whether the task runs on A's machine, and the time since the machine's agent was last answered.
    runs: bool,
    answered_age: u8,
    /// Time since B was granted the machine.
    b_granted_age: Option<u8>,
    /// B received a heartbeat from the machine and has taken it over with its task.
    taken_over: bool,
    /// The task was started on another machine.
    elsewhere: bool,
    /// Time since the user was told that the job is cancelled.
    confirmed_age: Option<u8>,
}

impl Attest {
    fn may_act(&self, s: &State) -> bool {
        let young = |age: u8| age < CANCEL - LEASE;
        let t = &self.guards;
        let revocations = |w: &Heartbeat| {
            let short = t.since && w.since > s.a_view;
            let unapplied = t.applied && w.cancelled && !s.applied;
            let lost = t.granted && w.granted;
            !(short || unapplied || lost)
        };
        let received = s.received.filter(|w| !t.revision || w.revision <= s.a_view || revocations(w));
        young(s.a_read_age)
            || received.is_some_and(|w| !t.limit || young(if t.acknowledgements { w.acknowledgements } else { w.age }))
    }

    /// One step of time, given whether A reaches the store, whether A's heartbeat reaches B
    /// and whether a heartbeat from B arrives.
    fn step(&self, s: &State, a_store: bool, heartbeat: bool, arrives: bool) -> State {
        let mut n = s.clone();
        let older = |age: &mut u8| *age = (*age + 1).min(OLD);
        [&mut n.a_read_age, &mut n.a_heartbeat_age, &mut n.answered_age].into_iter().for_each(older);
        n.b_granted_age.iter_mut().for_each(older);
        n.confirmed_age.iter_mut().for_each(older);
        for w in n.in_flight.iter_mut().chain(n.received.as_mut()) {
            older(&mut w.acknowledgements);
            if !self.guards.acknowledgements {
                older(&mut w.age); // only read while this condition is disabled
            }
        }
        if n.runs && n.answered_age > LEASE {
            n.runs = false;
        }
        if a_store {
            (n.a_view, n.a_read_age) = (n.revision, 0);
        }
        if heartbeat {
            (n.a_heartbeat_age, n.b_known_a_view) = (0, n.a_view);
        }
        if n.in_flight.is_empty() {
            let since = if self.guards.since { n.b_known_a_view } else { n.b_view };
            let after = |change: Option<u8>| change.is_some_and(|r| r > since && r <= n.b_known);
            n.in_flight.push(Heartbeat {
                acknowledgements: n.a_heartbeat_age,
                age: 0,
                revision: if self.guards.known_revision { n.b_known } else { n.b_view },
                since,
                cancelled: after(n.cancelled),
                granted: after(n.granted),
            });
        }
        if arrives {
            // Heartbeats arrive in order. Only the acknowledgement shows for how long one was held back.
            let mut w = n.in_flight.remove(0);
            w.age = 0;
            n.received = Some(w);
            n.applied |= w.cancelled && self.guards.applied;
        }
        // The machine reports to A while A answers, otherwise to B.
        let knows = |view: u8, change: Option<u8>| change.is_some_and(|r| r <= view);
        if self.may_act(&n) && !knows(n.a_view, n.granted) {
            n.answered_age = 0;
            n.runs &= !n.applied && !knows(n.a_view, n.cancelled);
        } else if n.b_granted_age.is_some() {
            n.taken_over = true;
            n.runs &= !knows(n.b_known, n.cancelled);
        }
        // The lease of a machine that never reported to B has expired by now.
        if n.b_granted_age.is_some_and(|age| age >= CANCEL) && !n.taken_over {
            n.elsewhere = true;
        }
        n
    }
}

impl Model for Attest {
    type State = State;

    fn initial_state(&self) -> State {
        State {
            revision: 0,
            granted: None,
            cancelled: None,
            a_view: 0,
            b_view: 0,
            a_read_age: 0,
            b_known: 0,
            b_known_a_view: 0,
            applied: false,
            a_heartbeat_age: 0,
            in_flight: Vec::new(),
            received: None,
            runs: true,
            answered_age: 0,
            b_granted_age: None,
            taken_over: false,
            elsewhere: false,
            confirmed_age: None,
        }
    }

    fn successors(&self, s: &State, out: &mut Vec<(String, State)>) {
        for a_store in [false, true] {
            for heartbeat in [false, true] {
                for arrives in [false, true].into_iter().take(1 + usize::from(!s.in_flight.is_empty())) {
                    let name = format!(
                        "a step, store reached {a_store}, heartbeat to B {heartbeat}, heartbeat to A {arrives}"
                    );
                    out.push((name, self.step(s, a_store, heartbeat, arrives)));
                }
            }
        }
        // B reaches the store: it grants the machine to itself, or confirms a cancellation to a user.
        if s.granted.is_none() {
            let mut n = s.clone();
            n.revision += 1;
            (n.granted, n.b_known, n.b_granted_age) = (Some(n.revision), n.revision, Some(0));
            out.push(("the machine is granted to B".into(), n));
        }
        if s.cancelled.is_none() {
            let mut n = s.clone();
            n.revision += 1;
            (n.cancelled, n.b_known, n.confirmed_age) = (Some(n.revision), n.revision, Some(0));
            out.push(("the cancellation is confirmed to the user".into(), n));
        }
        if s.b_view < s.b_known {
            out.push(("B's watch catches up".into(), State { b_view: s.b_known, ..s.clone() }));
        }
    }

    fn check_invariants(&self, s: &State) -> Result<(), String> {
        if s.elsewhere && s.runs && !s.taken_over {
            return Err("the task runs on two machines".into());
        }
        if s.runs && !s.taken_over && s.confirmed_age.is_some_and(|age| age > CANCEL) {
            return Err("the task outlives its cancellation".into());
        }
        Ok(())
    }
}
