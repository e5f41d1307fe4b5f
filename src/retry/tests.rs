//! Tests of when failed calls are retried, and of when clients are told to retry.

use super::*;

fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

fn policy(seed: u64) -> RetryPolicy {
    let all = [Purpose::Lease, Purpose::Barrier, Purpose::Write, Purpose::Rent, Purpose::List];
    RetryPolicy::new(seed, all.map(|p| (p, s(1.0))))
}

/// After an outage, seven controllers retried their writes at the same time.
#[test]
fn pauses_grow_and_differ_between_controllers() {
    let pause = |seed, failures| {
        let mut retries = policy(seed);
        (0..failures).for_each(|_| retries.record_outcome(Purpose::Write, Outcome::Limited, s(0.0)));
        retries.purposes[&Purpose::Write].not_before.as_secs_f64()
    };
    let first: Vec<f64> = (0..7).map(|n| pause(n, 1)).collect();
    assert!(first.iter().all(|p| (0.5..1.5).contains(p)), "{first:?}");
    assert!(first.iter().any(|p| (p - first[0]).abs() > 0.1));
    assert!((0..200).any(|n| pause(n, 9) > 2.0) && (0..200).all(|n| pause(n, 99) <= 4.5));
}

/// During an outage only probes are sent, and calls need not wait once it is over.
#[test]
fn an_open_breaker_admits_probes_and_closes_with_the_first_answer() {
    let mut retries = policy(1);
    for _ in 0..FAILURES_TO_OPEN {
        retries.record_outcome(Purpose::Write, Outcome::Failed, s(0.0));
    }
    assert!(retries.is_open(RemoteService::Store) && !retries.is_open(RemoteService::Cloud));
    assert!(!retries.allows(Purpose::Write, s(60.0)), "a write is not a probe");
    assert!(retries.allows(Purpose::Barrier, s(0.0)) && retries.allows(Purpose::Lease, s(0.0)));
    retries.record_outcome(Purpose::Barrier, Outcome::Failed, s(0.0));
    assert!(!retries.allows(Purpose::Barrier, s(0.4)) && retries.allows(Purpose::Barrier, s(1.5)));
    retries.record_outcome(Purpose::Barrier, Outcome::Answered, s(0.1));
    assert!(
        !retries.is_open(RemoteService::Store) && retries.allows(Purpose::Write, s(0.1)),
        "the write still waits although the service answers"
    );
}

/// After a start of the controllers, a thousand clients were told to retry after one second, and
/// all came at the same time.
#[test]
fn many_clients_get_spread_retry_times() {
    let mut retries = RetryAfter::default();
    let delays_s: Vec<u32> = (0..4000).map(|_| retries.next_delay_s(s(5.0), 50.0)).collect();
    assert_eq!((delays_s[0], delays_s[198], delays_s[2000]), (1, 1, 11));
    assert!(delays_s.windows(2).all(|w| w[0] <= w[1]) && delays_s.iter().max() <= Some(&30));
    assert_eq!(retries.next_delay_s(s(60.0), 50.0), 1, "no other clients are waiting");
}

/// When a quarter of all writes got no answer, the pauses after them would have delayed the
/// other writes most of the time.
#[test]
fn a_single_failed_write_delays_no_other_write() {
    let mut retries = policy(1);
    for n in 0..20 {
        retries.record_outcome(Purpose::Write, Outcome::Failed, s(f64::from(n)));
        assert!(retries.allows(Purpose::Write, s(f64::from(n))));
        retries.record_outcome(Purpose::Write, Outcome::Answered, s(f64::from(n)));
    }
    retries.record_outcome(Purpose::Write, Outcome::Failed, s(30.0));
    retries.record_outcome(Purpose::Write, Outcome::Failed, s(30.0));
    assert!(!retries.allows(Purpose::Write, s(30.1)), "two consecutive failures are not taken for chance");
}

/// Writes over the rate limit are not an outage, so reads and renewals continue.
#[test]
fn rate_limits_and_refusals_do_not_open_the_breaker() {
    let mut retries = policy(1);
    for _ in 0..20 {
        retries.record_outcome(Purpose::Write, Outcome::Limited, s(0.0));
        retries.record_outcome(Purpose::Rent, Outcome::Answered, s(0.0));
    }
    assert!(!retries.is_open(RemoteService::Store) && !retries.is_open(RemoteService::Cloud));
    assert!(
        !retries.allows(Purpose::Write, s(0.1))
            && retries.allows(Purpose::Lease, s(0.0))
            && retries.allows(Purpose::Rent, s(0.0))
    );
    assert_eq!(retries.take_counts(), vec![(Purpose::Write, 20)]);
    assert!(retries.take_counts().is_empty());
}
