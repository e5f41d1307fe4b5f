//! Stand-in for the cloud provider: it serves the catalog, boots and releases machines, and
//! lists them with a lag.

#![warn(missing_docs)]

use super::{bytes, get, number, s, text};
use ciborium::{Value, cbor};
use std::collections::BTreeMap;
use std::time::Duration;

/// A rented machine.
pub struct Machine {
    /// The machine type that was asked for.
    pub machine_type: String,
    /// The zone that it is in.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// When it was rented.
    pub rented_at: Duration,
    /// When it finishes booting.
    pub up_at: Duration,
    up: bool,
}

/// The cloud provider.
#[derive(Default)]
pub struct Cloud {
    /// The rented machines by name.
    pub machines: BTreeMap<String, Machine>,
    next_machine: u64,
    /// Whether it refuses every request with status 503.
    pub down: bool,
    /// Answers to requests for machines, by request id: a repeated request rents no more.
    rental_answers: BTreeMap<String, Vec<u8>>,
    /// The largest number of machines that may be rented at a time.
    pub most: usize,
    /// The zones in which machines can be rented.
    pub zones: Vec<&'static str>,
    /// Machine types in the catalog beside `std`.
    pub more_types: Vec<Value>,
    /// How long machines take to boot in seconds, if it is not what the catalog says.
    pub up_after_s: Option<f64>,
    /// Requests for machines: when, and whether for spot machines.
    pub rental_requests: Vec<(Duration, bool)>,
    /// Machines that were returned: when, and which.
    pub returned: Vec<(Duration, String)>,
    /// The pages of the list and the rate limit; without it the whole list is one page, and
    /// requests are not limited.
    pub paged_list: Option<PagedList>,
}

/// The page size of the machine list, and the rate limit on all requests to the cloud.
#[derive(Debug, Clone, Copy)]
pub struct PagedList {
    /// Machines on a page.
    pub page_size: usize,
    /// Requests admitted per second.
    pub rps: f64,
    tokens: f64,
    updated_at: Duration,
}

impl PagedList {
    /// Creates a rate limit that admits bursts of two seconds' worth of requests.
    pub fn new(page_size: usize, rps: f64) -> PagedList {
        PagedList { page_size, rps, tokens: 2.0 * rps, updated_at: Duration::ZERO }
    }

    /// Takes a token for one request, and returns whether there was one.
    fn admit(&mut self, now: Duration) -> bool {
        let gained = now.saturating_sub(self.updated_at).as_secs_f64() * self.rps;
        (self.tokens, self.updated_at) = ((self.tokens + gained).min(2.0 * self.rps), now);
        let admitted = self.tokens >= 1.0;
        self.tokens -= if admitted { 1.0 } else { 0.0 };
        admitted
    }
}

/// How long machines take to boot, in seconds.
const BOOT_S: f64 = 10.0;
/// How old the list of machines is, in seconds.
const LIST_LAG_S: f64 = 8.0;

impl Cloud {
    /// Rents a machine and returns its name. Machines rented at time zero are up at once.
    pub fn create(&mut self, now: Duration, machine_type: &str, zone: &str, spot: bool) -> String {
        let name = format!("host-{:06}", self.next_machine);
        self.next_machine += 1;
        let up = now == Duration::ZERO;
        let up_at = now + s(if up { 0.0 } else { self.up_after_s.unwrap_or(BOOT_S) });
        let machine = Machine { machine_type: machine_type.into(), zone: zone.into(), spot, rented_at: now, up_at, up };
        self.machines.insert(name.clone(), machine);
        name
    }

    /// Marks the machines that have booted by now as up, and returns their names.
    pub fn booted(&mut self, now: Duration) -> Vec<String> {
        let mut names = Vec::new();
        for (name, m) in self.machines.iter_mut().filter(|(_, m)| !m.up && m.up_at <= now) {
            m.up = true;
            names.push(name.clone());
        }
        names
    }

    /// Answers a request with a status and a body.
    pub fn serve(&mut self, now: Duration, method: &str, path: &str, body: &Value) -> (u16, Vec<u8>) {
        if self.down {
            return (503, bytes(&cbor!({"error" => "trouble"}).unwrap()));
        }
        if self.paged_list.as_mut().is_some_and(|p| !p.admit(now)) {
            return (429, bytes(&cbor!({}).unwrap()));
        }
        match (method, path.split('?').next().unwrap()) {
            ("GET", "/catalog") => {
                let machine_type = cbor!({"label" => "std", "cores" => 8, "gpus" => 4, "mem_gb" => 32, "local_gb" => 60,
                    "pull_gb_per_s" => 1.0, "hourly" => 0.4, "spot_price" => 0.1, "startup_s" => BOOT_S, "sites" => self.zones.clone()});
                let types: Vec<Value> = self.more_types.iter().cloned().chain(machine_type).collect();
                (200, bytes(&cbor!({"builds" => types}).unwrap()))
            }
            ("POST", "/hosts") => {
                let request_id = text(body, "charter");
                if let Some(answer) = self.rental_answers.get(&request_id) {
                    return (200, answer.clone());
                }
                let spot = get(body, "loaners").and_then(Value::as_bool).unwrap_or(false);
                self.rental_requests.push((now, spot));
                let capacity = self.most.saturating_sub(self.machines.len());
                let count = (number(body, "number") as usize).min(capacity);
                if count == 0 {
                    return (503, bytes(&cbor!({"error" => "no capacity"}).unwrap()));
                }
                let names: Vec<String> =
                    (0..count).map(|_| self.create(now, "std", &text(body, "site"), spot)).collect();
                let answer = bytes(&cbor!({"perches" => names}).unwrap());
                self.rental_answers.insert(request_id, answer.clone());
                (200, answer)
            }
            ("POST", "/hosts/release") => {
                for name in get(body, "perches").and_then(Value::as_array).unwrap() {
                    let name = name.as_text().unwrap();
                    if self.machines.remove(name).is_some() {
                        self.returned.push((now, name.to_string()));
                    }
                }
                (200, bytes(&cbor!({}).unwrap()))
            }
            _ => {
                let as_of = now.saturating_sub(s(LIST_LAG_S));
                let after = path.split(['?', '&']).find_map(|part| part.strip_prefix("after=")).unwrap_or("");
                let page_size = self.paged_list.map_or(usize::MAX, |p| p.page_size);
                let listed = |(name, m): &(&String, &Machine)| m.rented_at <= as_of && name.as_str() > after;
                let truncated = self.machines.iter().filter(listed).count() > page_size;
                let rows: Vec<Value> = self
                    .machines
                    .iter()
                    .filter(listed)
                    .take(page_size)
                    .map(|(n, m)| {
                        let status = if m.up { "running" } else { "booting" };
                        let held = (as_of - m.rented_at).as_secs_f64();
                        cbor!({"uid" => n.clone(), "addr" => "", "build" => m.machine_type.clone(), "site" => m.zone.clone(),
                            "loaners" => m.spot, "status" => status, "held_s" => held})
                        .unwrap()
                    })
                    .collect();
                (200, bytes(&cbor!({"perches" => rows, "truncated" => truncated}).unwrap()))
            }
        }
    }
}
