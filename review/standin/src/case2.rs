//! Case 2: `node_restarts`. A user submits a job that fits no machine: its image is too large.

use crate::deployments::{batumi, batumi_std, kutaisi_small, rustaveli_returns};
use crate::machine::Machine;
use crate::user::{is_healthy, job, poll, submit};
use crate::{set_up, wait_until};
use std::fs::File;
use std::path::Path;

/// The size of the image of the job that fits no machine, in GB.
const ODD_SIZE_GB: f64 = 1e30;
const ODD_AT_S: f64 = 25.0;
const END_S: f64 = 75.0;

pub fn run(record: File, folder: &Path) -> Result<Vec<String>, String> {
    let setup = set_up(&rustaveli_returns(0.0), vec![batumi_std(), kutaisi_small()], record, folder)?;
    let world = &setup.world;
    for at in 0..4 {
        setup.cloud.add(Machine::start(&format!("host-{:06}", at + 1), batumi(false), &[], world));
    }
    wait_until(world, 12.0);
    if !(0..3).all(|node| is_healthy(world, node)) {
        setup.cluster.end();
        return Err("the controllers are not healthy after 12 s".into());
    }
    // Two tasks of 25 s each, and from then on a short job every 10 s.
    let assembly = |uid: &str| {
        job(uid, &[("parcels", 2u64.into()), ("cores", 2.0.into()), ("mem_gb", 4.2.into()), ("expected_s", 5.0.into())])
    };
    let mut jobs = Vec::new();
    let mut odd_sent = false;
    for number in 1.. {
        let uid = format!("run-{number:06}");
        world.run_s.lock().unwrap().insert(uid.clone(), if number == 1 { 25.0 } else { 5.0 });
        let at = world.now();
        if submit(world, &assembly(&uid)) == 201 {
            jobs.push(uid);
        }
        if !odd_sent && world.now() >= ODD_AT_S {
            odd_sent = true;
            if setup.trouble {
                submit(world, &job("run-900001", &[("bundle", "img-odd".into()), ("size_gb", ODD_SIZE_GB.into())]));
            }
        }
        wait_until(world, at + 10.0);
        for uid in &jobs {
            let status = poll(world, uid).unwrap_or_else(|| "no answer".into());
            world.note(format!("user asks about {uid}: {status}"));
        }
        if world.now() > END_S {
            break;
        }
    }
    setup.cluster.end();
    setup.cluster.check_whole_until(ODD_AT_S)?;
    let ends = setup.cluster.ends.lock().unwrap();
    Ok(ends.iter().map(|(at, how)| format!("node_restarts: at {at:.1} s {how}")).collect())
}
