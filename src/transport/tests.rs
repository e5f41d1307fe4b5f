//! Detection of changes to the operator file, and the limits on connections.

use super::listeners::USER_LISTENER;
use super::network::Network;
use super::operator_file::OperatorFile;
use crate::config::Settings;
use crate::effects::{Action, CallId, Event, STATUS_TOO_LARGE, Target};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll};
use std::io::{Read, Write};
use std::path::Path;
use std::time::Duration;

/// A typing error in the operator file must end neither the process nor the campaign that the
/// file defines.
#[test]
fn an_invalid_operator_file_leaves_the_settings_in_force() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("o.hcl");
    std::fs::write(&file, "campaign \"a\" {}").unwrap();
    let check_interval = Duration::from_secs(2);
    let mut operator_file = OperatorFile::new(file.clone(), Vec::new(), check_interval);
    let check_time = |number: u64| Duration::from_secs(2 * number);
    assert!(operator_file.poll(check_time(1)).is_none(), "the file has not changed");
    std::fs::write(&file, "campaign \"a\" { wawe = 3 }").unwrap();
    assert!(operator_file.poll(check_time(2)).is_none(), "an unknown field is rejected");
    std::fs::write(&file, "budget \"nobody\" {}").unwrap();
    assert!(operator_file.poll(check_time(3)).is_none(), "an unknown team is rejected");
    std::fs::write(&file, "campaign \"b\" { wave = 3 }").unwrap();
    assert!(operator_file.poll(check_time(3)).is_none(), "no check is due");
    assert_eq!(operator_file.poll(check_time(4)).unwrap().campaign["b"].max_wave_size, 3);
    std::fs::remove_file(&file).unwrap();
    assert!(operator_file.poll(check_time(5)).is_none());
}

/// The socket limit of the machine in these tests; 16 is the minimum that the settings accept.
const SOCKETS: usize = 16;

/// Returns a network without connections, with the limits of a small machine.
fn test_network() -> Network {
    network_with_sockets(SOCKETS)
}

/// Returns a network without connections, on a machine with this socket limit.
fn network_with_sockets(sockets: usize) -> Network {
    let text = format!(
        "member = \"perch-0\"\nzone = \"z\"\npublic_addr = \"127.0.0.1:0\"\npeer_bind = \"127.0.0.1:0\"\n\
         [outside]\ncloud = \"127.0.0.1:9\"\nstate = \"127.0.0.1:9\"\n[settings]\nzones = [\"z\"]\n\
         [settings.workers]\nreport_s = 2.0\nlease_s = 18.0\ngang_wait_s = 40.0\ngang_peer_s = 4.0\ncancel_s = 48.0\n\
         [settings.state]\nrps = 200.0\nwrite_rps = 80.0\nvalue_kb = 8.0\ntxn_ops = 32\n\
         [settings.cloud]\nrps = 3.0\nlist_lag_s = 8.0\n\
         [settings.machine_limits]\ncore_share = 0.08\nram_mb = 56.0\nmax_connections = {sockets}\n"
    );
    let settings = Settings::parse(&text, Path::new("settings.toml")).unwrap();
    Network::new(&settings, Poll::new().unwrap())
}

/// Drives the sockets until `done` returns `true`, for at most five seconds.
fn drive_until(network: &mut Network, mut done: impl FnMut(&mut Network) -> bool) {
    let mut socket_events = Events::with_capacity(256);
    let started = std::time::Instant::now();
    while !done(network) {
        assert!(started.elapsed() < Duration::from_secs(5), "the condition was not met in time");
        network.poll.poll(&mut socket_events, Some(Duration::from_millis(10))).unwrap();
        let tokens: Vec<usize> = socket_events.iter().map(|event| event.token().0).collect();
        tokens.into_iter().for_each(|token| network.drive(token));
    }
}

/// Queues a call to a worker.
fn call_worker(network: &mut Network, id: CallId, worker: &std::net::TcpListener) {
    let target = Target::Worker(worker.local_addr().unwrap());
    let timeout = Duration::from_secs(4);
    network.perform(Action::Call { id, target, method: "GET", path: "/show".into(), body: None, timeout });
}

/// Plays the worker: accepts one connection and answers the request on it. Returns the stream,
/// which closes the connection when it is dropped.
fn accept_and_answer(network: &mut Network, worker: &std::net::TcpListener) -> std::net::TcpStream {
    drive_until(network, |network| {
        network.connections.values().all(|connection| connection.connected && connection.write_buffer.is_empty())
    });
    worker.set_nonblocking(true).unwrap();
    let (mut stream, _) = worker.accept().expect("no connection to the worker");
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    let mut request = [0; 1024];
    let _ = stream.read(&mut request).unwrap();
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    stream
}

/// Returns listeners of workers; [`accept_and_answer`] answers their calls.
fn listening_workers(count: usize) -> Vec<std::net::TcpListener> {
    (0..count).map(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap()).collect()
}

/// Removes all events and returns the ids of the calls among them that were answered.
fn take_answered(network: &mut Network) -> Vec<CallId> {
    let answered_id = |event: Event| match event {
        Event::CallEnded { id, result } => result.is_ok().then_some(id),
        _ => None,
    };
    std::mem::take(&mut network.events).into_iter().filter_map(answered_id).collect()
}

