//! The rate limiter of writes: what is admitted, in which order, and what a refusal costs.

use super::*;

fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

/// In an outage each controller sent hundreds of cancellations that the store refused, and
/// paid them off for a minute at seven a second: nothing else was written meanwhile.
#[test]
fn refused_writes_are_refunded() {
    let mut limiter = RateLimiter::new(6.0);
    for n in 0..400 {
        let charge = limiter.charge(s(10.0), 1.0);
        assert!(limiter.level(s(10.0)) >= -6.0, "{n} writes of debt");
        limiter.give_back(s(10.0), charge);
    }
    assert_eq!(limiter.level(s(10.0)), 6.0);
    // Not even where all were under way at once: what was forgiven is not given back.
    let charges: Vec<Charge> = (0..400).map(|_| limiter.charge(s(20.0), 1.0)).collect();
    assert_eq!(limiter.level(s(20.0)), -6.0);
    charges.into_iter().for_each(|c| limiter.give_back(s(20.0), c));
    assert_eq!(limiter.level(s(20.0)), 6.0);
}

/// Without an answer they stay charged, and a second later anything goes.
#[test]
fn debt_is_at_most_one_seconds_worth() {
    for rate in [0.3, 1.0, 6.0, 400.0] {
        let mut limiter = RateLimiter::new(rate);
        (0..50).for_each(|_| _ = limiter.charge(s(1.0), 24.0));
        let worth = rate.max(1.0);
        assert_eq!(limiter.level(s(1.0)), -worth);
        assert!(!limiter.admits(WritePriority::Critical, s(1.0)));
        assert!(limiter.admits(WritePriority::Critical, s(1.01 + 1.0 / rate)), "{rate}");
        assert!(limiter.has(s(1.1 + 2.0 * worth / rate), 1000.0), "{rate}: never full again");
    }
}

/// Sends one write of each order that is admitted, every 10 ms; counts by order.
fn send_all_admitted(
    limiter: &mut RateLimiter,
    priorities: &[WritePriority],
    from_s: f64,
    for_s: f64,
) -> ([u32; 4], [f64; 4]) {
    let (mut sent, mut last, mut gap) = ([0; 4], [from_s; 4], [0.0; 4]);
    let mut t = from_s;
    while t < from_s + for_s {
        for o in priorities {
            while limiter.admits(*o, s(t)) {
                limiter.charge(s(t), 1.0);
                let n = *o as usize;
                gap[n] = f64::max(gap[n], t - last[n]);
                (sent[n], last[n]) = (sent[n] + 1, t);
                if *o == WritePriority::Services {
                    // What arrays have goes along.
                    let n = WritePriority::Arrays as usize;
                    (gap[n], last[n]) = (f64::max(gap[n], t - last[n]), t);
                }
            }
        }
        t += 0.01;
    }
    priorities.iter().for_each(|o| gap[*o as usize] = f64::max(gap[*o as usize], t - last[*o as usize]));
    (sent, gap)
}

/// A crowd of users kept the level below nothing, and arrays were not started at all.
#[test]
fn priorities_are_respected_without_starvation() {
    for rate in [1.2, 6.0, 45.0] {
        let mut limiter = RateLimiter::new(rate);
        let (sent, gap) = send_all_admitted(&mut limiter, &WritePriority::ALL, 0.0, 60.0);
        let longest = (OVERDUE_WRITES / rate).max(OVERDUE_MIN_S) + 4.0 / rate;
        assert!(gap.iter().all(|g| *g <= longest + 0.1), "{rate}: {sent:?} {gap:?}");
        let all: u32 = sent.iter().sum();
        assert!(sent[0] > sent[1..].iter().max().unwrap() * 3 / 2, "{rate}: the first do not go first: {sent:?}");
        assert!(sent[0] * 4 >= all, "{rate}: the first have less than a quarter: {sent:?}");
        assert!(f64::from(all) <= rate * 62.0 + 1.0, "{rate}: {sent:?}");
    }
}

/// One who was refused and does not come back keeps nothing free.
#[test]
fn a_waiting_priority_that_stops_asking_is_dropped() {
    let mut limiter = RateLimiter::new(6.0);
    limiter.charge(s(0.0), 9.0);
    assert!(!limiter.admits(WritePriority::Arrays, s(0.0)));
    limiter.charge(s(5.0), 100.0);
    // A token: the first may have it at once.
    assert!(limiter.admits(WritePriority::Critical, s(5.0 + 1.01 / 6.0)));
}

/// All controllers are back at the same moment: their bursts and their debts came
/// together, and the store refused most of them.
#[test]
fn after_an_outage_all_controllers_stay_within_the_burst() {
    let mut limiters: Vec<RateLimiter> = (0..7).map(|_| RateLimiter::new(45.0 / 8.0)).collect();
    let mut sent = 0;
    for limiter in &mut limiters {
        limiter.store_is_back(s(70.0));
        sent += send_all_admitted(limiter, &WritePriority::ALL, 70.0, 0.01).0.iter().sum::<u32>();
        assert!(limiter.admits(WritePriority::Arrays, s(70.0 + 3.0)), "arrays wait for longer than three seconds");
    }
    assert!((35..=45).contains(&sent), "{sent}");
}
