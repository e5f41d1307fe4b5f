//! Tests of the load that users make.

use super::*;

#[test]
fn jobs_are_determined_by_the_seed_and_well_formed() {
    let scenario = Scenario::parse("s", include_str!("../../scenarios/filing-eve.hcl")).unwrap();
    let plan = |seed| plan(&scenario, 1, &mut StdRng::seed_from_u64(seed));
    let (a, b) = (plan(4), plan(4));
    assert!(a.len() > 10 && a.iter().all(|j| j.description.spec.is_well_formed()));
    assert_eq!(format!("{a:?}"), format!("{b:?}"));
    assert_ne!(format!("{a:?}"), format!("{:?}", plan(5)));
    assert!(a.iter().all(|j| (j.description.spec.kind == JobKind::Service) == j.description.run_s[0].is_infinite()));
    assert!(a.is_sorted_by(|x, y| x.at_s <= y.at_s));
}
