//! The cloud: a catalog, machines that are up at the start, and machines to rent out.

use crate::cbor::Value;
use crate::http::{Answer, Request, serve};
use crate::machine::{Kind, Machine};
use crate::map;
use crate::world::World;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Machines of one kind that can be rented.
pub struct Stock {
    pub kind: Kind,
    pub count: usize,
}

struct Rented {
    name: String,
    kind: Kind,
    rented_at: Instant,
    /// The machine, once it is up.
    machine: Option<Arc<Machine>>,
    gone_at: Option<Instant>,
}

pub struct Cloud {
    catalog: Vec<Value>,
    list_lag: Duration,
    hosts: Mutex<Vec<Rented>>,
    stock: Mutex<Vec<Stock>>,
    /// Answers to requests for machines, by the name of the request.
    charters: Mutex<BTreeMap<String, Value>>,
    /// World time from which on machines are rented out, and how long they boot.
    pub opens: Mutex<(f64, f64)>,
    world: Arc<World>,
}

impl Cloud {
    pub fn start(listener: TcpListener, catalog: Vec<Value>, list_lag_s: f64, world: Arc<World>) -> Arc<Cloud> {
        let cloud = Arc::new(Cloud {
            catalog,
            list_lag: Duration::from_secs_f64(list_lag_s),
            hosts: Mutex::default(),
            stock: Mutex::default(),
            charters: Mutex::default(),
            opens: Mutex::new((0.0, 0.0)),
            world,
        });
        let served = cloud.clone();
        serve(listener, move |request| served.handle(&request));
        cloud
    }

    /// Adds a machine that was rented before the case began, and is up.
    pub fn add(&self, machine: Arc<Machine>) {
        self.hosts.lock().unwrap().push(Rented {
            name: machine.name.clone(),
            kind: machine.kind.clone(),
            rented_at: Instant::now(),
            machine: Some(machine),
            gone_at: None,
        });
    }

    pub fn add_stock(&self, stock: Stock) {
        self.stock.lock().unwrap().push(stock);
    }

    fn handle(self: &Arc<Cloud>, request: &Request) -> Answer {
        match (request.method.as_str(), request.route()) {
            ("GET", "/catalog") => (200, map! {"builds" => self.catalog.clone()}),
            ("GET", "/hosts") => {
                let after = request.query("after").unwrap_or("");
                let is_listed = |host: &&Rented| {
                    host.name.as_str() > after
                        && (host.machine.is_some() || host.rented_at.elapsed() >= self.list_lag)
                        && host.gone_at.is_none_or(|gone| gone.elapsed() < self.list_lag)
                };
                let hosts = self.hosts.lock().unwrap();
                let rows = hosts.iter().filter(is_listed).map(|host| {
                    let addr =
                        host.machine.as_ref().map_or("127.0.0.1:9".to_string(), |machine| machine.addr.to_string());
                    map! {
                        "uid" => host.name.clone(), "addr" => addr, "build" => host.kind.build.clone(),
                        "site" => host.kind.site.clone(), "loaners" => host.kind.spot,
                        "status" => if host.machine.is_some() { "running" } else { "booting" },
                        "held_s" => host.rented_at.elapsed().as_secs_f64(),
                    }
                });
                (200, map! {"perches" => rows.collect::<Vec<Value>>(), "truncated" => false})
            }
            ("POST", "/hosts") => self.rent(&request.body),
            ("POST", "/hosts/release") => {
                for name in request.body.get("perches").list() {
                    for host in self.hosts.lock().unwrap().iter_mut() {
                        if host.name == name.text() && host.gone_at.is_none() {
                            self.world.note(format!("machine {} is returned to the cloud", host.name));
                            host.gone_at = Some(Instant::now());
                            if let Some(machine) = &host.machine {
                                machine.remove();
                            }
                        }
                    }
                }
                (200, map! {})
            }
            _ => (400, Value::Null),
        }
    }

    fn rent(self: &Arc<Cloud>, body: &Value) -> Answer {
        let charter = body.get("charter").text().to_string();
        if let Some(answer) = self.charters.lock().unwrap().get(&charter) {
            return (200, answer.clone());
        }
        let none = (503, map! {"error" => "no capacity"});
        let (from_s, boot_s) = *self.opens.lock().unwrap();
        if self.world.now() < from_s {
            return none;
        }
        let mut stock = self.stock.lock().unwrap();
        let is_it = |stock: &&mut Stock| {
            (stock.kind.build.as_str(), stock.kind.site.as_str()) == (body.get("build").text(), body.get("site").text())
                && Value::Bool(stock.kind.spot) == *body.get("loaners")
                && stock.count > 0
        };
        let Some(stock) = stock.iter_mut().find(is_it) else { return none };
        let number = stock.count.min(body.get("number").int() as usize);
        stock.count -= number;
        let mut names = Vec::new();
        for _ in 0..number {
            let kind = stock.kind.clone();
            let mut hosts = self.hosts.lock().unwrap();
            let name = format!("host-{:06}", hosts.len() + 1);
            self.world.note(format!("machine {name} is rented ({})", kind.build));
            hosts.push(Rented {
                name: name.clone(),
                kind: kind.clone(),
                rented_at: Instant::now(),
                machine: None,
                gone_at: None,
            });
            let (cloud, booting) = (self.clone(), name.clone());
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_secs_f64(boot_s));
                let mut hosts = cloud.hosts.lock().unwrap();
                if let Some(host) = hosts.iter_mut().find(|host| host.name == booting && host.gone_at.is_none()) {
                    host.machine = Some(Machine::start(&booting, kind, &[], &cloud.world));
                }
            });
            names.push(Value::from(name));
        }
        let answer = map! {"perches" => names};
        self.charters.lock().unwrap().insert(charter, answer.clone());
        (200, answer)
    }
}
