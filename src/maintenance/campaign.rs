//! Campaigns: machines of a kind are emptied and returned, a few first and then in
//! growing waves. A wave ends when its machines are gone and every replica runs again.

use super::budget::{Budget, TeamReplicas};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Which machines go, as the operator states it. What is left out does not matter.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Campaign {
    #[serde(rename = "build")]
    pub machine_type: Option<String>,
    #[serde(rename = "site")]
    pub zone: Option<String>,
    pub spot: Option<bool>,
    /// These alone, by name.
    pub machines: Option<Vec<String>>,
    /// Machines of the first wave; each further one has twice as many.
    pub first: u32,
    /// Machines of a wave at the most.
    pub wave: u32,
}

impl Default for Campaign {
    fn default() -> Self {
        Campaign { machine_type: None, zone: None, spot: None, machines: None, first: 1, wave: 8 }
    }
}

impl Campaign {
    pub fn takes(&self, name: &str, machine_type: &str, zone: &str, spot: bool) -> bool {
        self.machine_type.as_ref().is_none_or(|b| b == machine_type)
            && self.zone.as_ref().is_none_or(|s| s == zone)
            && self.spot.is_none_or(|s| s == spot)
            && self.machines.as_ref().is_none_or(|m| m.iter().any(|n| n == name))
    }

    /// Machines of the wave after `waves` of them.
    fn size(&self, waves: u32) -> usize {
        let grown = u64::from(self.first) << waves.min(16);
        grown.min(u64::from(self.wave)) as usize
    }
}

/// One replica that may be stopped, from the moment it is written until the replica
/// is proved gone and runs elsewhere.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket {
    pub job: String,
    pub index: u32,
    pub attempt: u64,
    pub machine: String,
}

/// How far the campaign has come: one record, written by the leader alone.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceRecord {
    /// None is under way where it is empty.
    pub name: String,
    /// Machines up to this name, in order of their creation, were there when it began.
    pub upto: String,
    /// Machines that take nothing new and are being emptied.
    pub wave: Vec<String>,
    /// Waves that are over, and machines that went with them.
    pub waves: u32,
    pub gone: u32,
    pub tickets: Vec<Ticket>,
    /// Campaigns that are over.
    pub finished: Vec<String>,
}

/// A machine that the campaign takes.
#[derive(Debug, Clone, Default)]
pub struct Candidate {
    pub name: String,
    /// Replicas placed there, and their teams.
    pub standing: Vec<(Ticket, String)>,
    /// CPUs that arrays use there.
    pub arrays: f64,
    /// Tasks of a gang are there: it is let end.
    pub gang: bool,
    /// Some controller hears it.
    pub heard: bool,
}

/// Why nothing more is done at the moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wait {
    /// The team's budget is spent.
    Budget(String),
    /// The team's budget allows no step, ever.
    Never(String),
    /// Machines of the wave still have tasks on them, or are being returned.
    Wave(usize),
    /// Replicas of a wave that is gone do not run yet.
    Settling(usize),
    /// All machines that are left run gangs, or are heard by nobody.
    Machines(usize),
}

/// What is to be written next.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Step {
    pub wave: Vec<String>,
    pub tickets: Vec<Ticket>,
    pub over: bool,
    pub wait: Option<Wait>,
}

