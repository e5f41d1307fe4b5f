//! An accrual detector over arrivals: how unlikely it is, given the intervals
//! seen so far, that the next one is still to come. The scale follows what is
//! seen, so that a slow sender is not suspected for being slow.

use std::time::Duration;

/// Weight of the newest interval in the running mean and variance.
const GAIN: f64 = 0.1;
/// The spread is taken to be no less than this part of the mean: timers fire in
/// steps, and a sender under load is late by a good part of an interval.
const LEAST_SPREAD: f64 = 0.25;

#[derive(Debug, Clone)]
pub struct Arrivals {
    mean_s: f64,
    var_s2: f64,
    last: Option<Duration>,
}

impl Arrivals {
    /// `expected`: the interval that the sender aims at.
    pub fn new(expected: Duration) -> Arrivals {
        let mean_s = expected.as_secs_f64().max(0.001);
        Arrivals { mean_s, var_s2: (mean_s * LEAST_SPREAD).powi(2), last: None }
    }

    pub fn arrived(&mut self, now: Duration) {
        if let Some(last) = self.last.replace(now) {
            // One long silence says nothing of the intervals after it.
            let took_s = now.saturating_sub(last).as_secs_f64().min(self.mean_s * 4.0);
            let off = took_s - self.mean_s;
            self.mean_s += GAIN * off;
            self.var_s2 += GAIN * (off * off - self.var_s2);
        }
    }

    /// Minus the decimal logarithm of the chance that something which arrives at
    /// all arrives later than now; infinite before the first arrival.
    pub fn suspicion(&self, now: Duration) -> f64 {
        let Some(last) = self.last else { return f64::INFINITY };
        let spread = self.var_s2.sqrt().max(self.mean_s * LEAST_SPREAD);
        let y = (now.saturating_sub(last).as_secs_f64() - self.mean_s) / spread;
        // The logistic approximation of the normal distribution's tail.
        let e = (-y * (1.5976 + 0.070566 * y * y)).exp();
        let later = if y > 0.0 { e / (1.0 + e) } else { 1.0 - 1.0 / (1.0 + e) };
        if later > 0.0 { -later.log10() } else { f64::INFINITY }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};

    fn s(x: f64) -> Duration {
        Duration::from_secs_f64(x)
    }

    /// Beats of a process that is sometimes late by half an interval, as recorded
    /// under load: at a suspicion of 3 a silent one is noticed within three
    /// intervals, and in ten thousand beats hardly one raises it falsely.
    #[test]
    fn silence_is_noticed_and_lateness_is_not_silence() {
        let mut rng = StdRng::seed_from_u64(5);
        let (mut a, mut now, mut alarms) = (Arrivals::new(s(4.0)), 0.0, 0);
        for _ in 0..10_000 {
            let late = if rng.random_bool(0.05) { rng.random_range(0.0..2.0) } else { 0.0 };
            now += 4.0 + rng.random_range(-0.05..0.05) + late;
            alarms += u32::from(a.suspicion(s(now)) > 3.0);
            a.arrived(s(now));
        }
        assert!(alarms <= 3, "{alarms} false alarms");
        assert!(a.suspicion(s(now + 4.0)) < 3.0);
        assert!(a.suspicion(s(now + 12.0)) > 3.0);
        a.arrived(s(now + 60.0));
        assert!(a.suspicion(s(now + 62.0)) < 1.0, "one silence made it blind");
    }

    #[test]
    fn a_slow_sender_is_not_suspected_for_being_slow() {
        let mut a = Arrivals::new(s(1.0));
        (1..60).for_each(|n| a.arrived(s(f64::from(n) * 3.0)));
        assert!(a.suspicion(s(180.0)) < 1.0 && a.suspicion(s(59.0 * 3.0 + 9.0)) > 3.0);
        assert_eq!(Arrivals::new(s(1.0)).suspicion(s(1.0)), f64::INFINITY);
    }
}
