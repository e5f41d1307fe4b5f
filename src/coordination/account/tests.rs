//! The account of writes: what may go, in which order, and what a refusal costs.

use super::*;

fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

/// In an outage each controller sent hundreds of cancellations that the store refused, and
/// paid them off for a minute at seven a second: nothing else was written meanwhile.
#[test]
fn what_was_refused_costs_nothing() {
    let mut a = Account::new(6.0);
    for n in 0..400 {
        let charge = a.charge(s(10.0), 1.0);
        assert!(a.level(s(10.0)) >= -6.0, "{n} writes of debt");
        a.give_back(s(10.0), charge);
    }
    assert_eq!(a.level(s(10.0)), 6.0);
    // Not even where all were under way at once: what was forgiven is not given back.
    let charges: Vec<Charge> = (0..400).map(|_| a.charge(s(20.0), 1.0)).collect();
    assert_eq!(a.level(s(20.0)), -6.0);
    charges.into_iter().for_each(|c| a.give_back(s(20.0), c));
    assert_eq!(a.level(s(20.0)), 6.0);
}

/// Without an answer they stay charged, and a second later anything goes.
#[test]
fn a_debt_is_never_more_than_one_seconds_worth() {
    for rate in [0.3, 1.0, 6.0, 400.0] {
        let mut a = Account::new(rate);
        (0..50).for_each(|_| _ = a.charge(s(1.0), 24.0));
        let worth = rate.max(1.0);
        assert_eq!(a.level(s(1.0)), -worth);
        assert!(!a.admits(WritePriority::First, s(1.0)));
        assert!(a.admits(WritePriority::First, s(1.01 + 1.0 / rate)), "{rate}");
        assert!(a.has(s(1.1 + 2.0 * worth / rate), 1000.0), "{rate}: never full again");
    }
}

/// Sends one write of each order that is admitted, every 10 ms; counts by order.
fn crowd(a: &mut Account, commands: &[WritePriority], from_s: f64, for_s: f64) -> ([u32; 4], [f64; 4]) {
    let (mut sent, mut last, mut gap) = ([0; 4], [from_s; 4], [0.0; 4]);
    let mut t = from_s;
    while t < from_s + for_s {
        for o in commands {
            while a.admits(*o, s(t)) {
                a.charge(s(t), 1.0);
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
    commands.iter().for_each(|o| gap[*o as usize] = f64::max(gap[*o as usize], t - last[*o as usize]));
    (sent, gap)
}

/// A crowd of users kept the level below nothing, and arrays were not started at all.
#[test]
fn what_comes_first_goes_first_and_nothing_starves() {
    for rate in [1.2, 6.0, 45.0] {
        let mut a = Account::new(rate);
        let (sent, gap) = crowd(&mut a, &WritePriority::ALL, 0.0, 60.0);
        let longest = (PATIENCE_WRITES / rate).max(PATIENCE_S) + 4.0 / rate;
        assert!(gap.iter().all(|g| *g <= longest + 0.1), "{rate}: {sent:?} {gap:?}");
        let all: u32 = sent.iter().sum();
        assert!(sent[0] > sent[1..].iter().max().unwrap() * 3 / 2, "{rate}: the first do not go first: {sent:?}");
        assert!(sent[0] * 4 >= all, "{rate}: the first have less than a quarter: {sent:?}");
        assert!(f64::from(all) <= rate * 62.0 + 1.0, "{rate}: {sent:?}");
    }
}

/// One who was refused and does not come back keeps nothing free.
#[test]
fn who_went_away_is_not_waited_for() {
    let mut a = Account::new(6.0);
    a.charge(s(0.0), 9.0);
    assert!(!a.admits(WritePriority::Arrays, s(0.0)));
    a.charge(s(5.0), 100.0);
    // A token: the first may have it at once.
    assert!(a.admits(WritePriority::First, s(5.0 + 1.01 / 6.0)));
}

/// All controllers are back at the same moment: their bursts and their debts came
/// together, and the store refused most of them.
#[test]
fn after_an_outage_all_together_stay_within_the_burst() {
    let mut accounts: Vec<Account> = (0..7).map(|_| Account::new(45.0 / 8.0)).collect();
    let mut sent = 0;
    for a in &mut accounts {
        a.store_is_back(s(70.0));
        sent += crowd(a, &WritePriority::ALL, 70.0, 0.01).0.iter().sum::<u32>();
        assert!(a.admits(WritePriority::Arrays, s(70.0 + 3.0)), "arrays wait for longer than three seconds");
    }
    assert!((35..=45).contains(&sent), "{sent}");
}
