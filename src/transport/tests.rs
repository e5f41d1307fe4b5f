//! Watching the operator's file, and connections within the machine's limit.

use super::listeners::USER_LISTENER;
use super::network::Network;
use super::operator_file::OperatorFile;
use crate::config::Settings;
use crate::effects::{Action, CallId, Event, Target};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll};
use std::io::{Read, Write};
use std::path::Path;
use std::time::Duration;

/// A typing error in the operator's file must end neither the campaign that it states
/// nor the process.
#[test]
fn an_invalid_operator_file_leaves_the_settings_in_force() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("o.hcl");
    std::fs::write(&file, "campaign \"a\" {}").unwrap();
    let every = Duration::from_secs(2);
    let mut watched = OperatorFile::new(file.clone(), Vec::new(), every);
    let at = |n: u64| Duration::from_secs(2 * n);
    assert!(watched.poll(at(1)).is_none(), "nothing has changed");
    std::fs::write(&file, "campaign \"a\" { wawe = 3 }").unwrap();
    assert!(watched.poll(at(2)).is_none(), "refused");
    std::fs::write(&file, "budget \"nobody\" {}").unwrap();
    assert!(watched.poll(at(3)).is_none(), "no such team");
    std::fs::write(&file, "campaign \"b\" { wave = 3 }").unwrap();
    assert!(watched.poll(at(3)).is_none(), "not looked at yet");
    assert_eq!(watched.poll(at(4)).unwrap().campaign["b"].max_wave_size, 3);
    std::fs::remove_file(&file).unwrap();
    assert!(watched.poll(at(5)).is_none());
}

/// Sockets that the test's machine allows; settings take no fewer.
const SOCKETS: usize = 16;

fn network() -> Network {
    let text = format!(
        "member = \"perch-0\"\nzone = \"z\"\npublic_addr = \"127.0.0.1:0\"\npeer_bind = \"127.0.0.1:0\"\n\
         [outside]\ncloud = \"127.0.0.1:9\"\nstate = \"127.0.0.1:9\"\n[settings]\nzones = [\"z\"]\n\
         [settings.workers]\nreport_s = 2.0\nlease_s = 18.0\ngang_wait_s = 40.0\ngang_peer_s = 4.0\ncancel_s = 48.0\n\
         [settings.state]\nrps = 200.0\nwrite_rps = 80.0\nvalue_kb = 8.0\ntxn_ops = 32\n\
         [settings.cloud]\nrps = 3.0\nlist_lag_s = 8.0\n\
         [settings.machine_limits]\ncore_share = 0.08\nram_mb = 56.0\nmax_connections = {SOCKETS}\n"
    );
    let settings = Settings::parse(&text, Path::new("settings.toml")).unwrap();
    Network::new(&settings, Poll::new().unwrap())
}

/// Drives the sockets until `done`, for five seconds at most.
fn turn(net: &mut Network, mut done: impl FnMut(&mut Network) -> bool) {
    let mut ready = Events::with_capacity(256);
    let started = std::time::Instant::now();
    while !done(net) {
        assert!(started.elapsed() < Duration::from_secs(5), "nothing came");
        net.poll.poll(&mut ready, Some(Duration::from_millis(10))).unwrap();
        let tokens: Vec<usize> = ready.iter().map(|e| e.token().0).collect();
        tokens.into_iter().for_each(|token| net.drive(token));
    }
}

/// Calls a worker.
fn call(net: &mut Network, id: CallId, worker: &std::net::TcpListener) {
    let target = Target::Worker(worker.local_addr().unwrap());
    let timeout = Duration::from_secs(4);
    net.perform(Action::Call { id, target, method: "GET", path: "/show".into(), body: None, timeout });
}

/// The worker's side: takes a connection and answers the request on it.
fn serve(net: &mut Network, worker: &std::net::TcpListener) -> std::net::TcpStream {
    turn(net, |net| net.connections.values().all(|connection| connection.connected && connection.write.is_empty()));
    worker.set_nonblocking(true).unwrap();
    let (mut stream, _) = worker.accept().expect("nobody has dialled");
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    let mut request = [0; 1024];
    let _ = stream.read(&mut request).unwrap();
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    stream
}

