//! Tests of the program, started as a user starts it: invalid input ends it with one line
//! of error and nothing left behind, its state service survives a kill, and its children
//! end with it.

use finchquay_emulator::http::Connection;
use finchquay_protocol::store::{Condition, Op, RowPage, TXN_PATH, Txn, TxnResponse};
use finchquay_protocol::{decode, encode};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_finchquay-emulator");
const GOOD: &str = include_str!("../scenarios/filing-eve.hcl");

fn run(dir: &Path, args: &[&str]) -> Output {
    Command::new(PROGRAM).args(args).current_dir(dir).output().unwrap()
}

#[test]
fn invalid_input_ends_with_one_line_and_code_2() {
    let dir = tempfile::tempdir().unwrap();
    let file = |name: &str, text: &str| std::fs::write(dir.path().join(name), text).unwrap();
    file("unknown.hcl", &GOOD.replace("settle_s = 90", "setle_s = 90"));
    file("negative.hcl", &GOOD.replace("at_s = 8", "at_s = -8"));
    file("kind.hcl", &GOOD.replace("\"store_slow\"", "\"store_slower\""));
    file("good.hcl", GOOD);
    std::fs::create_dir(dir.path().join("used")).unwrap();
    file("used/history-1.jsonl", "");
    // Any existing file will do as the controller program, as it is never started.
    let existing = PROGRAM;
    for (args, parts) in [
        (vec!["run", "unknown.hcl", "--controller", existing], ["unknown.hcl:5: ", "setle_s"]),
        (vec!["run", "negative.hcl", "--controller", existing], ["negative.hcl:", "fault.late-store.at_s"]),
        (vec!["run", "kind.hcl", "--controller", existing], ["kind.hcl:", "fault.late-store.kind"]),
        (vec!["run", "missing.hcl", "--controller", existing], ["missing.hcl: ", "cannot be read"]),
        (vec!["run", "good.hcl", "--controller", "nowhere"], ["nowhere: ", "no controller program"]),
        (vec!["run", "good.hcl", "--controller", existing, "--out", "used"], ["used: ", "holds a run already"]),
        (vec!["suite", "no-such"], ["no scenario \"no-such\"", "filing-eve"]),
        (vec!["check", "missing.jsonl"], ["missing.jsonl", ""]),
        (vec!["probe", "192.0.2.1:1"], ["192.0.2.1:1", "loopback"]),
    ] {
        let out = run(dir.path(), &args);
        let text = String::from_utf8_lossy(&out.stderr).to_string();
        assert_eq!(out.status.code(), Some(2), "{args:?}: {text}");
        assert_eq!(text.trim().lines().count(), 1, "{text}");
        assert!(parts.iter().all(|p| text.contains(p)), "{args:?}: {text}");
    }
}

/// A port that is in use must be reported before any child is started.
#[test]
fn address_in_use_is_reported_and_nothing_is_started() {
    let occupied = std::net::TcpListener::bind("127.0.1.1:0").unwrap();
    let port = occupied.local_addr().unwrap().port().to_string();
    let dir = tempfile::tempdir().unwrap();
    let out = run(dir.path(), &["up", "--plain", "--keep", "kept", "--controller", PROGRAM, "--port", &port]);
    let text = String::from_utf8_lossy(&out.stderr).to_string();
    assert_eq!(out.status.code(), Some(2), "{text}");
    assert!(text.contains(&format!("127.0.1.1:{port}: ")), "{text}");
    assert!(!dir.path().join("kept/perch-0.log").exists());
}

/// Starts the state service alone; returns its process and address.
fn serve(file: &Path) -> (Child, SocketAddr) {
    let mut child = Command::new(PROGRAM)
        .args(["state", "--listen", "127.0.0.1:0"])
        .arg(file)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    (child, line.trim().rsplit(' ').next().unwrap().parse().unwrap())
}

/// Kills the state service while it writes, four times. Afterwards every answered
/// transaction must be there in whole, and no unanswered one in part.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_state_service_keeps_every_answered_transaction() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("state.redb");
    let mut answered: HashMap<String, u64> = HashMap::new();
    let timeout = Duration::from_secs(1);
    for run_no in 0..4u64 {
        let (mut child, address) = serve(&file);
        let mut killed = tokio::task::spawn_blocking(move || {
            std::thread::sleep(Duration::from_millis(150 + run_no * 37));
            child.kill().unwrap();
            child.wait().unwrap();
        });
        let mut connection = Connection::default();
        for i in 0..100_000u64 {
            let name = format!("{run_no}-{i}");
            let put = |side: &str| {
                let data = ciborium::Value::Text(name.clone());
                Op::Put { key: format!("{side}/{name}"), data, lease: None }
            };
            let conditions = vec![Condition { key: format!("a/{name}"), version: 0 }];
            let txn = Txn { conditions, ops: vec![put("a"), put("b")] };
            match connection.post(address, TXN_PATH, encode(&txn), timeout).await {
                Some(r) if r.status == 200 => {
                    let revision = decode::<TxnResponse>(&r.body).unwrap().revision;
                    answered.insert(name, revision);
                }
                Some(r) => panic!("status {}", r.status),
                None => break,
            }
        }
        (&mut killed).await.unwrap();
    }
    assert!(answered.len() > 50, "{} answered", answered.len());
    let (mut child, address) = serve(&file);
    let mut found: HashMap<String, Vec<u64>> = HashMap::new();
    for side in ["a/", "b/"] {
        let mut after = String::new();
        loop {
            let path = format!("/store?starts={side}&after={after}");
            let rows: RowPage = decode(&get(address, &path)).unwrap();
            for r in &rows.rows {
                found.entry(r.key[2..].to_string()).or_default().push(r.version);
            }
            match rows.rows.last().filter(|_| rows.truncated) {
                Some(last) => after = last.key.clone(),
                None => break,
            }
        }
    }
    child.kill().unwrap();
    child.wait().unwrap();
    for (name, revision) in &answered {
        assert_eq!(found.get(name), Some(&vec![*revision, *revision]), "{name} was answered");
    }
    assert!(found.values().all(|v| v.len() == 2), "part of a transaction is there");
    assert!(found.len() <= answered.len() + 4, "more than one unanswered transaction for each kill");
}

