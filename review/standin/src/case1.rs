//! Case 1: `ran_twice`. The link to a machine is slow for a few seconds, while a task is started
//! there and the cloud announces that it takes the machine away.

use crate::deployments::{batumi, batumi_std, kutaisi_small, rustaveli_returns};
use crate::machine::{Link, Machine};
use crate::user::{is_healthy, job, submit};
use crate::{set_up, wait_until};
use std::fs::File;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How late the answer to the direct command comes.
const COMMAND_ANSWER_S: f64 = 1.6;
/// How late the answer to the worker's report comes. The worker drops it after 4 s.
const REPORT_ANSWER_S: f64 = 3.2;
/// How long the link is slow.
const SLOW_S: f64 = 6.0;
const NOTICE_S: f64 = 10.0;

pub fn run(record: File, folder: &Path) -> Result<Vec<String>, String> {
    let setup = set_up(&rustaveli_returns(0.0), vec![batumi_std(), kutaisi_small()], record, folder)?;
    let world = &setup.world;
    let machines: Vec<Arc<Machine>> =
        (0..6).map(|at| Machine::start(&format!("host-{:06}", at + 1), batumi(true), &[], world)).collect();
    machines.iter().for_each(|machine| setup.cloud.add(machine.clone()));
    wait_until(world, 15.0);
    if !(0..3).all(|node| is_healthy(world, node)) {
        setup.cluster.end();
        return Err("the controllers are not healthy after 15 s".into());
    }
    // When the first task reaches a spot machine, the link to that machine becomes slow, and the
    // user submits the second job.
    let (told, reached) = channel();
    let told = Arc::new(Mutex::new(Some(told)));
    for machine in machines.iter().filter(|machine| machine.kind.spot) {
        let (told, trouble) = (told.clone(), setup.trouble);
        *machine.on_commands.lock().unwrap() = Some(Box::new(move |machine, orders| {
            let starts = orders.iter().any(|order| order.get("verb").text() == "run");
            if let Some(told) = told.lock().unwrap().take_if(|_| starts) {
                if trouble {
                    machine.link.lock().unwrap().command_answer = Duration::from_secs_f64(COMMAND_ANSWER_S);
                }
                let _ = told.send(machine.name.clone());
            }
        }));
    }
    let schedule = |uid: &str| {
        job(
            uid,
            &[
                ("docket", "schedule-calc".into()),
                ("cores", 2.0.into()),
                ("mem_gb", 6.4.into()),
                ("bundle", "schedule-01".into()),
                ("loaners", true.into()),
                ("expected_s", 60.0.into()),
                ("stamp_every_s", 20.0.into()),
                ("stamp_s", 2.0.into()),
            ],
        )
    };
    if submit(world, &schedule("run-000001")) != 201 {
        setup.cluster.end();
        return Err("the first job was not accepted".into());
    }
    let Ok(name) = reached.recv_timeout(Duration::from_secs(20)) else {
        setup.cluster.end();
        return Err("the first task did not reach a spot machine by a direct command".into());
    };
    let at = world.now();
    let machine = machines.iter().find(|machine| machine.name == name).expect("the machine").clone();
    world.note(format!("the first task reached {name}"));
    // The worker's next report is still answered at once.
    let answered = machine.answered.load(Ordering::Relaxed);
    while machine.answered.load(Ordering::Relaxed) == answered && world.now() < at + 3.0 {
        std::thread::sleep(Duration::from_millis(2));
    }
    if setup.trouble {
        machine.link.lock().unwrap().report_answer = Duration::from_secs_f64(REPORT_ANSWER_S);
    }
    machine.recall(Duration::from_secs_f64(NOTICE_S));
    let noticed = world.now();
    submit(world, &schedule("run-000002"));
    wait_until(world, at + SLOW_S);
    *machine.link.lock().unwrap() = Link::default();
    wait_until(world, noticed + NOTICE_S);
    machine.remove();
    wait_until(world, at + 20.0);
    setup.cluster.end();
    setup.cluster.check_whole_until(at + 20.0)?;
    let broken = world.broken.lock().unwrap().clone();
    Ok(broken)
}
