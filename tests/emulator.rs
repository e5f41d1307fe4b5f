//! Runs real controllers on loopback under the emulator, with load and faults: a killed
//! controller, a killed state service, a machine that fails, late writes. It takes
//! well under a minute and uses free ports only.

use finchquay_client::Client;
use finchquay_emulator::run::{Options, play};
use finchquay_emulator::scenario::Scenario;
use finchquay_protocol::user::{JobSpec, Status};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::Duration;

const SHORT: &str = r#"
name = "short"
duration_s = 14
settle_s = 30
seed = 5
zones = ["hall"]
controllers {
  restart_s = 1
}
machine_type "std" {
  cpus = 4
  memory_gb = 16
  cache_gb = 40
  fetch_gb_per_s = 2
  hourly = 0.2
  spot_hourly = 0.1
  boot_s = 1
  ordinary = 12
  up = 4
}
team "t" {
  cpus_max = 30
}
load "web" {
  kind = "service"
  team = "t"
  urgency = "urgent"
  initial = 2
  per_minute = 10
  tasks = { constant = 1 }
  run_s = { uniform = [6, 12] }
  cpus = 1
  memory_gb = 2
  image_gb = 0.4
  start_within_s = 5
}
load "drafts" {
  kind = "array"
  team = "t"
  initial = 3
  per_minute = 40
  tasks = { uniform = [2, 12] }
  run_s = { uniform = [0.5, 2.5] }
  cpus = 1
  memory_gb = 2
  image_gb = 0.3
  withdrawn = 0.2
}
fault "late-write" {
  kind = "write_late"
  at_s = 2
  prefix = "fq/t/"
  late_s = 9
}
fault "store-killed" {
  kind = "store_restart"
  at_s = 4
  for_s = 1.5
}
fault "one-dies" {
  kind = "die"
  at_s = 7
  count = 1
}
fault "controller-killed" {
  kind = "controller_kill"
  at_s = 8
  controller = 0
}
"#;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_accepted_job_gets_one_final_answer() {
    let dir = tempfile::tempdir().unwrap();
    let front = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap();
    let options = Options {
        scenario: Scenario::parse("short", SHORT).unwrap(),
        seed: 5,
        dir: dir.path().to_path_buf(),
        controller: Path::new(env!("CARGO_BIN_EXE_finchquay")).into(),
        public_port: 0,
        front: Some(front),
        line_callback: None,
    };
    let user = tokio::spawn(user_beside_the_load(front));
    let outcome = play(options, std::future::pending()).await.unwrap();
    assert_eq!(user.await.unwrap(), Status::Done, "a job submitted through the entry point, beside the load");
    let verdict = &outcome.verdict;
    assert!(verdict.passed() && verdict.settled, "{:#?}", verdict.violations);
    assert!(
        verdict.accepted >= 10 && verdict.accepted == verdict.confirmed_done + verdict.confirmed_cancelled,
        "{verdict:?}"
    );
    assert!(verdict.tasks_done >= 20, "{verdict:?}");
}

/// Submits a job through the entry point, as `finchquayctl` does, and waits for its end.
async fn user_beside_the_load(front: SocketAddr) -> Status {
    tokio::time::sleep(Duration::from_secs(1)).await;
    let client = Client::new([front]).unwrap();
    let spec = JobSpec { team: "t".into(), estimated_run_s: 1.0, ..JobSpec::example("run-777000001") };
    client.submit(&spec).await.unwrap();
    client.wait(&spec.uid, Some(Duration::from_secs(25))).await.unwrap().status
}
