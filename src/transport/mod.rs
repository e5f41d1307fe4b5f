//! Sockets, the clock and the event loop. Nothing else in the program touches
//! either; the controller's logic gets events and hands back actions. Every
//! connection has a deadline and a cap on what it may buffer.

pub mod http;

use crate::controller::Controller;
use crate::effects::{Action, CallId, ConnId, Event, Instant, NoAnswer, Reply, Target};
use crate::protocol::{BODY_LIMIT, peer};
use crate::settings::{Operator, Settings, Team};
use http::Parsed;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use std::collections::{HashMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

const USERS: Token = Token(0);
const PEERS: Token = Token(1);
const FIRST_CONN: usize = 2;
/// Largest response that is read from the store or the cloud, as a share of
/// the machine's memory: 1 part in this many.
const RESPONSE_SHARE: usize = 8;
/// Parallel connections to the store or the cloud.
const CALLS_PER_TARGET: usize = 8;
/// Of the sockets that the machine allows, 1 part in this many is left for listeners and
/// for what is accepted before it is counted.
const SPARE_SOCKETS: usize = 16;

enum Role {
    /// A user, worker or load balancer; `busy` while a request is answered.
    Server { busy: bool, close: bool },
    /// A connection of ours; `call` while a response is awaited.
    Client { target: Target, call: Option<CallId> },
    /// A peer that dialled us, by name once it said hello.
    PeerIn { member: Option<String> },
    /// Our connection to a peer.
    PeerOut { member: String },
}

struct Conn {
    stream: TcpStream,
    role: Role,
    read: Vec<u8>,
    write: Vec<u8>,
    wants_write: bool,
    connected: bool,
    /// Closed when this passes.
    deadline: Instant,
}

struct Queued {
    id: CallId,
    target: Target,
    request: Vec<u8>,
    deadline: Instant,
}

struct PeerLink {
    addr: SocketAddr,
    conn: Option<usize>,
    retry_at: Instant,
}

struct Net {
    poll: Poll,
    start: std::time::Instant,
    conns: HashMap<usize, Conn>,
    next_token: usize,
    idle: HashMap<Target, Vec<usize>>,
    open: HashMap<Target, usize>,
    queue: VecDeque<Queued>,
    peers: HashMap<String, PeerLink>,
    member: String,
    state: SocketAddr,
    cloud: SocketAddr,
    max_server: usize,
    servers: usize,
    /// Connections of all kinds; above it idle ones are closed for new ones.
    max_conns: usize,
    /// Peer connections that were accepted; each peer needs one, some more
    /// while old ones die.
    peers_in: usize,
    max_peers_in: usize,
    response_limit: usize,
    /// How long a client may take over one request, and stay idle.
    slow: Duration,
    patience: Duration,
    events: VecDeque<Event>,
}

/// The operator's file, looked at again now and then while the process runs.
struct Watched {
    file: PathBuf,
    teams: Vec<Team>,
    /// What it looked like when it was last read: when written, and how long.
    seen: Option<(SystemTime, u64)>,
    next: Instant,
    every: Duration,
}

impl Watched {
    /// As it is now, it has been read.
    fn new(file: PathBuf, teams: Vec<Team>, every: Duration) -> Watched {
        let mut w = Watched { file, teams, seen: None, next: every, every };
        w.seen = w.looks();
        w
    }

    fn looks(&self) -> Option<(SystemTime, u64)> {
        let m = std::fs::metadata(&self.file).ok()?;
        Some((m.modified().ok()?, m.len()))
    }

    /// The settings, if the file has changed and is good. With a bad or missing one
    /// what was read before goes on.
    fn look(&mut self, now: Instant) -> Option<Operator> {
        if now < self.next {
            return None;
        }
        self.next = now + self.every;
        let looks = self.looks();
        if looks == self.seen {
            return None;
        }
        self.seen = looks;
        match Operator::load(&self.file, &self.teams) {
            Ok(operator) => Some(operator),
            Err(e) => {
                tracing::error!(error = %e, "operator's file is refused, what was read before goes on");
                None
            }
        }
    }
}

/// Runs a controller until the process is killed; `operator` is read again when it
/// changes.
pub fn run(settings: Settings, operator: Option<PathBuf>) -> io::Result<()> {
    let mut users = TcpListener::bind(settings.public_addr)?;
    let mut peers = TcpListener::bind(settings.peer_bind)?;
    let poll = Poll::new()?;
    poll.registry().register(&mut users, USERS, Interest::READABLE)?;
    poll.registry().register(&mut peers, PEERS, Interest::READABLE)?;
    let workers = &settings.settings.workers;
    let tick = Duration::from_secs_f64((workers.heartbeat_interval_s / 100.0).clamp(0.01, 0.05));
    let every = Duration::from_secs_f64(workers.heartbeat_interval_s);
    let mut watched = operator.map(|file| Watched::new(file, settings.settings.teams.clone(), every));
    tracing::info!(member = %settings.member, others = settings.others.len(), "controller starts");
    let mut net = Net::new(&settings, poll);
    let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let mut controller = Controller::new(settings, rand::random(), wall);
    let mut ready = Events::with_capacity(256);
    let mut actions = Vec::new();
    let mut next_tick = Duration::ZERO;
    loop {
        let wait = next_tick.saturating_sub(net.now());
        match net.poll.poll(&mut ready, Some(wait)) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            other => other?,
        }
        for ev in ready.iter() {
            match ev.token() {
                USERS => net.accept(&users, true),
                PEERS => net.accept(&peers, false),
                Token(t) => net.drive(t),
            }
        }
        let now = net.now();
        if now >= next_tick {
            next_tick = now + tick;
            net.expire();
            net.dial_peers();
            if let Some(operator) = watched.as_mut().and_then(|w| w.look(now)) {
                net.events.push_back(Event::Operator(Box::new(operator)));
            }
            net.events.push_back(Event::Tick);
        }
        while let Some(event) = net.events.pop_front() {
            controller.handle(net.now(), event, &mut actions);
            for action in actions.drain(..) {
                net.perform(action);
            }
        }
    }
}

