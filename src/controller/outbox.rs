//! Actions that wait to be carried out, and calls that wait for their answer.

use super::Purpose;
use crate::effects::{Action, CallId};
use std::collections::HashMap;

/// What the event loop is to do, and why each open call was made.
#[derive(Debug)]
pub(super) struct Outbox {
    /// Actions since the last event.
    pub(super) actions: Vec<Action>,
    /// Id of the next call; ids are never reused.
    pub(super) next_call: CallId,
    /// Calls without an answer, and what their answer means.
    pub(super) calls: HashMap<CallId, Purpose>,
}

impl Outbox {
    /// Nothing to do and nothing under way.
    pub(super) fn new() -> Outbox {
        Outbox { actions: Vec::new(), next_call: 1, calls: HashMap::new() }
    }
}
