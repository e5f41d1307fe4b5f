//! The scenarios that are compiled into the program, and what their runs must show.

/// What the run of a scenario must show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expectation {
    /// No rule is broken, and every accepted job gets one final answer.
    Holds,
    /// Nothing: violations are only recorded, as the service does not repair such losses
    /// yet.
    Recorded,
}

/// One scenario of the suite.
#[derive(Debug, Clone, Copy)]
pub struct SuiteScenario {
    /// Name of the scenario, and of its file without the extension.
    pub name: &'static str,
    /// Text of the scenario file.
    pub text: &'static str,
    /// What the run must show.
    pub expect: Expectation,
}

macro_rules! scenario {
    ($name:literal, $expect:ident) => {
        SuiteScenario {
            name: $name,
            text: include_str!(concat!("../scenarios/", $name, ".hcl")),
            expect: Expectation::$expect,
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
    scenario!("commands-again", Holds),
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

/// The scenario that `up` plays by default.
pub const SAMPLE: &str = include_str!("../scenarios/sample.hcl");

/// The scenario of the suite with this name.
pub fn find(name: &str) -> Option<&'static SuiteScenario> {
    SUITE.iter().find(|scenario| scenario.name == name)
}

#[cfg(test)]
mod tests;