/// Sends one GET over a new connection; returns the body.
fn get(address: SocketAddr, path: &str) -> Vec<u8> {
    let mut s = TcpStream::connect(address).unwrap();
    s.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    write!(s, "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").unwrap();
    let mut bytes = Vec::new();
    s.read_to_end(&mut bytes).unwrap();
    let head = bytes.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
    bytes.split_off(head)
}

/// An invalid request gets a 4xx status or a closed connection, and the next one is served.
#[test]
fn invalid_requests_are_refused_and_do_not_disturb_others() {
    let dir = tempfile::tempdir().unwrap();
    let (mut child, address) = serve(&dir.path().join("state.redb"));
    let long = [b"GET /".to_vec(), vec![b'a'; 200_000]].concat();
    let huge = b"POST /multi HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\nxx".to_vec();
    let deeply_nested =
        [b"POST /multi HTTP/1.1\r\nHost: x\r\nContent-Length: 3000\r\n\r\n".to_vec(), vec![0x81; 3000]].concat();
    let inputs: Vec<Vec<u8>> = vec![
        b"\0\xff\x13\x37 nonsense\r\n\r\n".to_vec(),
        b"GET /store/a%20b HTTP/9.9\r\n\r\n".to_vec(),
        b"POST /multi HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n\xff\xff\xff\xff".to_vec(),
        b"POST /holds HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".to_vec(),
        b"GET /follow?starts=a&after=-1 HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(),
        long,
        huge,
        deeply_nested,
    ];
    for bytes in inputs {
        let mut s = TcpStream::connect(address).unwrap();
        s.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        let _ = s.write_all(&bytes);
        let mut got = [0u8; 64];
        let n = s.read(&mut got).unwrap_or(0);
        let answer = String::from_utf8_lossy(&got[..n]).to_string();
        let start: String = String::from_utf8_lossy(&bytes).chars().take(30).collect();
        assert!(n == 0 || answer.starts_with("HTTP/1.1 4"), "{start}: {answer}");
    }
    let rows: RowPage = decode(&get(address, "/store?starts=a")).unwrap();
    assert!(rows.rows.is_empty());
    child.kill().unwrap();
    child.wait().unwrap();
}

/// Whichever signal ends the emulator, no child may be left behind.
#[test]
fn signal_ends_every_child() {
    use std::os::unix::fs::PermissionsExt;
    for signal in [rustix::process::Signal::INT, rustix::process::Signal::TERM] {
        let dir = tempfile::tempdir().unwrap();
        // Stands in for a controller: writes its process id to a file and keeps running.
        let stub = dir.path().join("stub");
        let pids = dir.path().join("pids");
        let text = format!("#!/bin/sh\necho $$ >> {}\nexec sleep 60\n", pids.display());
        std::fs::write(&stub, text).unwrap();
        std::fs::set_permissions(&stub, std::fs::Permissions::from_mode(0o755)).unwrap();
        let mut child = Command::new(PROGRAM)
            .args(["up", "--plain", "--port", "0", "--controller"])
            .arg(&stub)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let all_started = |text: &str| text.lines().count() == 3;
        let deadline = std::time::Instant::now() + Duration::from_secs(20);
        while !std::fs::read_to_string(&pids).is_ok_and(|text| all_started(&text)) {
            assert!(std::time::Instant::now() < deadline, "the children did not start");
            std::thread::sleep(Duration::from_millis(20));
        }
        let pid = rustix::process::Pid::from_raw(child.id() as i32).unwrap();
        rustix::process::kill_process(pid, signal).unwrap();
        let mut out = String::new();
        child.stdout.take().unwrap().read_to_string(&mut out).unwrap();
        child.wait().unwrap();
        assert!(out.contains("stopped"), "{out}");
        for pid in std::fs::read_to_string(&pids).unwrap().lines() {
            assert!(!Path::new(&format!("/proc/{pid}")).exists(), "child {pid} is left behind");
        }
    }
}
