//! Limits that a cluster of thousands of machines reaches, tested on a smaller scale: pages, bursts
//! and messages are scaled down, the controllers are unchanged (`docs/notes/limits.md`).

mod bodies;
mod numbers;

use crate::world::cloud::PagedList;
use crate::world::helpers::{done, running};
use crate::world::{Job, SMALL, Size, World, array, bytes, s, service};
use ciborium::{Value, cbor};
use finchquay::effects::{Action, Event};
use finchquay::protocol::peer::{self, Frame};

/// Numbers of pages in the lists of 4,000 and 8,000 machines, at 500 machines per page.
const PAGE_COUNTS: [u32; 2] = [8, 16];
/// Number of machines that send heartbeats to one controller.
const HEARD_MACHINES: u64 = 8_000;

/// Stores a value behind the controllers' backs, as an earlier version may have.
fn store(w: &mut World, key: &str, data: &Value) {
    let body = cbor!({"if" => [], "then" => [{"put" => key, "data" => data}]}).unwrap();
    assert!(w.store.apply(w.now, &body), "{key} was not stored");
}

/// Guards against a fault by which a list with more pages than the cloud admits requests in a
/// burst was never complete. The cloud admits six, and a list of 4,000 machines has eight pages:
/// the seventh request was refused, and the controller began the list again from the first page.
/// Without a complete list no machine is rented or returned.
#[test]
fn a_list_of_more_pages_than_a_burst_is_completed() {
    for (seed, pages) in (70..).zip(PAGE_COUNTS) {
        let page_size = 5;
        let machines = pages * page_size - 1;
        let mut w = World::sized(seed, Size { machines, ..SMALL });
        w.cloud.most = machines as usize + 20;
        w.cloud.paged_list = Some(PagedList::new(page_size as usize, 3.0));
        w.run_until(30.0);
        // The tasks need more machines than are up, so some must be rented.
        let tasks = machines * 8 + 40;
        w.submit("run-009", service(tasks));
        w.run_until(90.0);
        assert!(w.cloud.machines.len() > machines as usize, "{pages} pages: nothing was rented");
        assert_eq!(running(&w, "run-009"), tasks as usize, "{pages} pages");
    }
}

/// Guards against a fault by which controllers dropped the connection at each peer heartbeat of
/// one that hears 8,000 machines, because the frame exceeded the size that they accept. A
/// controller hears so many while the others hear none.
#[test]
fn peer_heartbeats_about_thousands_of_machines_are_readable() {
    let mut controller = World::sized(72, SMALL).nodes[0].controller.take().unwrap();
    let mut actions = Vec::new();
    for heartbeat_seq in 1..=2 {
        for n in 0..HEARD_MACHINES {
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
            panic!("the other controllers cannot read the frame")
        };
        assert!(
            heartbeat.recent_machines.len() > 3_000 && heartbeat.recent_machines.len() < HEARD_MACHINES as usize,
            "{} machines",
            heartbeat.recent_machines.len()
        );
        heartbeats += 1;
    }
    assert_eq!(heartbeats, 2, "one peer heartbeat goes to each of the other controllers");
}

/// Guards against a controller that never follows the store again: what its watch brings is too large
/// for its memory, so it reads the state in pages, and goes on from there.
#[test]
fn a_watch_that_brings_too_much_is_replaced_by_a_scan() {
    let mut w = World::sized(73, SMALL);
    w.run_until(10.0);
    // One controller falls behind by more changes than it can read at once.
    w.store.mute.insert(1);
    let revision = w.store.revision();
    for n in 0..20 {
        w.submit(&format!("run-{n:02}1"), Job { via: Some(0), ..array(1, 2.0) });
    }
    w.run_until(24.0);
    let missed = w.store.changes("", revision);
    assert!(missed > 20, "{missed} changes were missed");
    w.store.most_changes = Some(missed / 2);
    w.store.mute.clear();
    w.run_until(40.0);
    w.ask("run-001", 1);
    w.run_until(44.0);
    assert!(done(&w, "run-001"));
    assert_eq!(w.asked[&("run-001".to_string(), 1)], 200, "the controller does not know the job");
}
