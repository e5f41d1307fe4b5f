//! What explains best that machines do not reach their controller.
//!
//! A worker that is not answered tries the next controller after `4 s + 1 s`
//! (PROTOCOL), and is sent to its owner at once. So a machine that reported to
//! another controller, and which its owner, by news that are later than a
//! redirect takes, has not heard since, does not reach its owner. Where that
//! holds for more of a block than still reach the owner, it is the owner that is
//! deaf; for single ones it is they that are cut off from it.
//!
//! Silence alone proves nothing: machines that nobody hears are dead, or cut off
//! from all, or on their way between controllers. They are told apart by what
//! else fell silent with them, and else it is undecided.

use std::collections::BTreeMap;
use std::time::Duration;

/// A redirected worker calls its owner at once or after half a second.
const REDIRECT: Duration = Duration::from_secs(1);
/// So few machines say nothing of their owner.
const FEW: usize = 3;

/// One machine as a look at the world shows it.
#[derive(Debug, Clone, Copy)]
pub struct Sight {
    /// When its owner last heard it, by the owner's newest news.
    pub by_owner: Option<Duration>,
    /// When these news were sent; none where there are none to rely on.
    pub owner_says_at: Option<Duration>,
    /// When any other controller last heard it.
    pub by_other: Option<Duration>,
    /// Since when it belongs to this owner, as far as is known here.
    pub owned_since: Duration,
}

impl Sight {
    /// It reached another controller, was sent to its owner, and did not come.
    pub fn unreached(&self) -> Option<Duration> {
        let other = self.by_other.filter(|t| *t > self.owned_since + REDIRECT)?;
        let missed = self.by_owner.is_none_or(|t| t < other);
        let told = self.owner_says_at.is_some_and(|t| t >= other + REDIRECT);
        (missed && told).then_some(other)
    }
}

/// What is known of a controller by the machines of its block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Account {
    /// No machine shows anything else.
    Well,
    /// Some machines do not reach it, most do: it is they.
    SomeCutOff,
    /// It hears fewer of its machines than do not reach it.
    Deaf,
}

/// Accounts for the owner of these machines.
pub fn of_owner(shard: &[Sight]) -> Account {
    let unreached: Vec<Duration> = shard.iter().filter_map(Sight::unreached).collect();
    let Some(first) = unreached.iter().min() else { return Account::Well };
    // Of those that reach it, only such as did so since count.
    let reached = shard.iter().filter(|s| s.unreached().is_none() && s.by_owner.is_some_and(|t| t > *first)).count();
    let enough = unreached.len() >= FEW.min(shard.len());
    if enough && unreached.len() > reached { Account::Deaf } else { Account::SomeCutOff }
}

/// What a machine's silence is put down to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Silence {
    /// It alone is silent, and whoever could hear it says that it does not.
    Dead,
    /// Much of what is with it fell silent too, or we hear little ourselves.
    Cut,
    /// As `Dead`, but that some controller which could tell does not speak to us:
    /// in a rolling restart there is always one.
    Likely,
    /// Too few speak to us to tell.
    Undecided,
}

/// How much of a group was heard of late.
#[derive(Debug, Clone, Copy, Default)]
pub struct Group {
    pub heard: usize,
    pub all: usize,
}

impl Group {
    /// More than half is silent, of a group that says something.
    pub fn silent(self) -> bool {
        self.heard * 2 < self.all && self.all > 1
    }
}

/// Accounts for a machine that nobody says to have heard: `shard` is the
/// observer's own, `zone` the part of it in the machine's zone, `others` the
/// other live controllers, of which those are heard that speak both ways.
pub fn of_silence(shard: Group, zone: Group, others: Group) -> Silence {
    if shard.silent() || zone.silent() {
        Silence::Cut
    } else if others.heard >= others.all {
        Silence::Dead
    } else if others.heard > 0 && others.heard * 2 >= others.all {
        Silence::Likely
    } else {
        Silence::Undecided
    }
}

/// Controllers that were found deaf, until they have had the time to hear again.
#[derive(Debug, Default)]
pub struct Deaf {
    until: BTreeMap<String, Duration>,
}

