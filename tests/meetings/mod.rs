//! Troubles that meet, as the operators named them (`docs/notes/meetings.md` has a
//! table of meetings, guards and tests). The world checks the rules at every step.

mod answers;
mod cancellations;
mod capacity;
mod copies;
pub mod drawn;
mod gap;
mod late;
mod leaders;
mod machines;
mod outage;
mod troubles;

use super::world::helpers::{all_over, cancel, fleet};