/// Guards against running out of sockets: each worker that was called kept an idle connection
/// for two lease times. A controller with 1,333 machines had more of these than sockets, and
/// neither accepted users nor reached the store.
#[test]
fn idle_connections_to_workers_stay_within_the_socket_limit() {
    let mut network = test_network();
    let workers = listening_workers(4 * SOCKETS);
    let mut open_streams = Vec::new();
    for (id, worker) in workers.iter().enumerate() {
        call_worker(&mut network, id as CallId, worker);
        open_streams.push(accept_and_answer(&mut network, worker));
        drive_until(&mut network, |network| !network.events.is_empty());
        assert_eq!(
            take_answered(&mut network),
            [id as CallId],
            "the oldest idle connection is closed for it, no call is lost"
        );
        assert!(network.connections.len() < SOCKETS, "{} connections", network.connections.len());
    }
    // A worker whose connection was closed for others is dialled again.
    call_worker(&mut network, 1000, &workers[0]);
    open_streams.push(accept_and_answer(&mut network, &workers[0]));
    drive_until(&mut network, |network| !network.events.is_empty());
    assert_eq!(take_answered(&mut network), [1000]);
}

/// A controller that has just started calls all workers of its shard at once. Calls beyond the
/// connection limit must wait until earlier ones are done, and leave sockets for the store and
/// for users.
#[test]
fn calls_beyond_the_limit_wait_in_the_queue() {
    let mut network = test_network();
    let workers = listening_workers(3 * SOCKETS);
    for (id, worker) in workers.iter().enumerate() {
        call_worker(&mut network, id as CallId, worker);
    }
    assert_eq!(network.connections.len(), network.max_connections);
    assert_eq!(network.queued_calls.len(), workers.len() - network.max_connections);
    network.store_address = workers[0].local_addr().unwrap();
    let path = "/store/fq/none".into();
    let timeout = Duration::from_secs(4);
    network.perform(Action::Call { id: 1000, target: Target::Store, method: "GET", path, body: None, timeout });
    assert_eq!(
        network.connections.len(),
        network.max_connections + 1,
        "the call to the store does not wait for workers"
    );
    let mut open_streams = Vec::new();
    let mut answered_ids = Vec::new();
    for worker in &workers {
        open_streams.push(accept_and_answer(&mut network, worker));
        drive_until(&mut network, |network| !network.events.is_empty());
        answered_ids.extend(take_answered(&mut network));
    }
    open_streams.push(accept_and_answer(&mut network, &workers[0]));
    drive_until(&mut network, |network| !network.events.is_empty());
    answered_ids.extend(take_answered(&mut network));
    answered_ids.sort_unstable();
    let all_ids: Vec<CallId> = (0..workers.len() as CallId).chain([1000]).collect();
    assert_eq!(answered_ids, all_ids);
}

/// 4,000 workers share three controllers with 800 sockets each, so a controller must serve more
/// workers than it has sockets. It closes the connections that have been idle longest, and
/// those workers connect again.
#[test]
fn more_workers_than_sockets_are_all_served() {
    let mut network = test_network();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let mut users = TcpListener::bind(address).unwrap();
    network.poll.registry().register(&mut users, USER_LISTENER, Interest::READABLE).unwrap();
    let mut open_streams = Vec::new();
    for number in 0..4 * SOCKETS {
        let mut worker = std::net::TcpStream::connect(address).unwrap();
        worker.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
        drive_until(&mut network, |network| {
            network.accept_users(&users);
            !network.events.is_empty()
        });
        let Some(Event::Request { conn, .. }) = network.events.pop_front() else {
            panic!("no request of worker {number}")
        };
        network.perform(Action::Respond { conn, status: 200, body: Vec::new(), retry_after: None });
        let mut answer = [0; 12];
        worker.read_exact(&mut answer).unwrap();
        assert_eq!(&answer, b"HTTP/1.1 200", "worker {number}");
        assert!(
            network.server_connections <= network.max_server_connections
                && network.connections.len() <= network.max_connections
        );
        open_streams.push(worker);
    }
}

/// A controller whose watch had fallen far behind got a response that was too large to be read, as
/// if it had got none, and asked for the same again and again. Such a call ends with a status.
#[test]
fn a_response_that_is_too_large_ends_the_call_with_a_status() {
    let mut network = test_network();
    let worker = listening_workers(1).remove(0);
    call_worker(&mut network, 1, &worker);
    drive_until(&mut network, |network| {
        network.connections.values().all(|connection| connection.connected && connection.write_buffer.is_empty())
    });
    let (mut stream, _) = worker.accept().expect("no connection to the worker");
    let length = network.response_limit + 1;
    stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").as_bytes()).unwrap();
    drive_until(&mut network, |network| !network.events.is_empty());
    let ended: Vec<Event> = std::mem::take(&mut network.events).into_iter().collect();
    assert!(
        matches!(&ended[..], [Event::CallEnded { id: 1, result: Ok(reply) }] if reply.status == STATUS_TOO_LARGE),
        "{ended:?}"
    );
    assert!(network.connections.is_empty(), "the rest of the response is not read");
}

/// A socket limit as large as the settings accept overflowed the number of connections of users and
/// workers, which became arbitrary.
#[test]
fn any_socket_limit_is_divided_without_overflow() {
    for sockets in [16, 17, 18, 19, 800, i64::MAX as usize] {
        let network = network_with_sockets(sockets);
        assert_eq!(network.max_server_connections as u128, sockets as u128 * 3 / 4, "{sockets}");
    }
}
