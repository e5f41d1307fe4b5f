//! Whether the load balancer should send users to this controller.
//!
//! The load balancer takes a controller out of rotation after two failed probes, one per
//! second, for at least three seconds, and for twice as long with each further time within two
//! minutes. A process that is back within a fraction of a second is ready before the second
//! probe, and must not lose its users because it was probed in between. So a start counts as
//! healthy until another controller is known to serve them better.
//!
//! - A process younger than the interval of probes is healthy: it is about to be ready.
//! - With a replica of the state: healthy while the replica is fresh. While it is stale, healthy
//!   as long as this controller may still act and no other one has a much fresher replica, or
//!   if all are as stale. A controller that has lost the state service and hears no other
//!   controller is isolated: users go elsewhere.
//! - Without a replica: unhealthy once another controller reports a fresh one, or once the start
//!   has taken long, unless an outage is known to affect all of them.

use std::time::Duration;

/// The interval of the load balancer's probes (PROTOCOL).
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// What this controller knows of itself and of the others.
#[derive(Debug, Clone)]
pub struct Facts {
    /// Time since the process started.
    pub age: Duration,
    /// The stored state is read completely, and followed.
    pub loaded: bool,
    /// The greatest possible age of our replica; `None` before it was first proved fresh.
    pub stale: Option<Duration>,
    /// There are other controllers.
    pub has_others: bool,
    /// The ages of the replicas of the other controllers that were heard from recently.
    pub others: Vec<Duration>,
    /// This controller may act for the cluster.
    pub entitled: bool,
    /// The state service counts as unavailable.
    pub store_away: bool,
    /// Replicas up to this age count as fresh; a start that takes longer is a long one.
    pub margin: Duration,
}

impl Facts {
    /// All other controllers that were heard from have stale replicas.
    fn no_other_is_fresh(&self) -> bool {
        self.others.iter().all(|age| *age > self.margin)
    }

    /// Others report that they are no better off. Then the first request after the outage
    /// finds a controller in rotation, and need not wait for probes.
    fn outage_is_shared(&self) -> bool {
        !self.others.is_empty() && self.no_other_is_fresh()
    }
}

/// Whether this controller should get requests of users.
pub fn healthy(facts: &Facts) -> bool {
    let fresh = facts.loaded && facts.stale.is_some_and(|age| age < facts.margin);
    if facts.age < PROBE_INTERVAL || fresh {
        return true;
    }
    if facts.loaded { healthy_with_stale_replica(facts) } else { healthy_while_starting(facts) }
}

fn healthy_with_stale_replica(facts: &Facts) -> bool {
    let ours = facts.stale.unwrap_or(Duration::MAX);
    let isolated = facts.has_others && facts.others.is_empty();
    let another_is_fresher = facts.others.iter().any(|age| age.saturating_add(facts.margin) < ours);
    !another_is_fresher && !isolated && (facts.entitled || facts.outage_is_shared())
}

fn healthy_while_starting(facts: &Facts) -> bool {
    let quick_start = facts.age < facts.margin;
    facts.no_other_is_fresh() && quick_start || facts.outage_is_shared() && facts.store_away
}

#[cfg(test)]
mod tests;
