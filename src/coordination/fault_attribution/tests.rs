//! Which failures are attributed to a machine, and which to a job.

use super::*;

fn failures_of(list: &[(&str, u32)]) -> Failures {
    let mut failures = Failures::default();
    list.iter().for_each(|(job, n)| (0..*n).for_each(|_| failures.note(job)));
    failures
}

/// One job with a mistake cordoned machine after machine.
#[test]
fn a_job_that_fails_everywhere_cordons_no_machine() {
    let bad = |job: &str| job == "bad";
    let none = |_: &str| false;
    assert_eq!(failures_of(&[("bad", 40)]).verdict(bad, none), Verdict::Healthy);
    assert_eq!(failures_of(&[("bad", 40), ("good", 2)]).verdict(bad, |j| j == "good"), Verdict::Healthy);
    let mut history = AttemptHistory::default();
    ["m1", "m1", "m2"].into_iter().for_each(|m| history.failed_on(m));
    assert!(!history.everywhere());
    history.failed_on("m3");
    assert!(history.everywhere());
}

/// A faulty machine must not take task after task and fail them all.
#[test]
fn a_machine_that_fails_several_jobs_is_cordoned_after_few_tasks() {
    let none = |_: &str| false;
    assert_eq!(failures_of(&[("a", 1), ("b", 1)]).verdict(none, none), Verdict::Healthy);
    assert_eq!(failures_of(&[("a", 2), ("b", 1)]).verdict(none, none), Verdict::Faulty);
    assert_eq!(failures_of(&[("a", 3)]).verdict(none, |_| true), Verdict::Faulty);
    assert_eq!(failures_of(&[("a", 3)]).verdict(none, none), Verdict::Undecided);
    // Both at once.
    assert_eq!(failures_of(&[("bad", 9), ("a", 2), ("b", 1)]).verdict(|j| j == "bad", none), Verdict::Faulty);
}

/// A machine that is still faulty after its cordon fails few tasks more; one that succeeds begins anew.
#[test]
fn after_a_cordon_one_more_failure_is_enough() {
    let none = |_: &str| false;
    let mut failures = failures_of(&[("a", 5), ("b", 4)]);
    failures.served();
    assert_eq!(failures.verdict(none, |_| true), Verdict::Healthy);
    failures.note("c");
    assert_eq!(failures.verdict(none, |_| true), Verdict::Faulty);
    failures.clear();
    assert_eq!(failures.verdict(none, |_| true), Verdict::Healthy);
}
