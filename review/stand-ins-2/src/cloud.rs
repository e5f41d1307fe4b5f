//! A cloud after PROTOCOL: a catalog, rentals up to a capacity, releases, and a list that lags.

use crate::state::{Bucket, parameter};
use crate::wire::{Handler, decode, float, get, get_int, get_list, get_text, map, text};
use crate::worker::{Machine, Worker, World};
use ciborium::Value;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A machine type.
#[derive(Clone)]
pub struct Build {
    pub label: &'static str,
    pub cores: f64,
    pub mem_gb: f64,
    pub pull_gb_per_s: f64,
    pub hourly: f64,
    pub spot_price: f64,
    pub startup_s: f64,
    pub sites: Vec<&'static str>,
}

struct Rented {
    machine: Machine,
    rented_at: Instant,
    up_at: Instant,
    gone_at: Option<Instant>,
    worker: Option<Arc<Worker>>,
}

/// How many machines the cloud gives, by type, zone and whether they are spot machines.
pub type Capacity = HashMap<(&'static str, &'static str, bool), u32>;

struct Inner {
    builds: Vec<Build>,
    capacity: Capacity,
    machines: BTreeMap<String, Rented>,
    charters: HashMap<String, Vec<String>>,
    next: u64,
    requests: Bucket,
    list_lag: Duration,
    /// How long a machine takes to come up.
    boot: Duration,
}

#[derive(Clone)]
pub struct Cloud {
    inner: Arc<Mutex<Inner>>,
    world: Arc<World>,
}

