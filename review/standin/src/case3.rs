//! Case 3: `node_restarts`, for memory. The guest team's swarm of small jobs comes while new
//! machines come up late.

use crate::cbor::Value;
use crate::cloud::Stock;
use crate::deployments::{cerro, cerro_16, coopago_ops, rambla, rambla_64};
use crate::user::{is_healthy, job, submit};
use crate::{set_up, wait_until};
use std::fs::File;
use std::path::Path;
use std::sync::Arc;

const FIRST_S: f64 = 8.0;
/// Jobs a second of `quick-tabs`, and for how long they come.
const RATE: f64 = 12.5;
const SWARM_S: f64 = 64.0;
/// The nominal boot time, and how many times as long machines take that come up late.
const BOOT_S: f64 = 25.0;
const LATE_TIMES: f64 = 2.5;
const END_S: f64 = 110.0;

pub fn run(record: File, folder: &Path) -> Result<Vec<String>, String> {
    let setup = set_up(&coopago_ops(), vec![cerro_16(), rambla_64()], record, folder)?;
    let world = &setup.world;
    for (kind, count) in [
        (cerro("montevideo-a", false), 11),
        (cerro("montevideo-a", true), 7),
        (cerro("paysandu-b", false), 13),
        (cerro("paysandu-b", true), 9),
        (rambla(false), 5),
        (rambla(true), 3),
    ] {
        setup.cloud.add_stock(Stock { kind, count });
    }
    *setup.cloud.opens.lock().unwrap() = (0.0, BOOT_S * if setup.trouble { LATE_TIMES } else { 1.0 });
    wait_until(world, FIRST_S);
    if !(0..3).all(|node| is_healthy(world, node)) {
        setup.cluster.end();
        return Err("the controllers are not healthy after 8 s".into());
    }
    // CPUs and memory vary by 30%.
    let mut seed = 1u64;
    let mut varied = |mean: f64| {
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (mean * (0.7 + 0.6 * (seed >> 40) as f64 / (1u64 << 24) as f64) * 1000.0).round() / 1000.0
    };
    for number in 1..=(RATE * SWARM_S) as u32 {
        let uid = format!("run-{number:06}");
        world.run_s.lock().unwrap().insert(uid.clone(), 150.0);
        let fields = [
            ("docket", "quick-tabs".into()),
            ("desk", "member-research".into()),
            ("urgency", "idle".into()),
            ("cores", varied(0.25).into()),
            ("mem_gb", varied(1.8).into()),
            ("bundle", "tabs-01".into()),
            ("size_gb", 0.5.into()),
            ("builds", vec![Value::from("rambla-64")].into()),
            ("loaners", true.into()),
            ("expected_s", 150.0.into()),
        ];
        let (users, job) = (Arc::clone(world), job(&uid, &fields));
        std::thread::spawn(move || submit(&users, &job));
        wait_until(world, FIRST_S + f64::from(number) / RATE);
    }
    wait_until(world, END_S);
    setup.cluster.end();
    for (at, peak) in setup.cluster.peak_mb.lock().unwrap().iter().enumerate() {
        world.note(format!("perch-{at} held {peak:.0} MB at most"));
    }
    setup.cluster.check_whole_until(FIRST_S)?;
    let ends = setup.cluster.ends.lock().unwrap();
    Ok(ends.iter().map(|(at, how)| format!("node_restarts: at {at:.1} s {how}")).collect())
}
