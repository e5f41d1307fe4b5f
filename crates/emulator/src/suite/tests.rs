//! Tests of the suite of scenarios.

use super::*;
use crate::scenario::Scenario;

#[test]
fn every_scenario_is_valid_and_named_after_its_file() {
    for SuiteScenario { name, text, .. } in SUITE {
        let scenario = Scenario::parse(name, text).unwrap();
        assert_eq!(scenario.name, *name);
        assert!(
            scenario.duration_s + scenario.settle_s <= 300.0,
            "{name}: a scenario of the suite must take minutes only"
        );
    }
    Scenario::parse("sample", SAMPLE).unwrap();
}
