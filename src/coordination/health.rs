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
mod tests;
