//! Troubles that meet, as the operators named them (`docs/notes/meetings.md` has a
//! table of meetings, guards and tests). The world checks the rules at every step.

mod drawn;
mod gap;
mod late;
mod leaders;

use super::world::{Job, LEASE_S, SMALL, Size, World, s};

fn fleet(seed: u64, controllers: usize, machines: u32) -> World {
    let size = Size { controllers, machines, write_rps: 60.0, txn_ops: 24, zones: &["a", "b"], ..SMALL };
    let mut w = World::sized(seed, size);
    w.cloud.most = machines as usize + 10;
    w
}

/// All jobs that somebody waits for are over, and every machine is answered again.
fn all_over(w: &World) {
    let mute: Vec<&str> =
        w.workers.values().filter(|x| w.now > x.lease_from + s(LEASE_S)).map(|x| x.name.as_str()).collect();
    assert!(mute.is_empty(), "seed {}: nobody whom they listen to answers {mute:?}", w.seed);
    for (uid, j) in &w.jobs {
        let over = j.told_done || j.withdrawn_at.is_some() || j.standing && !j.withdraw_asked;
        assert!(over, "seed {}: {uid} is not over: {j:?}", w.seed);
    }
}

/// Its user asks to withdraw it, by this controller alone where one is named.
fn withdraw(w: &mut World, uid: &str, via: Option<usize>) {
    let j: &mut Job = w.jobs.get_mut(uid).expect("was submitted");
    (j.withdraw_asked, j.via) = (true, via);
}
