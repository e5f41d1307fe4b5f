//! The scenarios that come with the program, and what each must show.

/// What is asked of a scenario of the suite.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// No rule is broken, and every accepted job gets one final answer.
    Holds,
    /// Recorded as it is: the service does not repair this yet.
    Recorded,
}

/// Name, text, what is expected.
pub type Item = (&'static str, &'static str, Expect);

macro_rules! item {
    ($name:literal, $expect:ident) => {
        ($name, include_str!(concat!("../scenarios/", $name, ".hcl")), Expect::$expect)
    };
}

/// All scenarios of the suite, in the order in which they are played.
pub const SUITE: &[Item] = &[
    item!("filing-eve", Holds),
    item!("cold-machine", Holds),
    item!("all-late", Holds),
    item!("store-away-all-restart", Holds),
    item!("write-late", Holds),
    item!("write-unanswered", Holds),
    item!("store-killed", Holds),
    item!("machines-fall", Holds),
    item!("controllers-fall", Holds),
    item!("links-fall", Holds),
    item!("quick-restarts", Holds),
    item!("drawn", Holds),
    item!("lost-job", Recorded),
    item!("lost-tasks", Recorded),
    item!("lost-machines", Recorded),
    item!("lost-control", Recorded),
    item!("lost-any", Recorded),
    item!("lost-tail", Recorded),
];

/// What `up` plays.
pub const SAMPLE: &str = include_str!("../scenarios/sample.hcl");

pub fn find(name: &str) -> Option<&'static Item> {
    SUITE.iter().find(|(n, ..)| *n == name)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Scenario;

    #[test]
    fn every_scenario_that_comes_along_is_sound_and_named_after_its_file() {
        for (name, text, _) in SUITE {
            let s = Scenario::parse(name, text).unwrap();
            assert_eq!(s.name, *name);
            assert!(s.duration_s + s.settle_s <= 300.0, "{name}: the suite is of minutes");
        }
        Scenario::parse("sample", SAMPLE).unwrap();
    }
}
