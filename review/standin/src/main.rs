//! Stand-ins for the clients, the workers, the cloud, the state service and the platform, and the
//! cases of the review. Usage: `standin CASE FOLDER`, where FOLDER holds `record.txt`; the
//! environment variable TROUBLE=0 leaves the disruption out.
//!
//! Exit codes: 1: the rule was broken; 0: it held; 2: the case could not run.

mod case1;
mod case2;
mod case3;
mod cbor;
mod cloud;
mod cluster;
mod deployments;
mod http;
mod machine;
mod state;
mod user;
mod world;

use cloud::Cloud;
use cluster::{Cluster, Deployment, free_addresses};
use state::State;
use std::fs::File;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use world::World;

/// All stand-ins and processes of a case.
pub struct Setup {
    pub world: Arc<World>,
    pub cloud: Arc<Cloud>,
    pub cluster: Arc<Cluster>,
    pub trouble: bool,
    _state: Arc<State>,
}

/// Starts the state service, the cloud and the controllers.
fn set_up(deployment: &Deployment, catalog: Vec<cbor::Value>, record: File, folder: &Path) -> Result<Setup, String> {
    let run = std::env::var("FINCHQUAY_RUN").map_err(|_| "FINCHQUAY_RUN is not set".to_string())?;
    let addresses = free_addresses(deployment.controllers);
    let nodes = addresses.iter().enumerate().map(|(at, pair)| (format!("perch-{at}"), pair.0)).collect();
    let world = Arc::new(World::new(record, deployment.workers, nodes));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    world.note(format!("the case runs {} its disruption", if trouble { "with" } else { "without" }));
    let bind = || TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string());
    let (state_listener, cloud_listener) = (bind()?, bind()?);
    let state_addr = state_listener.local_addr().map_err(|error| error.to_string())?;
    let cloud_addr = cloud_listener.local_addr().map_err(|error| error.to_string())?;
    let state = State::start(state_listener, deployment.txn_ops, deployment.value_kb);
    let cloud = Cloud::start(cloud_listener, catalog, deployment.list_lag_s, world.clone());
    let cluster = Cluster::start(deployment, &run, folder, &addresses, state_addr, cloud_addr, &world)?;
    Ok(Setup { world, cloud, cluster, trouble, _state: state })
}

/// Waits until this world time.
pub fn wait_until(world: &World, time: f64) {
    while world.now() < time {
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    let record = match File::create(Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            std::process::exit(2);
        }
    };
    let temporary: PathBuf = std::env::temp_dir().join(format!("finchquay-review-{}", std::process::id()));
    let result =
        std::fs::create_dir_all(&temporary).map_err(|error| error.to_string()).and_then(|()| match case.as_str() {
            "1" => case1::run(record, &temporary),
            "2" => case2::run(record, &temporary),
            "3" => case3::run(record, &temporary),
            _ => Err("no such case".into()),
        });
    let keep = std::env::var_os("KEEP").is_some();
    if keep {
        eprintln!("logs are kept in {}", temporary.display());
    } else {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match result {
        Ok(broken) if broken.is_empty() => println!("the rule held"),
        Ok(broken) => {
            broken.iter().for_each(|line| println!("{line}"));
            std::process::exit(1);
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            std::process::exit(2);
        }
    }
}