impl Net {
    /// No connections yet; `poll` is where they are registered.
    fn new(settings: &Settings, poll: Poll) -> Net {
        let workers = &settings.settings.workers;
        let limits = &settings.settings.machine_limits;
        Net {
            poll,
            start: std::time::Instant::now(),
            conns: HashMap::new(),
            next_token: FIRST_CONN,
            idle: HashMap::new(),
            open: HashMap::new(),
            queue: VecDeque::new(),
            peers: settings
                .others
                .iter()
                .map(|o| {
                    let link = PeerLink { addr: o.peer_addr, conn: None, retry_at: Duration::ZERO };
                    (o.member.clone(), link)
                })
                .collect(),
            member: settings.member.clone(),
            state: settings.outside.state,
            cloud: settings.outside.cloud,
            max_server: limits.max_connections * 3 / 4,
            servers: 0,
            max_conns: limits.max_connections - limits.max_connections / SPARE_SOCKETS,
            peers_in: 0,
            max_peers_in: limits.max_connections / 16,
            response_limit: (limits.ram_mb * 1048576.0) as usize / RESPONSE_SHARE,
            slow: Duration::from_secs_f64(workers.heartbeat_interval_s * 2.0),
            patience: Duration::from_secs_f64(workers.lease_s * 2.0),
            events: VecDeque::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start.elapsed()
    }

    fn add(&mut self, mut stream: TcpStream, role: Role, connected: bool, deadline: Instant) -> Option<usize> {
        let token = self.next_token;
        self.next_token += 1;
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(token), interest).ok()?;
        let _ = stream.set_nodelay(true);
        let conn = Conn { stream, role, read: Vec::new(), write: Vec::new(), wants_write: false, connected, deadline };
        self.conns.insert(token, conn);
        Some(token)
    }

