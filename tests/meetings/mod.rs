//! Troubles that meet, as the operators named them (`docs/notes/meetings.md` has a
//! table of meetings, guards and tests). The world checks the rules at every step.

mod gap;
