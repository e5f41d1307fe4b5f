//! Bounds that a fleet of thousands of machines meets, played small: pages, bursts and
//! messages are scaled down, the controllers are as they are (`docs/notes/limits.md`).

use crate::world::cloud::Paged;
use crate::world::helpers::running;
use crate::world::{SMALL, Size, World, bytes, s, service};
use ciborium::cbor;
use finchquay::effects::{Action, Event};
use finchquay::protocol::peer::{self, Frame};

/// Pages that 4,000 and 8,000 machines take, at 500 machines a page.
const PAGES: [u32; 2] = [8, 16];
/// Machines that one controller hears.
const HEARD: u64 = 8_000;

/// The cloud takes six requests in one burst, and a list of 4,000 machines has eight
/// pages: the seventh was refused, the list was begun anew, and it never came to its
/// end. Without a list nothing is rented and nothing is returned.
#[test]
fn a_list_of_more_pages_than_a_burst_comes_to_its_end() {
    for (seed, pages) in (70..).zip(PAGES) {
        let page = 5;
        let machines = pages * page - 1;
        let mut w = World::sized(seed, Size { machines, ..SMALL });
        w.cloud.most = machines as usize + 20;
        w.cloud.paged = Some(Paged::new(page as usize, 3.0));
        w.run_until(30.0);
        // More than stands there: the rest has to be rented.
        let tasks = machines * 8 + 40;
        w.submit("run-009", service(tasks));
        w.run_until(90.0);
        assert!(w.cloud.machines.len() > machines as usize, "{pages} pages: nothing was rented");
        assert_eq!(running(&w, "run-009"), tasks as usize, "{pages} pages");
    }
}

/// One of three controllers hears 8,000 machines, as while the others are deaf. What it
/// tells them was above what they read, and they dropped the connection at each heartbeat.
#[test]
fn a_controller_that_hears_thousands_of_machines_is_understood() {
    let mut controller = World::sized(72, SMALL).nodes[0].logic.take().unwrap();
    let mut actions = Vec::new();
    for heartbeat_seq in 1..=2 {
        for n in 0..HEARD {
            let report = bytes(
                &cbor!({"perch" => format!("machine-of-a-fleet-with-long-names-{n:05}"), "addr" => "10.1.0.232:9000",
                    "build" => "std", "site" => "a", "loaners" => false, "shift" => 1, "tally" => heartbeat_seq,
                    "warrant" => 0, "recall_s" => null, "parcels" => []})
                .unwrap(),
            );
            let (method, path) = ("POST".into(), "/checkin".into());
            controller.handle(s(1.0), Event::Request { conn: n, method, path, body: report }, &mut actions);
        }
    }
    actions.clear();
    controller.handle(s(2.0), Event::Tick, &mut actions);
    let mut heartbeats = 0;
    for action in actions {
        let Action::Send { frame, .. } = action else { continue };
        let mut sent = peer::encode(&frame);
        let Ok(Some(Frame::PeerHeartbeat(heartbeat))) = peer::decode(&mut sent) else {
            panic!("a frame that nobody reads")
        };
        assert!(
            heartbeat.recent_machines.len() > 3_000 && heartbeat.recent_machines.len() < HEARD as usize,
            "{} machines",
            heartbeat.recent_machines.len()
        );
        heartbeats += 1;
    }
    assert_eq!(heartbeats, 2, "one to each of the others");
}