impl Cloud {
    pub fn new(
        world: &Arc<World>,
        builds: Vec<Build>,
        capacity: Capacity,
        rps: f64,
        list_lag_s: f64,
        boot_s: f64,
    ) -> Cloud {
        let inner = Inner {
            builds,
            capacity,
            machines: BTreeMap::new(),
            charters: HashMap::new(),
            next: 1,
            requests: Bucket::new(rps, 2.0),
            list_lag: Duration::from_secs_f64(list_lag_s),
            boot: Duration::from_secs_f64(boot_s),
        };
        let cloud = Cloud { inner: Arc::new(Mutex::new(inner)), world: world.clone() };
        let booting = cloud.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                booting.boot();
            }
        });
        cloud
    }

    /// Starts the workers of machines that are up by now.
    fn boot(&self) {
        let mut inner = self.inner.lock().unwrap();
        let now = Instant::now();
        for rented in inner.machines.values_mut() {
            if rented.worker.is_none() && rented.gone_at.is_none() && rented.up_at <= now {
                rented.worker = Some(Worker::start(&self.world, rented.machine.clone()));
                self.world.record.line(&format!(
                    "{}: up ({} in {}, spot {})",
                    rented.machine.name, rented.machine.build, rented.machine.site, rented.machine.loaners
                ));
            }
        }
    }

    /// Adds a machine, which comes up after `boot`. `long_ago` lets the list show it from the beginning.
    fn add(
        inner: &mut Inner,
        build: &str,
        site: &str,
        loaners: bool,
        boot: Duration,
        first: usize,
        long_ago: bool,
    ) -> String {
        let name = format!("host-{:06}", inner.next);
        inner.next += 1;
        let kind = inner.builds.iter().find(|b| b.label == build).cloned().expect("the type exists");
        let machine = Machine {
            name: name.clone(),
            build: build.into(),
            site: site.into(),
            loaners,
            cores: kind.cores,
            mem_gb: kind.mem_gb,
            pull_gb_per_s: kind.pull_gb_per_s,
            first,
        };
        let now = Instant::now();
        let rented_at = if long_ago { now.checked_sub(Duration::from_secs(60)).unwrap_or(now) } else { now };
        let up_at = if long_ago { rented_at } else { now + boot };
        inner.machines.insert(name.clone(), Rented { machine, rented_at, up_at, gone_at: None, worker: None });
        name
    }

    /// Adds a machine that is up when the run begins, and reports first to the controller with this number.
    pub fn add_running(&self, build: &str, site: &str, loaners: bool, first: usize) -> String {
        Cloud::add(&mut self.inner.lock().unwrap(), build, site, loaners, Duration::ZERO, first, true)
    }

    /// Takes a spot machine back without a notice.
    pub fn take_machine(&self, name: &str) {
        if let Some(rented) = self.inner.lock().unwrap().machines.get_mut(name) {
            rented.gone_at = Some(Instant::now());
            if let Some(worker) = &rented.worker {
                worker.stop();
            }
        }
        self.world.record.line(&format!("{name}: taken back by the cloud"));
    }

    /// The worker of a machine that is up.
    pub fn worker(&self, name: &str) -> Option<Arc<Worker>> {
        self.inner.lock().unwrap().machines.get(name)?.worker.clone().filter(|worker| worker.is_up())
    }

    pub fn handler(&self) -> Handler {
        let cloud = self.clone();
        Arc::new(move |method, path, body| cloud.handle(method, path, body))
    }

    fn handle(&self, method: &str, path: &str, body: &[u8]) -> Option<(u16, Option<Value>)> {
        let mut inner = self.inner.lock().unwrap();
        if !inner.requests.take(1.0) {
            return Some((429, None));
        }
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        match (method, path) {
            ("GET", "/catalog") => {
                let builds = inner.builds.iter().map(|b| {
                    map(vec![
                        ("label", text(b.label)),
                        ("cores", float(b.cores)),
                        ("gpus", float(0.0)),
                        ("mem_gb", float(b.mem_gb)),
                        ("local_gb", float(80.0)),
                        ("pull_gb_per_s", float(b.pull_gb_per_s)),
                        ("hourly", float(b.hourly)),
                        ("spot_price", float(b.spot_price)),
                        ("startup_s", float(b.startup_s)),
                        ("sites", Value::Array(b.sites.iter().map(|site| text(site)).collect())),
                    ])
                });
                Some((200, Some(map(vec![("builds", Value::Array(builds.collect()))]))))
            }
            ("POST", "/hosts") => Some(self.rent(&mut inner, &decode(body)?)),
            ("POST", "/hosts/release") => {
                let request = decode(body)?;
                for name in get_list(&request, "perches").iter().filter_map(Value::as_text) {
                    if let Some(rented) = inner.machines.get_mut(name).filter(|rented| rented.gone_at.is_none()) {
                        rented.gone_at = Some(Instant::now());
                        if let Some(worker) = &rented.worker {
                            worker.stop();
                        }
                        self.world.record.line(&format!("{name}: released"));
                    }
                }
                Some((200, Some(map(vec![]))))
            }
            ("GET", "/hosts") => {
                let after = parameter(query, "after").unwrap_or_default();
                let page = parameter(query, "page").and_then(|p| p.parse().ok()).unwrap_or(500usize).min(500);
                Some((200, Some(Cloud::list(&inner, &after, page))))
            }
            _ => Some((400, None)),
        }
    }

    fn rent(&self, inner: &mut Inner, request: &Value) -> (u16, Option<Value>) {
        let charter = get_text(request, "charter");
        let (build, site) = (get_text(request, "build"), get_text(request, "site"));
        let loaners = get(request, "loaners").and_then(Value::as_bool).unwrap_or(false);
        let number = get_int(request, "number").unwrap_or(0);
        let names = |list: &[String]| map(vec![("perches", Value::Array(list.iter().map(|n| text(n)).collect()))]);
        if let Some(known) = inner.charters.get(&charter) {
            return (200, Some(names(known)));
        }
        if number == 0 || number > 50 {
            return (400, None);
        }
        let key = inner.capacity.keys().find(|(b, s, l)| *b == build && *s == site && *l == loaners).copied();
        let left = key.and_then(|key| inner.capacity.get_mut(&key)).map_or(0, |left| {
            let given = (*left).min(number as u32);
            *left -= given;
            given
        });
        let kind = if loaners { "spot" } else { "ordinary" };
        self.world.record.line(&format!("cloud: {charter} asks for {number} {build} {kind} in {site}, gets {left}"));
        if left == 0 {
            return (503, Some(map(vec![("error", text("no capacity"))])));
        }
        let boot = inner.boot;
        let rented: Vec<String> =
            (0..left).map(|n| Cloud::add(inner, &build, &site, loaners, boot, n as usize, false)).collect();
        inner.charters.insert(charter, rented.clone());
        (200, Some(names(&rented)))
    }

    fn list(inner: &Inner, after: &str, page: usize) -> Value {
        let Some(moment) = Instant::now().checked_sub(inner.list_lag) else {
            return map(vec![("perches", Value::Array(vec![])), ("truncated", Value::Bool(false))]);
        };
        let shown: Vec<(&String, &Rented)> = inner
            .machines
            .iter()
            .filter(|(name, rented)| {
                name.as_str() > after && rented.rented_at <= moment && rented.gone_at.is_none_or(|at| at > moment)
            })
            .collect();
        let truncated = shown.len() > page;
        let rows = shown.into_iter().take(page).map(|(name, rented)| {
            let status = if rented.up_at <= moment { "running" } else { "booting" };
            map(vec![
                ("uid", text(name)),
                ("addr", text(&rented.worker.as_ref().map_or(String::new(), |worker| worker.addr.to_string()))),
                ("build", text(&rented.machine.build)),
                ("site", text(&rented.machine.site)),
                ("loaners", Value::Bool(rented.machine.loaners)),
                ("status", text(status)),
                ("held_s", float((moment - rented.rented_at).as_secs_f64())),
            ])
        });
        map(vec![("perches", Value::Array(rows.collect())), ("truncated", Value::Bool(truncated))])
    }
}
