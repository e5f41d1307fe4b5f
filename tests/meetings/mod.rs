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

use super::known::fleet;
use super::world::{Job, LEASE_S, World, s};

/// All jobs that somebody waits for are over, and every machine is answered again.
fn all_over(w: &World) {
    let mute: Vec<&str> =
        w.workers.values().filter(|x| w.now > x.lease_from + s(LEASE_S)).map(|x| x.name.as_str()).collect();
    assert!(mute.is_empty(), "seed {}: nobody whom they listen to answers {mute:?}", w.seed);
    for (uid, j) in &w.jobs {
        let over = j.confirmed_done || j.cancelled_at.is_some() || j.standing && !j.cancel_asked;
        assert!(over, "seed {}: {uid} is not over: {j:?}", w.seed);
    }
}

/// Its user asks to cancel it, by this controller alone where one is named.
fn cancel(w: &mut World, uid: &str, via: Option<usize>) {
    let j: &mut Job = w.jobs.get_mut(uid).expect("was submitted");
    (j.cancel_asked, j.via) = (true, via);
}
