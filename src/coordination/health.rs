//! Decides whether the load balancer should send users to this controller.
//!
//! The load balancer takes a controller out of rotation after two failed probes, one per
//! second, for at least three seconds, and for twice as long each further time within two
//! minutes. A process that restarts within a fraction of a second is ready before the second
//! probe, and must not lose its users to a probe that came during the restart. Therefore a
//! starting controller counts as healthy until another one is known to serve users better.
//!
//! - A process that is younger than the interval between two probes is healthy, because it is
//!   about to be ready.
//! - A controller with a fresh replica of the state is healthy. With a stale replica it is
//!   healthy as long as no other controller has a much fresher one, and either it may still act
//!   or the replicas of all others are stale too. A controller that has lost the state service
//!   and hears no other controller is isolated and therefore unhealthy.
//! - A controller without a replica is unhealthy once another controller reports a fresh one, or
//!   once its start has taken long, unless an outage is known to affect all controllers.

#![warn(missing_docs)]

use std::time::Duration;

/// The interval between two probes of the load balancer, fixed by the protocol.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// What this controller knows about itself and about the other controllers.
#[derive(Debug, Clone)]
pub struct HealthInputs {
    /// Time since the process started.
    pub uptime: Duration,
    /// Whether the stored state has been read completely and is being followed.
    pub loaded: bool,
    /// The greatest possible age of this controller's replica; `None` until it was first proved
    /// fresh.
    pub staleness: Option<Duration>,
    /// Whether other controllers are configured.
    pub has_others: bool,
    /// The greatest possible ages of the replicas of the other controllers that were heard from
    /// recently.
    pub other_staleness: Vec<Duration>,
    /// Whether this controller may act for the cluster.
    pub may_act: bool,
    /// Whether the state service counts as unavailable.
    pub store_unavailable: bool,
    /// Replicas younger than this count as fresh, and starts shorter than this as quick.
    pub freshness_limit: Duration,
}

impl HealthInputs {
    /// Whether all other controllers that were heard from have stale replicas.
    fn no_other_is_fresh(&self) -> bool {
        self.other_staleness.iter().all(|age| *age > self.freshness_limit)
    }

    /// Whether other controllers report that their replicas are stale too. This controller then
    /// stays in rotation, so that the first request after the outage need not wait for probes.
    fn outage_is_shared(&self) -> bool {
        !self.other_staleness.is_empty() && self.no_other_is_fresh()
    }
}

/// Whether the load balancer should send users' requests to this controller.
pub fn is_healthy(inputs: &HealthInputs) -> bool {
    let fresh = inputs.loaded && inputs.staleness.is_some_and(|age| age < inputs.freshness_limit);
    if inputs.uptime < PROBE_INTERVAL || fresh {
        return true;
    }
    if inputs.loaded { healthy_with_stale_replica(inputs) } else { healthy_while_starting(inputs) }
}

/// The rule for a controller that has a complete but stale replica.
fn healthy_with_stale_replica(inputs: &HealthInputs) -> bool {
    let own_staleness = inputs.staleness.unwrap_or(Duration::MAX);
    let isolated = inputs.has_others && inputs.other_staleness.is_empty();
    let another_is_fresher =
        inputs.other_staleness.iter().any(|age| age.saturating_add(inputs.freshness_limit) < own_staleness);
    !another_is_fresher && !isolated && (inputs.may_act || inputs.outage_is_shared())
}

/// The rule for a controller that has not read the stored state completely.
fn healthy_while_starting(inputs: &HealthInputs) -> bool {
    let quick_start = inputs.uptime < inputs.freshness_limit;
    inputs.no_other_is_fresh() && quick_start || inputs.outage_is_shared() && inputs.store_unavailable
}

#[cfg(test)]
mod tests;
