//! Maintenance: machines are drained and replaced in steps while the services on them stay
//! in use. Disruption budgets limit how many of a team's replicas may be away at a time, and
//! campaigns decide which machines are drained next. The code is pure: the state of machines
//! and teams is passed in, steps are returned, and only the leader writes them to the store.
//! `docs/notes/drains.md` gives the reasons for this design.
//!
//! Invariant: a replica is stopped for a campaign only with a permit. The leader writes
//! permits in the transaction that takes them from the budget. A team never has more permits
//! than its budget leaves beside the replicas that are away because of failures.

#![warn(missing_docs)]

pub mod budget;
pub mod campaign;
