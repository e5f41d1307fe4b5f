//! Faults that overlap, in the combinations that operators reported (`docs/notes/meetings.md`
//! has a table of combinations, guards and tests). The world checks the rules at every step.

#![warn(missing_docs)]

mod answers;
mod cancellations;
mod capacity;
mod command_copies;
mod copies;
pub mod drawn;
mod gap;
mod late;
mod leaders;
mod machines;
mod outage;
mod suspensions;
mod troubles;

use super::world::helpers::{all_over, cancel, fleet};
