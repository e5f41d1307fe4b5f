//! Tests of which failures are attributed to a machine and which to a job.

use super::*;

fn failures_of(list: &[(&str, u32)]) -> MachineFailures {
    let mut failures = MachineFailures::default();
    list.iter().for_each(|(job, n)| (0..*n).for_each(|_| failures.record_failure(job)));
    failures
}

/// A job with a mistake must not get every machine cordoned on which it fails.
#[test]
fn a_job_that_fails_everywhere_does_not_cordon_machines() {
    let bad = |job: &str| job == "bad";
    let none = |_: &str| false;
    assert_eq!(failures_of(&[("bad", 40)]).verdict(bad, none), Verdict::Healthy);
    assert_eq!(failures_of(&[("bad", 40), ("good", 2)]).verdict(bad, |j| j == "good"), Verdict::Healthy);
    let mut history = JobFailures::default();
    ["m1", "m1", "m2"].into_iter().for_each(|m| history.record_failure_on(m));
    assert!(!history.fails_everywhere());
    history.record_failure_on("m3");
    assert!(history.fails_everywhere());
}

/// A faulty machine must not get further tasks after the first few have failed.
#[test]
fn a_machine_that_fails_several_jobs_is_cordoned_after_three_failures() {
    let none = |_: &str| false;
    assert_eq!(failures_of(&[("a", 1), ("b", 1)]).verdict(none, none), Verdict::Healthy);
    assert_eq!(failures_of(&[("a", 2), ("b", 1)]).verdict(none, none), Verdict::Faulty);
    assert_eq!(failures_of(&[("a", 3)]).verdict(none, |_| true), Verdict::Faulty);
    assert_eq!(failures_of(&[("a", 3)]).verdict(none, none), Verdict::Undecided);
    // A faulty job and a faulty machine at the same time.
    assert_eq!(failures_of(&[("bad", 9), ("a", 2), ("b", 1)]).verdict(|j| j == "bad", none), Verdict::Faulty);
}

/// A machine that is still faulty after its cordon must fail only one more task; a success
/// clears its earlier failures.
#[test]
fn one_failure_after_a_cordon_leads_to_another_cordon() {
    let none = |_: &str| false;
    let mut failures = failures_of(&[("a", 5), ("b", 4)]);
    failures.record_cordon();
    assert_eq!(failures.verdict(none, |_| true), Verdict::Healthy);
    failures.record_failure("c");
    assert_eq!(failures.verdict(none, |_| true), Verdict::Faulty);
    failures.record_success();
    assert_eq!(failures.verdict(none, |_| true), Verdict::Healthy);
}
