//! The phases of a start, as one controller goes through them.
//!
//! What is known of one machine is enough to act on that machine, so its orders
//! wait for nothing but its report. What needs the fleet waits here: machines
//! are returned, moved between blocks, or rented for arrays, tasks are preempted
//! and queues reassigned only once most machines were heard again, or once so
//! much time ran that those which are still silent have had every chance: a lease,
//! or a round of reports after which hardly any new ones came. Machines that hung or
//! were cut off before the start hold up nothing but what concerns them.
//!
//! Invariants:
//! - Phases only go forward, but for a pause of the process, after which what it
//!   heard is as good as nothing and it gathers again.
//! - Time counts only while the view is fresh: an outage of the state service in
//!   the middle of a start does not use up what machines have to report.
//! - A controller that starts with an empty fleet waits for nothing.

use super::difference::Case;
use std::collections::BTreeMap;
use std::time::Duration;

/// So much of the fleet has to be heard before anything rests on the rest's silence.
const SHARE: f64 = 0.9;
/// Machines that come first within a quarter of a round, as a part of the fleet, above
/// which the fleet is still coming.
const TRICKLE: f64 = 0.01;
/// Controllers that are not back get this part of a worker's lease before their
/// machines go to others: blocks that come back whole need no moves.
const MEMBERS_LEASES: f64 = 1.0 / 6.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The stored state is being read.
    Loading,
    /// Controllers come back and machines report: nothing is decided that needs
    /// the fleet.
    Gathering,
    /// Most of the fleet is known; some machines of this block are not yet.
    Reconciling,
    Settled,
}

/// Machines heard since the start, and those there should be.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Heard {
    pub heard: usize,
    pub all: usize,
}

impl Heard {
    fn most(self) -> bool {
        self.heard as f64 >= self.all as f64 * SHARE
    }
}

/// What a look at the world says while a start is under way.
#[derive(Debug, Clone, Copy)]
pub struct Facts {
    /// The view is no older than a report interval.
    pub fresh: bool,
    /// Live controllers, and those configured.
    pub members: Heard,
    pub shard: Heard,
    pub fleet: Heard,
}

#[derive(Debug)]
pub struct Start {
    phase: Phase,
    /// A worker without an answer for so long has nothing left to report.
    lease: Duration,
    /// Whoever lives and reaches a controller that answers has called within this.
    round: Duration,
    looked_at: Duration,
    /// Machines heard when the fleet last grew by more than a trickle, and when.
    grown: (usize, Duration),
    /// Time with a fresh view since the state was loaded.
    ran: Duration,
    members_in: bool,
    /// Differences found on machines at their first report, by case.
    pub cases: BTreeMap<Case, u32>,
}