/// Workers that listen and do not answer by themselves.
fn workers(count: usize) -> Vec<std::net::TcpListener> {
    (0..count).map(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap()).collect()
}

/// The calls that were answered since the last look.
fn answered(net: &mut Network) -> Vec<CallId> {
    let ok = |e: Event| match e {
        Event::CallEnded { id, result } => result.is_ok().then_some(id),
        _ => None,
    };
    std::mem::take(&mut net.events).into_iter().filter_map(ok).collect()
}

/// Each worker that was called kept a connection for two lease times: a controller with
/// 1,333 machines had more of them than sockets, and refused users and the store.
#[test]
fn idle_connections_to_workers_stay_within_the_machines_limit() {
    let mut net = network();
    let workers = workers(4 * SOCKETS);
    let mut kept = Vec::new();
    for (id, worker) in workers.iter().enumerate() {
        call(&mut net, id as CallId, worker);
        kept.push(serve(&mut net, worker));
        turn(&mut net, |net| !net.events.is_empty());
        assert_eq!(answered(&mut net), [id as CallId], "the oldest idle one is closed for it, no call is lost");
        assert!(net.connections.len() < SOCKETS, "{} connections", net.connections.len());
    }
    // One that was closed for others is dialled again.
    call(&mut net, 1000, &workers[0]);
    kept.push(serve(&mut net, &workers[0]));
    turn(&mut net, |net| !net.events.is_empty());
    assert_eq!(answered(&mut net), [1000]);
}

/// After its start a controller calls its whole shard at once. Calls beyond the limit wait
/// for those before them, and leave sockets for the store and for users.
#[test]
fn calls_beyond_the_limit_wait_in_the_queue() {
    let mut net = network();
    let workers = workers(3 * SOCKETS);
    for (id, worker) in workers.iter().enumerate() {
        call(&mut net, id as CallId, worker);
    }
    assert_eq!(net.connections.len(), net.max_connections);
    assert_eq!(net.queue.len(), workers.len() - net.max_connections);
    net.store = workers[0].local_addr().unwrap();
    let path = "/store/fq/none".into();
    let timeout = Duration::from_secs(4);
    net.perform(Action::Call { id: 1000, target: Target::Store, method: "GET", path, body: None, timeout });
    assert_eq!(net.connections.len(), net.max_connections + 1, "the store does not wait for workers");
    let mut kept = Vec::new();
    let mut done = Vec::new();
    for worker in &workers {
        kept.push(serve(&mut net, worker));
        turn(&mut net, |net| !net.events.is_empty());
        done.extend(answered(&mut net));
    }
    kept.push(serve(&mut net, &workers[0]));
    turn(&mut net, |net| !net.events.is_empty());
    done.extend(answered(&mut net));
    done.sort_unstable();
    let all: Vec<CallId> = (0..workers.len() as CallId).chain([1000]).collect();
    assert_eq!(done, all);
}

/// Four thousand workers over three controllers of 800 sockets: the connections that were
/// idle longest are closed, and those workers dial again.
#[test]
fn more_workers_than_sockets_are_all_served() {
    let mut net = network();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let mut users = TcpListener::bind(addr).unwrap();
    net.poll.registry().register(&mut users, USER_LISTENER, Interest::READABLE).unwrap();
    let mut kept = Vec::new();
    for n in 0..4 * SOCKETS {
        let mut worker = std::net::TcpStream::connect(addr).unwrap();
        worker.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
        turn(&mut net, |net| {
            net.accept_users(&users);
            !net.events.is_empty()
        });
        let Some(Event::Request { conn, .. }) = net.events.pop_front() else { panic!("no request of {n}") };
        net.perform(Action::Respond { conn, status: 200, body: Vec::new(), retry_after: None });
        let mut answer = [0; 12];
        worker.read_exact(&mut answer).unwrap();
        assert_eq!(&answer, b"HTTP/1.1 200", "worker {n}");
        assert!(net.servers <= net.max_servers && net.connections.len() <= net.max_connections);
        kept.push(worker);
    }
}