    fn accept(&mut self, listener: &TcpListener, user: bool) {
        loop {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return,
            };
            let deadline = self.now() + if user { self.patience } else { self.slow };
            let role = if user {
                if self.servers >= self.max_server && !self.shed() {
                    continue;
                }
                self.make_capacity();
                self.servers += 1;
                Role::Server { busy: false, close: false }
            } else {
                if self.peers_in >= self.max_peers_in {
                    continue;
                }
                self.peers_in += 1;
                // A peer says hello at once; a stranger is cut off.
                Role::PeerIn { member: None }
            };
            if let Some(token) = self.add(stream, role, true, deadline) {
                self.drive(token);
            } else if user {
                self.servers -= 1;
            } else {
                self.peers_in -= 1;
            }
        }
    }

    /// Makes room under a flood: the idle connection nearest its end goes.
    fn shed(&mut self) -> bool {
        let victim = self
            .conns
            .iter()
            .filter(|(_, c)| matches!(c.role, Role::Server { busy: false, .. }))
            .min_by_key(|(t, c)| (c.deadline, **t))
            .map(|(t, _)| *t);
        match victim {
            Some(t) => {
                self.close(t);
                true
            }
            None => false,
        }
    }

    /// Keeps one socket free for a new connection while the machine's limit is near: an
    /// idle connection to a worker goes, or else an idle one of a client. A large block
    /// has more workers than there are sockets, and each that was called would keep one.
    /// False where all are in use.
    fn make_capacity(&mut self) -> bool {
        self.conns.len() < self.max_conns || self.shed_idle_call() || self.shed()
    }

    /// Closes the idle connection to a worker that is nearest its end.
    fn shed_idle_call(&mut self) -> bool {
        let idle_worker = |c: &Conn| match c.role {
            Role::Client { target: Target::Worker(_), call: None } => Some(c.deadline),
            _ => None,
        };
        let idle = self.conns.iter().filter_map(|(token, c)| Some((idle_worker(c)?, *token)));
        let Some((_, token)) = idle.min() else { return false };
        let Some(mut conn) = self.conns.remove(&token) else { return false };
        let _ = self.poll.registry().deregister(&mut conn.stream);
        if let Role::Client { target, .. } = conn.role {
            self.forget_call_conn(target, token);
        }
        true
    }

    /// A connection of ours to this target is gone.
    fn forget_call_conn(&mut self, target: Target, token: usize) {
        if let Some(list) = self.idle.get_mut(&target) {
            list.retain(|t| *t != token);
        }
        let left = self.open.get_mut(&target).map(|n| {
            *n -= 1;
            *n
        });
        if left == Some(0) {
            self.open.remove(&target);
            self.idle.remove(&target);
        }
    }

    /// Closes a connection; a call that was waiting on it gets no answer.
    fn close(&mut self, token: usize) {
        let Some(mut conn) = self.conns.remove(&token) else {
            return;
        };
        let _ = self.poll.registry().deregister(&mut conn.stream);
        match conn.role {
            Role::Server { .. } => self.servers -= 1,
            Role::Client { target, call } => {
                self.forget_call_conn(target, token);
                if let Some(id) = call {
                    self.events.push_back(Event::Answer { id, result: Err(NoAnswer) });
                }
                self.pump_queue();
            }
            Role::PeerIn { .. } => self.peers_in -= 1,
            Role::PeerOut { member } => {
                let retry_at = self.now() + self.slow / 8;
                if let Some(link) = self.peers.get_mut(&member) {
                    link.conn = None;
                    link.retry_at = retry_at;
                }
            }
        }
    }

    /// Reads and writes as far as the socket allows, then handles whole messages.
    fn drive(&mut self, token: usize) {
        let Some(conn) = self.conns.get_mut(&token) else {
            return;
        };
        if !conn.connected {
            if matches!(conn.stream.take_error(), Ok(Some(_)) | Err(_)) {
                return self.close(token);
            }
            match conn.stream.peer_addr() {
                Ok(_) => conn.connected = true,
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(_) => return self.close(token),
            }
        }
        let cap = match conn.role {
            Role::Server { .. } => BODY_LIMIT * 2,
            Role::Client { .. } => self.response_limit,
            _ => peer::FRAME_LIMIT * 2,
        };
        let mut chunk = [0u8; 16 * 1024];
        let mut ended = false;
        loop {
            match conn.stream.read(&mut chunk) {
                Ok(0) => {
                    ended = true;
                    break;
                }
                Ok(n) => {
                    conn.read.extend_from_slice(&chunk[..n]);
                    if conn.read.len() > cap {
                        ended = true;
                        break;
                    }
                    // A short read has emptied the socket; more brings a new event.
                    if n < chunk.len() {
                        break;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    ended = true;
                    break;
                }
            }
        }
        match conn.role {
            Role::Server { .. } => self.read_requests(token),
            Role::Client { .. } => self.read_response(token),
            Role::PeerIn { .. } => self.read_frames(token),
            Role::PeerOut { .. } => {}
        }
        self.flush(token);
        if ended {
            self.close(token);
        }
    }

    fn flush(&mut self, token: usize) {
        let Some(conn) = self.conns.get_mut(&token) else {
            return;
        };
        if !conn.connected {
            return;
        }
        while !conn.write.is_empty() {
            match conn.stream.write(&conn.write) {
                Ok(0) => return self.close(token),
                Ok(n) => {
                    conn.write.drain(..n);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    conn.wants_write = true;
                    return;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.close(token),
            }
        }
        conn.wants_write = false;
        if let Role::Server { busy: false, close: true } = conn.role {
            self.close(token);
        }
    }

    fn read_requests(&mut self, token: usize) {
        let (slow, now) = (self.slow, self.now());
        let Some(conn) = self.conns.get_mut(&token) else {
            return;
        };
        let Role::Server { busy, close } = &mut conn.role else {
            return;
        };
        if *busy || *close || conn.read.is_empty() {
            return;
        }
        match http::parse_request(&conn.read, BODY_LIMIT) {
            // A request that has begun must come to its end soon.
            Parsed::Partial => conn.deadline = conn.deadline.min(now + slow),
            Parsed::Bad(status) => {
                *close = true;
                http::write_response(&mut conn.write, status, &[], None, true);
            }
            Parsed::Whole(req, used) => {
                conn.read.drain(..used);
                if conn.read.is_empty() {
                    conn.read = Vec::new();
                }
                *busy = true;
                *close = req.close;
                conn.deadline = now + self.patience;
                self.events.push_back(Event::Request {
                    conn: token as ConnId,
                    method: req.method,
                    path: req.path,
                    body: req.body,
                });
            }
        }
    }

    fn read_response(&mut self, token: usize) {
        let limit = self.response_limit;
        let Some(conn) = self.conns.get_mut(&token) else {
            return;
        };
        let Role::Client { target, call } = &mut conn.role else {
            return;
        };
        if conn.read.is_empty() {
            return;
        }
        match http::parse_response(&conn.read, limit) {
            Parsed::Partial => {}
            Parsed::Bad(_) => self.close(token),
            Parsed::Whole(res, _) => {
                let (target, id) = (*target, call.take());
                conn.read = Vec::new();
                conn.deadline = self.start.elapsed() + self.patience;
                if let Some(id) = id {
                    let reply = Reply { status: res.status, body: res.body };
                    self.events.push_back(Event::Answer { id, result: Ok(reply) });
                }
                if res.close || id.is_none() {
                    self.close(token);
                } else {
                    self.idle.entry(target).or_default().push(token);
                    self.pump_queue();
                }
            }
        }
    }

    fn read_frames(&mut self, token: usize) {
        let deadline = self.now() + self.patience;
        let Some(conn) = self.conns.get_mut(&token) else {
            return;
        };
        let Role::PeerIn { member } = &mut conn.role else {
            return;
        };
        loop {
            match peer::decode(&mut conn.read) {
                Ok(None) => return,
                Err(_) => return self.close(token),
                Ok(Some(peer::Frame::Hello { member: name })) => {
                    if !self.peers.contains_key(&name) {
                        return self.close(token);
                    }
                    *member = Some(name);
                }
                Ok(Some(frame)) => {
                    let Some(name) = member.clone() else {
                        return self.close(token);
                    };
                    conn.deadline = deadline;
                    self.events.push_back(Event::Peer { member: name, frame });
                }
            }
        }
    }

    fn expire(&mut self) {
        let now = self.now();
        let late: Vec<usize> = self.conns.iter().filter(|(_, c)| c.deadline <= now).map(|(t, _)| *t).collect();
        for token in late {
            self.close(token);
        }
        while let Some(i) = self.queue.iter().position(|q| q.deadline <= now) {
            if let Some(q) = self.queue.remove(i) {
                self.events.push_back(Event::Answer { id: q.id, result: Err(NoAnswer) });
            }
        }
    }

    fn dial_peers(&mut self) {
        let now = self.now();
        let due: Vec<(String, SocketAddr)> = self
            .peers
            .iter()
            .filter(|(_, l)| l.conn.is_none() && l.retry_at <= now)
            .map(|(m, l)| (m.clone(), l.addr))
            .collect();
        for (member, addr) in due {
            let deadline = now + self.slow;
            let token = TcpStream::connect(addr)
                .ok()
                .and_then(|s| self.add(s, Role::PeerOut { member: member.clone() }, false, deadline));
            if let Some(conn) = token.and_then(|t| self.conns.get_mut(&t)) {
                conn.write = peer::encode(&peer::Frame::Hello { member: self.member.clone() });
            }
            if let Some(link) = self.peers.get_mut(&member) {
                link.conn = token;
                link.retry_at = now + self.slow / 8;
            }
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Respond { conn, status, body, retry_after } => {
                let token = conn as usize;
                let Some(c) = self.conns.get_mut(&token) else {
                    return;
                };
                let Role::Server { busy, close } = &mut c.role else {
                    return;
                };
                *busy = false;
                http::write_response(&mut c.write, status, &body, retry_after, *close);
                self.flush(token);
                // The client may have sent its next request already.
                self.read_requests(token);
            }
            Action::Call { id, target, method, path, body, timeout } => {
                let addr = self.addr(target);
                let mut request = Vec::new();
                http::write_request(&mut request, method, &addr.to_string(), &path, body.as_deref());
                let deadline = self.now() + timeout;
                self.queue.push_back(Queued { id, target, request, deadline });
                self.pump_queue();
            }
            Action::Send { member, frame } => {
                let deadline = self.now() + self.patience;
                let Some(token) = self.peers.get(&member).and_then(|l| l.conn) else {
                    return;
                };
                if let Some(conn) = self.conns.get_mut(&token) {
                    // A peer that does not read loses beats, not our memory.
                    if conn.connected && conn.write.len() < peer::FRAME_LIMIT {
                        if conn.write.is_empty() {
                            conn.deadline = deadline;
                        }
                        conn.write.extend(peer::encode(&frame));
                    }
                }
                self.flush(token);
            }
        }
    }

    fn addr(&self, target: Target) -> SocketAddr {
        match target {
            Target::State => self.state,
            Target::Cloud => self.cloud,
            Target::Worker(addr) => addr,
        }
    }

    /// Puts queued calls on idle or new connections, within the caps.
    fn pump_queue(&mut self) {
        let mut waiting = VecDeque::new();
        let mut full = false;
        while let Some(q) = self.queue.pop_front() {
            let idle = self.idle.get_mut(&q.target).and_then(Vec::pop);
            let open = self.open.get(&q.target).copied().unwrap_or(0);
            let token = match idle {
                Some(t) => t,
                None if open >= CALLS_PER_TARGET => {
                    waiting.push_back(q);
                    continue;
                }
                None => {
                    full = full || !self.make_capacity();
                    if full && matches!(q.target, Target::Worker(_)) {
                        waiting.push_back(q);
                        continue;
                    }
                    let role = Role::Client { target: q.target, call: None };
                    let dialled =
                        TcpStream::connect(self.addr(q.target)).ok().and_then(|s| self.add(s, role, false, q.deadline));
                    match dialled {
                        Some(t) => {
                            *self.open.entry(q.target).or_default() += 1;
                            t
                        }
                        None => {
                            self.events.push_back(Event::Answer { id: q.id, result: Err(NoAnswer) });
                            continue;
                        }
                    }
                }
            };
            if let Some(conn) = self.conns.get_mut(&token) {
                if let Role::Client { call, .. } = &mut conn.role {
                    *call = Some(q.id);
                }
                conn.deadline = q.deadline;
                conn.write.extend(q.request);
            }
            self.flush(token);
        }
        self.queue = waiting;
    }
}

#[cfg(test)]
mod tests;
