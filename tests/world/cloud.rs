//! Stand-in for the cloud: machines that boot, a list that lags, releases.

use super::{bytes, get, number, s, text};
use ciborium::{Value, cbor};
use std::collections::BTreeMap;
use std::time::Duration;

pub struct Machine {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub since: Duration,
    pub up_at: Duration,
    up: bool,
}

#[derive(Default)]
pub struct Cloud {
    pub machines: BTreeMap<String, Machine>,
    next: u64,
    pub down: bool,
    answers: BTreeMap<String, Vec<u8>>,
    /// No more than this many machines at a time.
    pub most: usize,
    pub zones: Vec<&'static str>,
    /// Machines are up so long after they were rented, where not as the catalog says.
    pub up_after_s: Option<f64>,
    /// Machines that were returned: when, and which.
    pub returned: Vec<(Duration, String)>,
    /// So many machines to a page of the list, and what the rate limit leaves; none: the
    /// whole list is one page, and there is no limit.
    pub paged: Option<Paged>,
}

/// The list in pages, under the rate limit of the cloud.
#[derive(Debug, Clone, Copy)]
pub struct Paged {
    pub page: usize,
    pub rps: f64,
    level: f64,
    at: Duration,
}

impl Paged {
    /// Bursts of two seconds' worth pass.
    pub fn new(page: usize, rps: f64) -> Paged {
        Paged { page, rps, level: 2.0 * rps, at: Duration::ZERO }
    }

    fn admits(&mut self, now: Duration) -> bool {
        let gained = now.saturating_sub(self.at).as_secs_f64() * self.rps;
        (self.level, self.at) = ((self.level + gained).min(2.0 * self.rps), now);
        let admitted = self.level >= 1.0;
        self.level -= if admitted { 1.0 } else { 0.0 };
        admitted
    }
}

const BOOT_S: f64 = 10.0;
const LAG_S: f64 = 8.0;

impl Cloud {
    pub fn create(&mut self, now: Duration, machine_type: &str, zone: &str, spot: bool) -> String {
        let name = format!("host-{:06}", self.next);
        self.next += 1;
        let up = now == Duration::ZERO;
        let up_at = now + s(if up { 0.0 } else { self.up_after_s.unwrap_or(BOOT_S) });
        let m = Machine { machine_type: machine_type.into(), zone: zone.into(), spot, since: now, up_at, up };
        self.machines.insert(name.clone(), m);
        name
    }

    pub fn booted(&mut self, now: Duration) -> Vec<String> {
        let mut out = Vec::new();
        for (name, m) in self.machines.iter_mut().filter(|(_, m)| !m.up && m.up_at <= now) {
            m.up = true;
            out.push(name.clone());
        }
        out
    }

    pub fn serve(&mut self, now: Duration, method: &str, path: &str, body: &Value) -> (u16, Vec<u8>) {
        if self.down {
            return (503, bytes(&cbor!({"error" => "trouble"}).unwrap()));
        }
        if self.paged.as_mut().is_some_and(|p| !p.admits(now)) {
            return (429, bytes(&cbor!({}).unwrap()));
        }
        match (method, path.split('?').next().unwrap()) {
            ("GET", "/catalog") => {
                let t = cbor!({"label" => "std", "cores" => 8, "gpus" => 4, "mem_gb" => 32, "local_gb" => 60,
                    "pull_gb_per_s" => 1.0, "hourly" => 0.4, "spot_price" => 0.1, "startup_s" => BOOT_S, "sites" => self.zones.clone()});
                (200, bytes(&cbor!({"builds" => [t.unwrap()]}).unwrap()))
            }
            ("POST", "/hosts") => {
                let request_id = text(body, "charter");
                if let Some(a) = self.answers.get(&request_id) {
                    return (200, a.clone());
                }
                let spot = get(body, "loaners").and_then(Value::as_bool).unwrap_or(false);
                let capacity = self.most.saturating_sub(self.machines.len());
                let n = (number(body, "number") as usize).min(capacity);
                if n == 0 {
                    return (503, bytes(&cbor!({"error" => "no capacity"}).unwrap()));
                }
                let names: Vec<String> = (0..n).map(|_| self.create(now, "std", &text(body, "site"), spot)).collect();
                let a = bytes(&cbor!({"perches" => names}).unwrap());
                self.answers.insert(request_id, a.clone());
                (200, a)
            }
            ("POST", "/hosts/release") => {
                for n in get(body, "perches").and_then(Value::as_array).unwrap() {
                    let name = n.as_text().unwrap();
                    if self.machines.remove(name).is_some() {
                        self.returned.push((now, name.to_string()));
                    }
                }
                (200, bytes(&cbor!({}).unwrap()))
            }
            _ => {
                let seen = now.saturating_sub(s(LAG_S));
                let after = path.split(['?', '&']).find_map(|part| part.strip_prefix("after=")).unwrap_or("");
                let page = self.paged.map_or(usize::MAX, |p| p.page);
                let listed = |(name, m): &(&String, &Machine)| m.since <= seen && name.as_str() > after;
                let truncated = self.machines.iter().filter(listed).count() > page;
                let rows: Vec<Value> = self
                    .machines
                    .iter()
                    .filter(listed)
                    .take(page)
                    .map(|(n, m)| {
                        let status = if m.up { "running" } else { "booting" };
                        let held = (seen - m.since).as_secs_f64();
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
