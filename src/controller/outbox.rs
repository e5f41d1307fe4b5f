//! Actions for the event loop, and calls in flight.

use crate::connectivity::heartbeat_tracking::HeartbeatCounters;
use crate::controller::transactions::PendingTransaction;
use crate::effects::{Action, CallId, Instant, NoAnswer, Reply, Target};
use crate::protocol::user::ErrorBody;
use crate::retry::{Outcome, Purpose as RetryPurpose};
use std::collections::HashMap;
use std::time::Duration;

/// The cloud's error message when it has no more machines of an offer.
const NO_CAPACITY: &str = "no capacity";

/// The purpose of a call, which decides how its result is handled.
#[derive(Debug)]
pub(super) enum CallPurpose {
    /// Requests a lease from the store.
    Lease,
    /// Renews the lease.
    Renew,
    /// Reads a page of the scan.
    Scan,
    /// Watches the store for its next changes.
    Watch,
    /// Reads the key that proves the replica fresh.
    Barrier,
    /// Reads the cloud's machine types.
    Catalog,
    /// Reads the cloud's list of this cluster's machines.
    List,
    /// Provisions machines.
    Rent {
        /// What is requested of the cloud.
        offer: crate::scaling::Offer,
        /// The number of machines.
        number: u32,
        /// When they are requested. The answer may be handled much later.
        requested_at: Instant,
    },
    /// Returns machines to the cloud.
    Release {
        /// The names of the machines.
        machines: Vec<String>,
    },
    /// Sends commands to a worker.
    Commands {
        /// The machine of the worker.
        machine: String,
        /// The epoch of the grant that permits the commands.
        grant: u64,
    },
    /// Asks a machine for its status: one that is silent, that has no record, or whose
    /// heartbeat says less than was known before.
    Probe {
        /// The machine's name.
        machine: String,
        /// The newest counters of the machine that were known when the probe was sent.
        known: HeartbeatCounters,
    },
    /// Sends a transaction to the store.
    Txn(PendingTransaction),
}

impl CallPurpose {
    /// The purpose under which the retry policy counts the call. `None` for calls to workers:
    /// if they fail, they are discarded rather than repeated.
    pub(super) fn retry_purpose(&self) -> Option<RetryPurpose> {
        Some(match self {
            CallPurpose::Lease => RetryPurpose::Lease,
            CallPurpose::Renew => RetryPurpose::Renew,
            CallPurpose::Scan => RetryPurpose::Scan,
            CallPurpose::Watch => RetryPurpose::Watch,
            CallPurpose::Barrier => RetryPurpose::Barrier,
            CallPurpose::Catalog => RetryPurpose::Catalog,
            CallPurpose::List => RetryPurpose::List,
            CallPurpose::Rent { .. } => RetryPurpose::Rent,
            CallPurpose::Release { .. } => RetryPurpose::Release,
            CallPurpose::Txn(_) => RetryPurpose::Write,
            CallPurpose::Commands { .. } | CallPurpose::Probe { .. } => return None,
        })
    }
}

/// How a call ended, as the retry policy counts it.
pub(super) fn retry_outcome(purpose: RetryPurpose, result: &Result<Reply, NoAnswer>) -> Outcome {
    match result {
        Err(NoAnswer) => Outcome::Failed,
        Ok(reply) if reply.status == 429 => Outcome::Limited,
        // A cloud that has no more machines of one offer is available.
        Ok(reply) if reply.status == 503 && purpose == RetryPurpose::Rent && has_no_capacity(reply) => {
            Outcome::Answered
        }
        Ok(reply) if reply.status == 503 => Outcome::Failed,
        Ok(_) => Outcome::Answered,
    }
}

/// Whether the cloud refused the request because it has no more machines of the offer.
fn has_no_capacity(reply: &Reply) -> bool {
    crate::protocol::decode::<ErrorBody>(&reply.body).is_ok_and(|error| error.error == NO_CAPACITY)
}

/// Collects the actions for the event loop, and keeps the purpose of each call in flight.
#[derive(Debug)]
pub(super) struct Outbox {
    /// Actions since the last event.
    actions: Vec<Action>,
    /// The id of the next call; ids are never reused.
    next_call: CallId,
    /// The purposes of the calls in flight.
    calls: HashMap<CallId, CallPurpose>,
}

impl Outbox {
    /// An outbox without actions and without calls in flight.
    pub(super) fn new() -> Outbox {
        Outbox { actions: Vec::new(), next_call: 1, calls: HashMap::new() }
    }

    /// Appends an action that has no result.
    pub(super) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Starts a call and remembers its purpose; returns its id.
    pub(super) fn call(
        &mut self,
        target: Target,
        method: &'static str,
        path: String,
        body: Option<Vec<u8>>,
        timeout: Duration,
        purpose: CallPurpose,
    ) -> CallId {
        let id = self.next_call;
        self.next_call += 1;
        self.calls.insert(id, purpose);
        self.actions.push(Action::Call { id, target, method, path, body, timeout });
        id
    }

    /// The id of the next call, which differs from the ids of all earlier calls.
    pub(super) fn next_call_id(&self) -> CallId {
        self.next_call
    }

    /// Ends a call and returns its purpose; `None` if the call has ended before.
    pub(super) fn end_call(&mut self, id: CallId) -> Option<CallPurpose> {
        self.calls.remove(&id)
    }

    /// Moves the collected actions to `actions`, in the order in which they were added.
    pub(super) fn drain_into(&mut self, actions: &mut Vec<Action>) {
        actions.append(&mut self.actions);
    }
}

#[cfg(test)]
mod tests;
