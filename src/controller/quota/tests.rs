//! Tests of remaining quota and of the distance from limits.

use super::*;

fn job(cores: f64, gpus: f64) -> JobSpec {
    JobSpec { cores, gpus, ..JobSpec::example("run-1") }
}

#[test]
fn the_scarcer_resource_limits_the_admitted_tasks() {
    let quota = RemainingQuota { cpus: 10.0, gpus: 3.0 };
    assert_eq!(quota.admits(&job(2.0, 0.0), 9), 5);
    assert_eq!(quota.admits(&job(2.0, 1.0), 9), 3);
    assert_eq!(quota.admits(&job(2.0, 1.0), 2), 2, "no more than there are");
}

#[test]
fn an_overdrawn_quota_admits_nothing() {
    let quota = RemainingQuota { cpus: -1.0, gpus: f64::INFINITY };
    assert_eq!(quota.admits(&job(0.5, 0.0), 9), 0);
}

#[test]
fn admitted_tasks_reduce_the_quota_for_the_next_job() {
    let mut quota = RemainingQuota { cpus: 10.0, gpus: f64::INFINITY };
    quota.take(&job(3.0, 0.0), 2);
    assert_eq!(quota.admits(&job(3.0, 0.0), 9), 1);
}

#[test]
fn a_team_is_far_from_its_limits_only_if_it_is_far_from_each() {
    let limit = |used, max| QuotaLimit { used, max };
    let far = QuotaUse { cpus: limit(2.0, 10.0), gpus: limit(5.0, 0.0) };
    assert!(far.is_far_from_limits(), "a limit of 0 means no limit");
    let near = QuotaUse { cpus: limit(2.0, 10.0), gpus: limit(3.0, 10.0) };
    assert!(!near.is_far_from_limits());
}
