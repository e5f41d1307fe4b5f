//! Actions that wait to be carried out, and calls that wait for their answer.

use crate::connectivity::heartbeat_tracking::At;
use crate::controller::transactions::PendingTransaction;
use crate::effects::{Action, CallId, NoAnswer, Reply, Target};
use crate::protocol::user::ErrorBody;
use crate::retry::{Outcome, Purpose as Retry};
use std::collections::HashMap;
use std::time::Duration;

/// What the cloud says where it has no more machines of an offer.
const NO_CAPACITY: &str = "no capacity";

/// Why a call was made; decides what its answer means.
#[derive(Debug)]
pub(super) enum Purpose {
    /// A new lease at the store.
    Lease,
    /// The renewal of that lease.
    Renew,
    /// A page of the snapshot read.
    Scan,
    /// The next changes of the store.
    Watch,
    /// A read that proves the replica fresh.
    Barrier,
    /// The machine types that the cloud offers.
    Catalog,
    /// The machines that the cloud runs for us.
    List,
    /// A provisioning request.
    Rent { offer: crate::scaling::Offer, number: u32 },
    /// The return of machines to the cloud.
    Release { machines: Vec<String> },
    /// Commands for a worker, under the grant that allows them.
    Push { machine: String, grant: u64 },
    /// Whether a machine answers, and what: silent ones, unknown ones, and those that
    /// say less than was known when they were called.
    Probe { machine: String, known: At },
    /// A compare-and-swap of the store.
    Txn(PendingTransaction),
}

impl Purpose {
    /// What the retry policy knows it as; pushes to workers are voided, not repeated.
    pub(super) fn retry(&self) -> Option<Retry> {
        Some(match self {
            Purpose::Lease => Retry::Lease,
            Purpose::Renew => Retry::Renew,
            Purpose::Scan => Retry::Scan,
            Purpose::Watch => Retry::Watch,
            Purpose::Barrier => Retry::Barrier,
            Purpose::Catalog => Retry::Catalog,
            Purpose::List => Retry::List,
            Purpose::Rent { .. } => Retry::Rent,
            Purpose::Release { .. } => Retry::Release,
            Purpose::Txn(_) => Retry::Write,
            Purpose::Push { .. } | Purpose::Probe { .. } => return None,
        })
    }
}

/// How a call ended, for the retry policy.
pub(super) fn outcome(purpose: Retry, result: &Result<Reply, NoAnswer>) -> Outcome {
    match result {
        Err(NoAnswer) => Outcome::Failed,
        Ok(reply) if reply.status == 429 => Outcome::Limited,
        // A cloud that has no more of one offer is healthy.
        Ok(reply) if reply.status == 503 && purpose == Retry::Rent && has_no_capacity(reply) => Outcome::Answered,
        Ok(reply) if reply.status == 503 => Outcome::Failed,
        Ok(_) => Outcome::Answered,
    }
}

fn has_no_capacity(reply: &Reply) -> bool {
    crate::protocol::decode::<ErrorBody>(&reply.body).is_ok_and(|error| error.error == NO_CAPACITY)
}

/// What the event loop is to do, and why each open call was made.
#[derive(Debug)]
pub(super) struct Outbox {
    /// Actions since the last event.
    actions: Vec<Action>,
    /// Id of the next call; ids are never reused.
    next_call: CallId,
    /// Calls without an answer, and what their answer means.
    calls: HashMap<CallId, Purpose>,
}

impl Outbox {
    /// Nothing to do and nothing under way.
    pub(super) fn new() -> Outbox {
        Outbox { actions: Vec::new(), next_call: 1, calls: HashMap::new() }
    }

    /// Appends an action that nobody answers.
    pub(super) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Starts a call, and remembers what its answer means.
    pub(super) fn call(
        &mut self,
        target: Target,
        method: &'static str,
        path: String,
        body: Option<Vec<u8>>,
        timeout: Duration,
        purpose: Purpose,
    ) -> CallId {
        let id = self.next_call;
        self.next_call += 1;
        self.calls.insert(id, purpose);
        self.actions.push(Action::Call { id, target, method, path, body, timeout });
        id
    }

    /// The id that the next call will have: a number that no earlier call had.
    pub(super) fn next_call_id(&self) -> CallId {
        self.next_call
    }

    /// Ends a call; `None` where it has ended before.
    pub(super) fn end_call(&mut self, id: CallId) -> Option<Purpose> {
        self.calls.remove(&id)
    }

    /// Hands the actions over, in the order in which they were decided.
    pub(super) fn drain_into(&mut self, actions: &mut Vec<Action>) {
        actions.append(&mut self.actions);
    }
}

#[cfg(test)]
mod tests;