impl Deaf {
    /// Takes in an account; true where it is new. A controller that got its
    /// hearing back is trusted again only after `pause`: a link that flaps would
    /// have blocks go to and fro.
    pub fn note(&mut self, member: &str, account: Account, now: Duration, pause: Duration) -> bool {
        if account != Account::Deaf {
            return false;
        }
        self.until.insert(member.to_string(), now + pause).is_none_or(|t| t <= now)
    }

    pub fn is(&self, member: &str, now: Duration) -> bool {
        self.until.get(member).is_some_and(|t| *t > now)
    }

    pub fn names(&self, now: Duration) -> impl Iterator<Item = &str> {
        self.until.iter().filter(move |(_, t)| **t > now).map(|(m, _)| m.as_str())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn s(x: f64) -> Duration {
        Duration::from_secs_f64(x)
    }

    fn sight(by_owner: f64, says: f64, by_other: Option<f64>) -> Sight {
        Sight {
            by_owner: Some(s(by_owner)),
            owner_says_at: Some(s(says)),
            by_other: by_other.map(s),
            owned_since: s(0.0),
        }
    }

    /// A worker that has just come up reports to anybody first: no reason to
    /// move it, nor one whose owner's word of it is not here yet.
    #[test]
    fn a_redirect_under_way_is_no_evidence() {
        assert_eq!(sight(90.0, 100.5, Some(100.0)).unreached(), None);
        assert_eq!(sight(100.3, 102.0, Some(100.0)).unreached(), None);
        assert_eq!(sight(90.0, 102.0, Some(100.0)).unreached(), Some(s(100.0)));
        let moved = Sight { owned_since: s(99.5), ..sight(90.0, 102.0, Some(100.0)) };
        assert_eq!(moved.unreached(), None);
        let silent = Sight { owner_says_at: None, ..sight(90.0, 102.0, Some(100.0)) };
        assert_eq!(silent.unreached(), None, "an owner that does not speak is not called deaf");
    }

    #[test]
    fn most_of_a_block_makes_its_owner_deaf_and_a_few_do_not() {
        let lost = sight(90.0, 104.0, Some(100.0));
        let well = |t| sight(t, 104.0, None);
        assert_eq!(of_owner(&[well(101.0), well(95.0)]), Account::Well);
        let mut shard = vec![lost; 3];
        // Thirty that reported before the first one got lost say nothing.
        shard.extend(vec![well(99.0); 30]);
        assert_eq!(of_owner(&shard), Account::Deaf);
        shard.extend(vec![well(102.0); 3]);
        assert_eq!(of_owner(&shard), Account::SomeCutOff);
        assert_eq!(of_owner(&[lost, well(99.0)]), Account::SomeCutOff, "one of two is not enough");
        assert_eq!(of_owner(&[lost]), Account::Deaf);
    }

    /// Machines of a deaf controller were returned: they were silent, and more
    /// than half of the block counted as heard, since before it went deaf.
    #[test]
    fn only_a_lone_silence_that_all_confirm_is_death() {
        let g = |heard, all| Group { heard, all };
        let (shard, zone) = (g(90, 100), g(40, 45));
        assert_eq!(of_silence(shard, zone, g(2, 2)), Silence::Dead);
        assert_eq!(of_silence(shard, zone, g(1, 2)), Silence::Likely);
        assert_eq!(of_silence(shard, zone, g(0, 2)), Silence::Undecided);
        assert_eq!(of_silence(shard, zone, g(2, 6)), Silence::Undecided);
        assert_eq!(of_silence(g(40, 100), zone, g(2, 2)), Silence::Cut);
        assert_eq!(of_silence(g(60, 100), g(5, 40), g(2, 2)), Silence::Cut);
        assert_eq!(of_silence(g(0, 1), g(0, 1), g(2, 2)), Silence::Dead, "one machine is all there is");
    }

    #[test]
    fn who_was_deaf_is_trusted_again_after_a_pause_only() {
        let mut d = Deaf::default();
        assert!(d.note("a", Account::Deaf, s(10.0), s(18.0)));
        assert!(!d.note("a", Account::Deaf, s(12.0), s(18.0)));
        assert!(!d.note("a", Account::Well, s(13.0), s(18.0)));
        assert!(d.is("a", s(29.9)) && !d.is("a", s(30.0)) && !d.is("b", s(12.0)));
        assert_eq!(d.names(s(12.0)).collect::<Vec<_>>(), ["a"]);
        assert!(d.note("a", Account::Deaf, s(31.0), s(18.0)));
    }
}
