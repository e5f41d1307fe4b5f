use super::*;

fn of(list: &[(&str, u32)]) -> Failures {
    let mut f = Failures::default();
    list.iter().for_each(|(job, n)| (0..*n).for_each(|_| f.note(job)));
    f
}

/// One job with a mistake shut machine after machine.
#[test]
fn a_job_that_fails_everywhere_shuts_no_machine() {
    let bad = |job: &str| job == "bad";
    let none = |_: &str| false;
    assert_eq!(of(&[("bad", 40)]).verdict(bad, none), Verdict::Well);
    assert_eq!(of(&[("bad", 40), ("good", 2)]).verdict(bad, |j| j == "good"), Verdict::Well);
    let mut t = Tried::default();
    ["m1", "m1", "m2"].into_iter().for_each(|m| t.failed_on(m));
    assert!(!t.everywhere());
    t.failed_on("m3");
    assert!(t.everywhere());
}

#[test]
fn a_machine_that_fails_everything_is_shut_after_few_tasks() {
    let none = |_: &str| false;
    assert_eq!(of(&[("a", 1), ("b", 1)]).verdict(none, none), Verdict::Well);
    assert_eq!(of(&[("a", 2), ("b", 1)]).verdict(none, none), Verdict::Faulty);
    assert_eq!(of(&[("a", 3)]).verdict(none, |_| true), Verdict::Faulty);
    assert_eq!(of(&[("a", 3)]).verdict(none, none), Verdict::Open);
    // Both at once.
    assert_eq!(of(&[("bad", 9), ("a", 2), ("b", 1)]).verdict(|j| j == "bad", none), Verdict::Faulty);
}

#[test]
fn after_a_pause_one_more_failure_is_enough() {
    let none = |_: &str| false;
    let mut f = of(&[("a", 5), ("b", 4)]);
    f.served();
    assert_eq!(f.verdict(none, |_| true), Verdict::Well);
    f.note("c");
    assert_eq!(f.verdict(none, |_| true), Verdict::Faulty);
    f.clear();
    assert_eq!(f.verdict(none, |_| true), Verdict::Well);
}
