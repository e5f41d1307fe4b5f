//! Digests of everything that the controllers of a world emit, by which two versions of the
//! controller are compared byte by byte. Only numbers, plain strings and encoded bytes are
//! hashed, so renaming types and fields does not change a digest.

#![warn(missing_docs)]

use sha2::{Digest, Sha256};
use std::cell::RefCell;
use std::time::Duration;

/// Simulated time between two checkpoints.
pub const CHECKPOINT: Duration = Duration::from_secs(10);
/// Number of hexadecimal digits that a checkpoint keeps of the digest.
const CHECKPOINT_DIGITS: usize = 8;

/// Summary of all actions that the controllers of one world emitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recording {
    /// The seed of the world.
    pub seed: u64,
    /// Number of actions.
    pub actions: u64,
    /// SHA-256 of all actions, in hexadecimal digits.
    pub digest: String,
    /// The first digits of the digest so far at each multiple of `CHECKPOINT`.
    pub checkpoints: Vec<String>,
}

thread_local! {
    /// Recordings of the worlds that ended on this thread; `None` unless `record` runs.
    static FINISHED: RefCell<Option<Vec<Recording>>> = const { RefCell::new(None) };
}

/// Runs a scenario, and returns the recordings of its worlds in the order in which they ended.
pub fn record(scenario: impl FnOnce()) -> Vec<Recording> {
    FINISHED.set(Some(Vec::new()));
    scenario();
    FINISHED.take().unwrap_or_default()
}

/// Hashes the actions of one world's controllers. Dropping it, together with the world,
/// completes the recording.
pub struct Recorder {
    seed: u64,
    actions: u64,
    hash: Sha256,
    checkpoints: Vec<String>,
    enabled: bool,
}

impl Recorder {
    /// Creates a recorder, which does nothing unless `record` runs on this thread.
    pub fn new(seed: u64) -> Recorder {
        Recorder {
            seed,
            actions: 0,
            hash: Sha256::new(),
            checkpoints: Vec::new(),
            enabled: FINISHED.with_borrow(Option::is_some),
        }
    }

    /// Records that a controller answered a request.
    pub fn respond(&mut self, from: Origin, connection: u64, status: u16, retry_after: Option<u32>, body: &[u8]) {
        if self.begin("respond", from) {
            self.number(connection);
            self.number(status.into());
            self.optional(retry_after.map(|seconds| seconds.to_be_bytes()).as_ref().map(|b| b.as_slice()));
            self.bytes(body);
        }
    }

    /// Records that a controller called the store, the cloud or an agent.
    pub fn call(&mut self, from: Origin, target: &str, request: Request) {
        if self.begin("call", from) {
            self.bytes(target.as_bytes());
            self.bytes(request.method.as_bytes());
            self.bytes(request.path.as_bytes());
            self.optional(request.body);
            self.time(request.timeout);
        }
    }

    /// Records that a controller sent a frame to another; `frame` returns its encoding.
    pub fn send(&mut self, from: Origin, member: &str, frame: impl FnOnce() -> Vec<u8>) {
        if self.begin("send", from) {
            self.bytes(member.as_bytes());
            self.bytes(&frame());
        }
    }

    /// Adds the checkpoints that are due and the start of an action, and returns whether the
    /// recorder is enabled.
    fn begin(&mut self, kind: &str, from: Origin) -> bool {
        if !self.enabled {
            return false;
        }
        while from.at >= CHECKPOINT * (self.checkpoints.len() as u32 + 1) {
            let mut digest = self.digest();
            digest.truncate(CHECKPOINT_DIGITS);
            self.checkpoints.push(digest);
        }
        self.actions += 1;
        self.bytes(kind.as_bytes());
        self.time(from.at);
        self.number(from.node as u64);
        true
    }

    fn number(&mut self, number: u64) {
        self.hash.update(number.to_be_bytes());
    }

    fn time(&mut self, time: Duration) {
        self.hash.update(time.as_nanos().to_be_bytes());
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.hash.update(bytes);
    }

    fn optional(&mut self, bytes: Option<&[u8]>) {
        self.number(bytes.is_some().into());
        self.bytes(bytes.unwrap_or_default());
    }

    fn digest(&self) -> String {
        self.hash.clone().finalize().iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        if !self.enabled {
            return;
        }
        let recording = Recording {
            seed: self.seed,
            actions: self.actions,
            digest: self.digest(),
            checkpoints: std::mem::take(&mut self.checkpoints),
        };
        FINISHED.with_borrow_mut(|finished| finished.as_mut().into_iter().for_each(|all| all.push(recording.clone())));
    }
}

/// When and where an action was emitted.
#[derive(Debug, Clone, Copy)]
pub struct Origin {
    /// The simulated time.
    pub at: Duration,
    /// The number of the controller.
    pub node: usize,
}

/// A request that a controller sends.
pub struct Request<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// The encoded body, if it has one.
    pub body: Option<&'a [u8]>,
    /// How long the controller waits for the answer.
    pub timeout: Duration,
}
