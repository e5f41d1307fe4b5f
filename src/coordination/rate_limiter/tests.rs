//! Tests of which writes the rate limiter admits, in which order, and of what refused writes
//! cost.

use super::*;

fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

/// In an outage each controller sent hundreds of cancellations that the store refused. Their
/// charges took a minute to recover at seven changes a second, and nothing else was written
/// meanwhile.
#[test]
fn refused_writes_are_refunded() {
    let mut limiter = RateLimiter::new(6.0);
    for n in 0..400 {
        let charge = limiter.charge(s(10.0), 1.0);
        assert!(limiter.balance_at(s(10.0)) >= -6.0, "too much debt at write {n}");
        limiter.refund(s(10.0), charge);
    }
    assert_eq!(limiter.balance_at(s(10.0)), 6.0);
    // Forgiven debt is not refunded, even if all writes were in flight at once.
    let charges: Vec<Charge> = (0..400).map(|_| limiter.charge(s(20.0), 1.0)).collect();
    assert_eq!(limiter.balance_at(s(20.0)), -6.0);
    charges.into_iter().for_each(|c| limiter.refund(s(20.0), c));
    assert_eq!(limiter.balance_at(s(20.0)), 6.0);
}

/// Writes without an answer stay charged, but only up to one second's worth, so the highest
/// priority is admitted again a second later.
#[test]
fn debt_is_at_most_one_seconds_worth() {
    for rate in [0.3, 1.0, 6.0, 400.0] {
        let mut limiter = RateLimiter::new(rate);
        (0..50).for_each(|_| _ = limiter.charge(s(1.0), 24.0));
        let worth = rate.max(1.0);
        assert_eq!(limiter.balance_at(s(1.0)), -worth);
        assert!(!limiter.admits(WritePriority::Critical, s(1.0)));
        assert!(limiter.admits(WritePriority::Critical, s(1.01 + 1.0 / rate)), "{rate}");
        assert!(limiter.has_balance_for(s(1.1 + 2.0 * worth / rate), 1000.0), "{rate}: the balance never recovers");
    }
}

/// Sends all admitted writes every 10 ms. Returns the number of writes and the longest time
/// between two of them in seconds, by priority.
fn send_all_admitted(
    limiter: &mut RateLimiter,
    priorities: &[WritePriority],
    from_s: f64,
    for_s: f64,
) -> ([u32; 4], [f64; 4]) {
    let (mut sent, mut last, mut gap) = ([0; 4], [from_s; 4], [0.0; 4]);
    let mut t = from_s;
    while t < from_s + for_s {
        for priority in priorities {
            while limiter.admits(*priority, s(t)) {
                limiter.charge(s(t), 1.0);
                let n = *priority as usize;
                gap[n] = f64::max(gap[n], t - last[n]);
                (sent[n], last[n]) = (sent[n] + 1, t);
                if *priority == WritePriority::Services {
                    // Waiting changes of arrays are in the same transaction.
                    let n = WritePriority::Arrays as usize;
                    (gap[n], last[n]) = (f64::max(gap[n], t - last[n]), t);
                }
            }
        }
        t += 0.01;
    }
    priorities.iter().for_each(|p| gap[*p as usize] = f64::max(gap[*p as usize], t - last[*p as usize]));
    (sent, gap)
}

/// Requests of many users kept the balance below zero, so arrays were not started at all.
#[test]
fn priorities_are_respected_without_starvation() {
    for rate in [1.2, 6.0, 45.0] {
        let mut limiter = RateLimiter::new(rate);
        let (sent, gap) = send_all_admitted(&mut limiter, &WritePriority::ALL, 0.0, 60.0);
        let longest = (OVERDUE_WRITES / rate).max(OVERDUE_MIN_S) + 4.0 / rate;
        assert!(gap.iter().all(|g| *g <= longest + 0.1), "{rate}: {sent:?} {gap:?}");
        let all: u32 = sent.iter().sum();
        assert!(
            sent[0] > sent[1..].iter().max().unwrap() * 3 / 2,
            "{rate}: the highest priority is not preferred: {sent:?}"
        );
        assert!(sent[0] * 4 >= all, "{rate}: the highest priority gets less than a quarter: {sent:?}");
        assert!(f64::from(all) <= rate * 62.0 + 1.0, "{rate}: {sent:?}");
    }
}

/// No balance is kept free for a priority that was not admitted and has stopped asking.
#[test]
fn a_waiting_priority_that_stops_asking_is_dropped() {
    let mut limiter = RateLimiter::new(6.0);
    limiter.charge(s(0.0), 9.0);
    assert!(!limiter.admits(WritePriority::Arrays, s(0.0)));
    limiter.charge(s(5.0), 100.0);
    // The first change that is available again may go to the highest priority.
    assert!(limiter.admits(WritePriority::Critical, s(5.0 + 1.01 / 6.0)));
}

/// All controllers resumed writing at the same moment. Their bursts and their debts coincided,
/// and the store refused most of the writes.
#[test]
fn after_an_outage_all_controllers_stay_within_the_burst() {
    let mut limiters: Vec<RateLimiter> = (0..7).map(|_| RateLimiter::new(45.0 / 8.0)).collect();
    let mut sent = 0;
    for limiter in &mut limiters {
        limiter.reset_after_outage(s(70.0));
        sent += send_all_admitted(limiter, &WritePriority::ALL, 70.0, 0.01).0.iter().sum::<u32>();
        assert!(limiter.admits(WritePriority::Arrays, s(70.0 + 3.0)), "arrays wait for more than three seconds");
    }
    assert!((35..=45).contains(&sent), "{sent}");
}
