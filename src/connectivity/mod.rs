//! Who reaches whom, as one controller can know it: what its own calls and
//! callers tell it, and what the other controllers say they see. From it follow
//! accounts of what is wrong (a controller that is deaf, a zone that is cut, a
//! machine that is dead, a store that refuses all), or that it is undecided, and
//! then the careful act is taken. Pure: beats and times come in, accounts go out.
//! Ways weighed and what each cut looks like: `docs/notes/links.md`.
//!
//! No rule rests on an account alone. What is decided here costs time or money
//! when it is wrong, never a task in two places: that is fenced by fencing tokens.

pub mod account;
pub mod arrivals;
pub mod fit;
pub mod hearing;
pub mod table;
