//! A start: the stored state and the workers' reports are squared, machine by
//! machine, and what needs the whole fleet waits until enough of it is known.
//! Pure: facts and the time come in, phases, cases and acts go out. Why it is
//! done so stands in `docs/notes/cold-start.md`.

pub mod difference;
pub mod phase;
