//! Whether the load balancer should send users here.
//!
//! It takes a node out after two failed probes, one a second, for three seconds at
//! the least and twice as long with each further time within two minutes. A process
//! that is back within a fraction of a second is ready before the second probe, and
//! must not lose its users for being asked in between; so a start counts as healthy
//! until it is known that somebody else could serve them better.
//!
//! - A process younger than a probe's interval is healthy: it is about to be ready.
//! - With a view: healthy while it is fresh; while it is not, as long as no other is
//!   much fresher and we may still act, or all are as badly off. One that has lost the
//!   state service and hears no other controller either is alone: users go elsewhere.
//! - Without one: unhealthy once another controller says that its view is fresh, or
//!   once the start has taken long, unless an outage is known to hit all.

use std::time::Duration;

/// The load balancer probes about once a second (PROTOCOL).
const PROBE: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
pub struct Facts {
    /// Time since the process started.
    pub age: Duration,
    /// The stored state is loaded and followed.
    pub loaded: bool,
    /// How old our view may be; none before the first proof.
    pub stale: Option<Duration>,
    /// There are other controllers.
    pub has_others: bool,
    /// How old the views of the others are that spoke of late.
    pub others: Vec<Duration>,
    /// This controller may act for all of them.
    pub entitled: bool,
    /// The state service counts as away.
    pub store_away: bool,
    /// Views this old count as fresh; a start this long as a long one.
    pub margin: Duration,
}

pub fn healthy(f: &Facts) -> bool {
    if f.age < PROBE || f.loaded && f.stale.is_some_and(|s| s < f.margin) {
        return true;
    }
    let none_fresh = f.others.iter().all(|t| *t > f.margin);
    // Others say that they are no better off: then the first request after the outage
    // finds a way in, and need not wait for probes.
    let shared = !f.others.is_empty() && none_fresh;
    if f.loaded {
        let ours = f.stale.unwrap_or(Duration::MAX);
        let alone = f.has_others && f.others.is_empty();
        let fresher = f.others.iter().any(|t| t.saturating_add(f.margin) < ours);
        !fresher && !alone && (f.entitled || shared)
    } else {
        none_fresh && f.age < f.margin || shared && f.store_away
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn s(x: f64) -> Duration {
        Duration::from_secs_f64(x)
    }

    fn starting(age: f64, others: &[f64]) -> Facts {
        let others = others.iter().map(|t| s(*t)).collect();
        let margin = s(3.0);
        Facts {
            age: s(age),
            loaded: false,
            stale: None,
            has_others: true,
            others,
            entitled: false,
            store_away: false,
            margin,
        }
    }

    /// All controllers were back within 0.2 s, and the load balancer took all of them
    /// out for having said once that they were not ready: for half a minute the fleet
    /// ran empty with nothing wrong.
    #[test]
    fn a_quick_start_keeps_its_users() {
        assert!(healthy(&starting(0.1, &[])), "nobody is known to be better off");
        assert!(healthy(&starting(0.4, &[1e9, 0.2])), "it is ready before the next probe");
        assert!(healthy(&starting(1.4, &[1e9, 1e9])), "all of them start");
        assert!(!healthy(&starting(1.4, &[1e9, 0.2])), "the others go on serving");
        assert!(!healthy(&starting(3.1, &[])), "a start that takes long is no quick one");
        assert!(!healthy(&starting(3.1, &[1e9])));
    }

    /// Without the state service nobody can load: users stay where they are.
    #[test]
    fn an_outage_of_all_takes_nobody_out() {
        assert!(healthy(&Facts { store_away: true, ..starting(20.0, &[30.0, 1e9]) }));
        assert!(!healthy(&Facts { store_away: true, ..starting(20.0, &[]) }), "nobody else says so");
        assert!(!healthy(&Facts { store_away: true, ..starting(20.0, &[0.1, 1e9]) }), "it is we alone");
    }

    #[test]
    fn whoever_alone_is_refused_by_the_store_goes_out() {
        let view = |stale: f64, others: &[f64], entitled| Facts {
            loaded: true,
            stale: Some(s(stale)),
            entitled,
            ..starting(100.0, others)
        };
        assert!(healthy(&view(1.0, &[0.5], true)));
        assert!(!healthy(&view(9.0, &[0.5, 9.0], true)), "one of the others is much fresher");
        assert!(healthy(&view(9.0, &[8.0, 9.0], true)));
        assert!(healthy(&view(40.0, &[39.0, 41.0], false)), "all are as badly off");
        assert!(!healthy(&view(40.0, &[], false)));
        // Without the store and without the others it is rather we who are cut off: users
        // asked in vain for as long as it might have acted.
        assert!(!healthy(&view(9.0, &[], true)));
        let single = Facts { has_others: false, ..view(9.0, &[], true) };
        assert!(healthy(&single), "nobody else could serve them");
    }
}
