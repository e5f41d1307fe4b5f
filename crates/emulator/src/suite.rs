//! The scenarios that come with the program, and what each must show.

/// What is asked of a scenario of the suite.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// No rule is broken, and every accepted job gets one final answer.
    Holds,
    /// Recorded as it is: the service does not repair this yet.
    Recorded,
}

/// One scenario of the suite.
#[derive(Debug, Clone, Copy)]
pub struct SuiteScenario {
    /// Name of the scenario and, without its ending, of its file.
    pub name: &'static str,
    /// Text of the scenario file.
    pub text: &'static str,
    /// What the run must show.
    pub expect: Expect,
}

macro_rules! scenario {
    ($name:literal, $expect:ident) => {
        SuiteScenario {
            name: $name,
            text: include_str!(concat!("../scenarios/", $name, ".hcl")),
            expect: Expect::$expect,
        }
    };
}

/// All scenarios of the suite, in the order in which they are played.
pub const SUITE: &[SuiteScenario] = &[
    scenario!("filing-eve", Holds),
    scenario!("cold-machine", Holds),
    scenario!("all-late", Holds),
    scenario!("store-away-all-restart", Holds),
    scenario!("write-late", Holds),
    scenario!("write-unanswered", Holds),
    scenario!("store-killed", Holds),
    scenario!("machines-fall", Holds),
    scenario!("controllers-fall", Holds),
    scenario!("links-fall", Holds),
    scenario!("quick-restarts", Holds),
    scenario!("drawn", Holds),
    scenario!("lost-job", Recorded),
    scenario!("lost-tasks", Recorded),
    scenario!("lost-machines", Recorded),
    scenario!("lost-control", Recorded),
    scenario!("lost-any", Recorded),
    scenario!("lost-tail", Recorded),
];

/// What `up` plays.
pub const SAMPLE: &str = include_str!("../scenarios/sample.hcl");

/// The scenario of the suite with this name.
pub fn find(name: &str) -> Option<&'static SuiteScenario> {
    SUITE.iter().find(|scenario| scenario.name == name)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Scenario;

    #[test]
    fn every_scenario_that_comes_along_is_sound_and_named_after_its_file() {
        for SuiteScenario { name, text, .. } in SUITE {
            let s = Scenario::parse(name, text).unwrap();
            assert_eq!(s.name, *name);
            assert!(s.duration_s + s.settle_s <= 300.0, "{name}: the suite is of minutes");
        }
        Scenario::parse("sample", SAMPLE).unwrap();
    }
}