/// The next step. `left` are all machines that the campaign takes and that are there,
/// those of the wave among them; `most` tickets may be written at a time.
pub fn next(
    rec: &MaintenanceRecord,
    campaign: &Campaign,
    left: &[Candidate],
    teams: &BTreeMap<String, TeamReplicas>,
    budget: impl Fn(&str) -> Budget,
    most: usize,
) -> Step {
    let mut step = Step::default();
    if rec.wave.is_empty() {
        if !rec.tickets.is_empty() {
            step.wait = Some(Wait::Settling(rec.tickets.len()));
            return step;
        }
        if left.is_empty() {
            step.over = true;
            return step;
        }
        let spent = teams.iter().find(|(t, s)| s.away > 0 && s.left(&budget(t)) == 0);
        if let Some((team, _)) = spent {
            step.wait = Some(Wait::Budget(team.clone()));
            return step;
        }
        let mut able: Vec<&Candidate> = left.iter().filter(|c| c.heard && !c.gang).collect();
        able.sort_by(|a, b| {
            let fewest = a.standing.len().cmp(&b.standing.len());
            fewest.then(a.arrays.total_cmp(&b.arrays)).then_with(|| a.name.cmp(&b.name))
        });
        able.truncate(campaign.size(rec.waves));
        if able.is_empty() {
            step.wait = Some(Wait::Machines(left.len()));
        }
        step.wave = able.into_iter().map(|c| c.name.clone()).collect();
        return step;
    }
    let mut spent: BTreeMap<&str, u32> = BTreeMap::new();
    let wave = || left.iter().filter(|c| rec.wave.contains(&c.name));
    for (ticket, team) in wave().flat_map(|c| &c.standing) {
        if rec.tickets.contains(ticket) {
            continue;
        }
        let standing = teams.get(team).copied().unwrap_or_default();
        let budget = budget(team);
        let spent = spent.entry(team).or_default();
        if step.tickets.len() < most && *spent < standing.left(&budget) {
            *spent += 1;
            step.tickets.push(ticket.clone());
        } else if budget.allows(standing.wanted) == 0 {
            step.wait = Some(Wait::Never(team.clone()));
        } else if step.wait.is_none() {
            step.wait = Some(Wait::Budget(team.clone()));
        }
    }
    if step.wait.is_none() && step.tickets.is_empty() {
        step.wait = Some(Wait::Wave(wave().count()));
    }
    step
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ticket(machine: &str, index: u32) -> Ticket {
        Ticket { job: "run-1".into(), index, attempt: 1, machine: machine.into() }
    }

    fn machine(name: &str, replicas: std::ops::Range<u32>) -> Candidate {
        let standing = replicas.map(|i| (ticket(name, i), "t".to_string())).collect();
        Candidate { name: name.into(), standing, heard: true, ..Candidate::default() }
    }

    fn step(rec: &MaintenanceRecord, left: &[Candidate], wanted: u32, away: u32, budget: Budget) -> Step {
        let teams = BTreeMap::from([("t".to_string(), TeamReplicas { wanted, away })]);
        next(rec, &Campaign::default(), left, &teams, |_| budget, 10)
    }

    #[test]
    fn waves_grow_and_take_what_disturbs_least() {
        let mut left = vec![machine("a", 0..3), machine("b", 3..4), machine("c", 4..4), machine("d", 5..7)];
        left[2].heard = false;
        let two = Budget { away: 2, share: 0.0 };
        assert_eq!(step(&MaintenanceRecord::default(), &left, 7, 0, two).wave, ["b"]);
        let rec = MaintenanceRecord { waves: 1, ..MaintenanceRecord::default() };
        assert_eq!(step(&rec, &left, 7, 0, two).wave, ["b", "d"]);
        left.iter_mut().for_each(|c| c.gang = true);
        assert_eq!(step(&rec, &left, 7, 0, two).wait, Some(Wait::Machines(4)));
        assert!(step(&rec, &[], 7, 0, two).over);
    }

    /// Two tickets at a time, whatever the wave holds; none while failures used them up,
    /// and none twice.
    #[test]
    fn tickets_keep_to_what_the_budget_leaves() {
        let left = [machine("a", 0..3), machine("b", 3..5)];
        let rec = MaintenanceRecord { wave: vec!["a".into(), "b".into()], ..MaintenanceRecord::default() };
        let two = Budget { away: 2, share: 0.0 };
        let s = step(&rec, &left, 9, 0, two);
        assert_eq!(s.tickets, [ticket("a", 0), ticket("a", 1)]);
        assert_eq!(s.wait, Some(Wait::Budget("t".into())));
        assert_eq!(step(&rec, &left, 9, 1, two).tickets, [ticket("a", 0)]);
        assert_eq!(step(&rec, &left, 9, 2, two).tickets, []);
        let rec = MaintenanceRecord { tickets: vec![ticket("a", 0)], ..rec };
        assert_eq!(step(&rec, &left, 9, 1, two).tickets, [ticket("a", 1)]);
        let none = Budget { away: 0, share: 0.01 };
        assert_eq!(step(&rec, &left, 9, 0, none).wait, Some(Wait::Never("t".into())));
    }

    /// The next wave waits until the last one's replicas run, and while failures alone
    /// have spent a budget.
    #[test]
    fn no_wave_begins_before_the_last_has_settled() {
        let left = [machine("a", 0..3)];
        let one = Budget::default();
        let rec = MaintenanceRecord { tickets: vec![ticket("z", 8)], ..MaintenanceRecord::default() };
        assert_eq!(step(&rec, &left, 9, 1, one).wait, Some(Wait::Settling(1)));
        let s = step(&MaintenanceRecord::default(), &left, 9, 4, one);
        assert_eq!((s.wave.len(), s.wait), (0, Some(Wait::Budget("t".into()))));
    }
}