impl Start {
    pub fn new(lease: Duration, round: Duration) -> Start {
        Start {
            phase: Phase::Loading,
            lease,
            round: round.min(lease),
            grown: (0, Duration::ZERO),
            looked_at: Duration::ZERO,
            ran: Duration::ZERO,
            members_in: false,
            cases: BTreeMap::new(),
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The stored state has been read. A later reload is no new start.
    pub fn loaded(&mut self, now: Duration) {
        if self.phase == Phase::Loading {
            self.phase = Phase::Gathering;
            self.looked_at = now;
        }
    }

    /// The process stood still, for longer than its reports are good for.
    pub fn paused(&mut self, now: Duration) {
        if self.phase > Phase::Gathering {
            self.phase = Phase::Gathering;
            self.members_in = false;
            self.ran = Duration::ZERO;
            self.grown = (0, Duration::ZERO);
            self.looked_at = now;
        }
    }

    /// Whether hardly any machine came of late that had not been heard before.
    fn all_quiet(&mut self, fleet: Heard) -> bool {
        if fleet.heard as f64 > self.grown.0 as f64 + fleet.all as f64 * TRICKLE {
            self.grown = (fleet.heard, self.ran);
        }
        self.ran.saturating_sub(self.grown.1) >= self.round / 4
    }

    /// Takes a look; returns the phase that was entered, if one was.
    pub fn look(&mut self, now: Duration, facts: &Facts) -> Option<Phase> {
        let dt = now.saturating_sub(self.looked_at);
        self.looked_at = now;
        if !facts.fresh || self.phase == Phase::Loading {
            return None;
        }
        self.ran += dt;
        if self.phase == Phase::Settled {
            return None;
        }
        let quiet = self.all_quiet(facts.fleet);
        let late = self.ran >= self.lease || self.ran >= self.round && quiet;
        self.members_in |= facts.members.heard >= facts.members.all || self.ran >= self.lease.mul_f64(MEMBERS_LEASES);
        let before = self.phase;
        let members_in = self.members_in || facts.fleet.all == 0;
        if self.phase == Phase::Gathering && (late || members_in && facts.fleet.most()) {
            self.phase = Phase::Reconciling;
        }
        if self.phase == Phase::Reconciling && (late || facts.shard.heard >= facts.shard.all) {
            self.phase = Phase::Settled;
        }
        (self.phase != before).then_some(self.phase)
    }

    /// Whether controllers that are not here count as gone, so that their
    /// machines and their queues go to others.
    pub fn members_known(&self) -> bool {
        self.members_in || self.phase == Phase::Settled
    }

    /// Whether every worker that lives has had the time to come: one that was not
    /// heard by now has lapsed, is cut off, or never came up.
    pub fn all_came(&self) -> bool {
        self.ran >= self.lease
    }

    /// Whether decisions may rest on a machine's silence or on the room of all.
    pub fn fleet_known(&self) -> bool {
        self.phase >= Phase::Reconciling
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn s(x: f64) -> Duration {
        Duration::from_secs_f64(x)
    }

    fn heard(heard: usize, all: usize) -> Heard {
        Heard { heard, all }
    }

    fn facts(members: (usize, usize), fleet: (usize, usize)) -> Facts {
        let shard = heard(fleet.0 / 3, fleet.1 / 3);
        Facts { fresh: true, members: heard(members.0, members.1), shard, fleet: heard(fleet.0, fleet.1) }
    }

    /// The leader returned idle machines that had not had the time to report,
    /// and took every machine to itself before the others were back.
    #[test]
    fn nothing_rests_on_silence_before_most_were_heard() {
        let mut start = Start::new(s(18.0), s(9.0));
        start.loaded(s(1.0));
        assert_eq!(start.look(s(1.1), &facts((1, 3), (0, 900))), None);
        assert!(!start.members_known() && !start.fleet_known());
        assert_eq!(start.look(s(2.0), &facts((3, 3), (700, 900))), None);
        assert!(start.members_known() && !start.fleet_known());
        assert_eq!(start.look(s(3.0), &facts((3, 3), (810, 900))), Some(Phase::Reconciling));
        assert!(start.fleet_known());
        assert_eq!(start.look(s(4.0), &facts((3, 3), (900, 900))), Some(Phase::Settled));
    }

    /// One controller never comes back, and a tenth of the machines is dead.
    #[test]
    fn what_never_comes_is_not_waited_for_for_ever() {
        let mut start = Start::new(s(18.0), s(9.0));
        start.loaded(s(0.0));
        start.look(s(2.9), &facts((2, 3), (500, 900)));
        assert!(!start.members_known());
        start.look(s(3.0), &facts((2, 3), (600, 900)));
        assert!(start.members_known() && !start.fleet_known());
        assert_eq!(start.look(s(18.0), &facts((2, 3), (700, 900))), Some(Phase::Settled));
    }

    /// A fifth of the fleet hung when all controllers restarted: nothing was rented
    /// for arrays, and no queue reassigned, for a whole lease.
    #[test]
    fn machines_that_fell_silent_before_hold_up_nothing_else() {
        let mut start = Start::new(s(36.0), s(15.5));
        start.loaded(s(0.0));
        start.look(s(8.0), &facts((7, 7), (800, 1000)));
        assert_eq!(start.look(s(15.0), &facts((7, 7), (804, 1000))), None, "some may be on their way");
        assert_eq!(start.look(s(15.6), &facts((7, 7), (806, 1000))), Some(Phase::Settled));
        assert!(!start.all_came(), "no machine is taken for one that never came up");
    }

    /// Controllers that the workers do not reach send them on one after the other:
    /// the fleet comes late, but it comes.
    #[test]
    fn a_fleet_that_still_comes_is_waited_for() {
        let mut start = Start::new(s(36.0), s(15.5));
        start.loaded(s(0.0));
        for t in 1..30 {
            let heard = 25 * t as usize;
            assert_eq!(start.look(s(f64::from(t)), &facts((7, 7), (heard, 1000))), None, "{t}");
        }
        assert_eq!(start.look(s(34.0), &facts((7, 7), (730, 1000))), Some(Phase::Settled));
    }

    /// The store goes away while machines report: nobody could be answered, so
    /// nobody's silence means anything.
    #[test]
    fn an_outage_uses_up_no_time() {
        let mut start = Start::new(s(18.0), s(9.0));
        start.loaded(s(0.0));
        let away = Facts { fresh: false, ..facts((3, 3), (100, 900)) };
        (1..60).for_each(|t| assert_eq!(start.look(s(f64::from(t)), &away), None));
        assert_eq!(start.look(s(60.5), &facts((3, 3), (100, 900))), None);
        assert!(!start.fleet_known());
    }

    /// A cluster that begins with nothing rents at once.
    #[test]
    fn an_empty_fleet_waits_for_nothing() {
        let mut start = Start::new(s(36.0), s(15.0));
        start.loaded(s(0.2));
        assert_eq!(start.look(s(0.3), &facts((7, 7), (0, 0))), Some(Phase::Settled));
    }

    #[test]
    fn a_process_that_stood_still_gathers_again() {
        let mut start = Start::new(s(18.0), s(9.0));
        start.loaded(s(0.0));
        start.look(s(1.0), &facts((3, 3), (9, 9)));
        assert_eq!(start.phase(), Phase::Settled);
        start.paused(s(43.0));
        assert_eq!(start.phase(), Phase::Gathering);
        assert_eq!(start.look(s(44.0), &facts((3, 3), (1, 9))), None);
        assert!(!start.fleet_known());
    }
}
