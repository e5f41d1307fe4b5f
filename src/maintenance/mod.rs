//! Emptying and replacing machines in steps, while people use what runs there: what
//! a team agreed to miss at a time, and which machines go next. Pure: what is known
//! of machines and teams comes in, steps come out; the leader alone writes them down.
//! Why it is done so stands in `docs/notes/drains.md`.
//!
//! Invariant: a replica is stopped for a campaign only under a ticket; tickets are
//! written by the leader in the transaction that takes them from the budget, and a
//! team never has more of them than its budget leaves beside what is away by itself.

pub mod budget;
pub mod campaign;
