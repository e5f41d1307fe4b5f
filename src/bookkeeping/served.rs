//! What became of the jobs of each class and each team, as this process saw it: ends
//! since it started, and from the live jobs of the moment how much of them runs.
//!
//! An operator looks at shares by class; whose work it was shows only by team, and a
//! team may be shut out while each class as a whole does well.

use super::Job;
use crate::protocol::user::{Form, JobSpec};
use std::collections::BTreeMap;

/// Below this share a class or team counts as hardly served.
pub const HALF: f64 = 0.5;
/// Jobs that a share has to rest on before it is told as one.
const ENOUGH: u32 = 8;

/// A class or a team.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Who {
    Class(String),
    Team(String),
}

impl Who {
    fn of(spec: &JobSpec) -> [Who; 2] {
        [Who::Class(spec.docket.clone()), Who::Team(spec.desk.clone())]
    }
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Jobs that ended or missed their aim, of those that have an aim; each once.
    pub judged: u32,
    /// Of them, those that were over in time.
    pub in_time: u32,
    /// Live jobs, and those of which no task is placed.
    pub live: u32,
    pub untouched: u32,
    /// Replicas that live services want, and those that are placed.
    pub replicas: u32,
    pub placed: u32,
}

impl Tally {
    /// The least of its shares that rests on enough jobs; none where none does.
    pub fn least_share(&self) -> Option<f64> {
        let share = |part: u32, all: u32| (all >= ENOUGH).then(|| f64::from(part) / f64::from(all));
        let shares = [
            share(self.in_time, self.judged),
            share(self.live - self.untouched.min(self.live), self.live),
            share(self.placed.min(self.replicas), self.replicas),
        ];
        shares.into_iter().flatten().reduce(f64::min)
    }
}

#[derive(Debug, Default)]
pub struct Served {
    ends: BTreeMap<Who, (u32, u32)>,
}

impl Served {
    /// A job with an aim is over, or its aim has passed.
    pub fn note(&mut self, spec: &JobSpec, in_time: bool) {
        for who in Who::of(spec) {
            let (judged, met) = self.ends.entry(who).or_default();
            *judged += 1;
            *met += u32::from(in_time);
        }
    }

    /// The tallies of all that have ended or live.
    pub fn tallies<'a>(&self, jobs: impl Iterator<Item = &'a Job>) -> BTreeMap<Who, Tally> {
        let ended = |(who, (judged, in_time)): (&Who, &(u32, u32))| {
            (who.clone(), Tally { judged: *judged, in_time: *in_time, ..Tally::default() })
        };
        let mut out: BTreeMap<Who, Tally> = self.ends.iter().map(ended).collect();
        for j in jobs.filter(|j| !j.withdrawn()) {
            for who in Who::of(&j.spec) {
                let t = out.entry(who).or_default();
                t.live += 1;
                t.untouched += u32::from(j.placed == 0 && j.done == 0);
                if j.spec.form == Form::Standing {
                    t.replicas += j.spec.parcels;
                    t.placed += j.placed;
                }
            }
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spec(class: &str, team: &str) -> JobSpec {
        JobSpec { docket: class.into(), desk: team.into(), ..JobSpec::example("run-1") }
    }

    /// Half of the jobs of a class are in time, and all that are not are one team's.
    #[test]
    fn a_team_that_is_shut_out_shows_beside_a_class_that_is_well() {
        let mut s = Served::default();
        for _ in 0..20 {
            s.note(&spec("scores", "risk"), true);
        }
        for _ in 0..9 {
            s.note(&spec("scores", "treasury"), false);
        }
        let t = s.tallies(std::iter::empty());
        assert!(t[&Who::Class("scores".into())].least_share().unwrap() > HALF);
        assert_eq!(t[&Who::Team("treasury".into())].least_share(), Some(0.0));
        assert_eq!(t[&Who::Team("risk".into())].least_share(), Some(1.0));
    }

    #[test]
    fn a_few_jobs_are_no_share() {
        let mut s = Served::default();
        (0..ENOUGH - 1).for_each(|_| s.note(&spec("scores", "risk"), false));
        assert_eq!(s.tallies(std::iter::empty())[&Who::Class("scores".into())].least_share(), None);
        let services = Tally { replicas: 10, placed: 4, live: 10, untouched: 2, ..Tally::default() };
        assert_eq!(services.least_share(), Some(0.4), "the least of them counts");
    }
}
