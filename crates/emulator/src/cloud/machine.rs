//! What the cloud knows and decides. Pure: time and luck come in. Invariants:
//! a request id rents once; a name is never used twice; a machine that was listed
//! stays listed until it is gone.

use crate::bucket::Bucket;
use finchquay_protocol::cloud::{
    Catalog, ListedMachine, MachineType, Page, Phase, RELEASE_LIMIT, RENT_LIMIT, ReleaseRequest, RentRequest,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// A machine that died is listed as running for this long.
const DEAD_LISTED: Duration = Duration::from_secs(30);
/// Shortest time that a rental costs.
const LEAST_HELD_S: f64 = 60.0;

/// One machine type, and how its machines behave.
#[derive(Debug, Clone)]
pub struct Offer {
    pub kind: MachineType,
    /// Machines that there are of it in each zone: ordinary and spot.
    pub capacity: BTreeMap<String, (u32, u32)>,
    /// Share of machines that never come up.
    pub cold: f64,
}

#[derive(Debug, Clone)]
pub struct Config {
    pub offers: Vec<Offer>,
    pub rps: f64,
    pub list_lag: Duration,
    /// Warning before a spot machine is taken; some get none.
    pub notice: Duration,
    pub silent_share: f64,
    pub worker_port: u16,
}

/// What the emulator may do to the cloud while it runs.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    Outage(bool),
    /// Boots of a type, or of all, take this many times as long.
    Late {
        machine_type: Option<String>,
        factor: f64,
    },
    /// Machines of a type, or of all, never come up from now on.
    Cold {
        machine_type: Option<String>,
        on: bool,
    },
    /// Only this share of the capacity is there.
    Scarce(f64),
    /// So many spot machines are taken back.
    Recall {
        count: u32,
    },
    /// So many machines stop with all that is on them.
    Die {
        count: u32,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub enum Happening {
    Up {
        name: String,
    },
    /// The machine is taken at that time.
    Notice {
        name: String,
        at: Duration,
    },
    Gone {
        name: String,
        why: &'static str,
    },
}

#[derive(Debug, Clone)]
pub struct Rental {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub addr: SocketAddr,
    pub since: Duration,
    /// `None`: never.
    up_at: Option<Duration>,
    pub up: bool,
    take_at: Option<Duration>,
    died_at: Option<Duration>,
    gone_at: Option<Duration>,
    listed: bool,
}

impl Rental {
    pub fn alive(&self) -> bool {
        self.gone_at.is_none() && self.died_at.is_none()
    }
}

pub struct Cloud {
    config: Config,
    rentals: BTreeMap<String, Rental>,
    request_ids: HashMap<String, Vec<String>>,
    rented: u32,
    bucket: Bucket,
    rng: StdRng,
    outage: bool,
    late: Vec<(Option<String>, f64)>,
    cold: Vec<Option<String>>,
    scarce: f64,
    /// Money spent on machines that are gone.
    spent: f64,
    happened: Vec<Happening>,
}

/// Why nothing was rented.
#[derive(Debug, PartialEq, Eq)]
pub enum Refusal {
    Malformed,
    NoCapacity,
}

impl Cloud {
    /// `rented`: machines that were rented before, whose names are taken.
    pub fn new(config: Config, seed: u64, rented: u32) -> Cloud {
        Cloud {
            bucket: Bucket::new(config.rps, 2.0),
            config,
            rentals: BTreeMap::new(),
            request_ids: HashMap::new(),
            rented,
            rng: StdRng::seed_from_u64(seed),
            outage: false,
            late: Vec::new(),
            cold: Vec::new(),
            scarce: 1.0,
            spent: 0.0,
            happened: Vec::new(),
        }
    }

    /// Whether a request is served: `Err` is the status that it gets.
    pub fn admit(&mut self, now: Duration) -> Result<(), u16> {
        if self.outage {
            return Err(503);
        }
        if self.bucket.take(now, 1.0) { Ok(()) } else { Err(429) }
    }

    /// The machine types, with spot prices as they are now.
    pub fn catalog(&mut self) -> Catalog {
        let mut machine_types: Vec<MachineType> = self.config.offers.iter().map(|o| o.kind.clone()).collect();
        for b in &mut machine_types {
            b.spot_price *= self.rng.random_range(0.8..1.25);
        }
        Catalog { machine_types }
    }

    pub fn kind(&self, machine_type: &str) -> Option<&MachineType> {
        self.config.offers.iter().map(|o| &o.kind).find(|k| k.label == machine_type)
    }

    pub fn rental(&self, name: &str) -> Option<&Rental> {
        self.rentals.get(name)
    }

    pub fn alive(&self) -> impl Iterator<Item = (&String, &Rental)> {
        self.rentals.iter().filter(|(_, r)| r.alive())
    }

    pub fn rent(&mut self, now: Duration, ask: &RentRequest) -> Result<Vec<String>, Refusal> {
        if let Some(names) = self.request_ids.get(ask.request_id.as_ref()) {
            return Ok(names.clone());
        }
        let offer = self.config.offers.iter().find(|o| o.kind.label == ask.machine_type).ok_or(Refusal::Malformed)?;
        let (ordinary, spot) = offer.capacity.get(ask.zone.as_ref()).copied().ok_or(Refusal::Malformed)?;
        if ask.request_id.is_empty() || !(1..=RENT_LIMIT).contains(&ask.number) {
            return Err(Refusal::Malformed);
        }
        let most = if ask.spot { spot } else { ordinary };
        let taken = |r: &&Rental| {
            r.gone_at.is_none() && r.machine_type == ask.machine_type && r.zone == ask.zone && r.spot == ask.spot
        };
        let taken = self.rentals.values().filter(taken).count() as u32;
        let left = ((f64::from(most) * self.scarce) as u32).saturating_sub(taken);
        if left == 0 {
            return Err(Refusal::NoCapacity);
        }
        let (machine_type, zone) = (ask.machine_type.to_string(), ask.zone.to_string());
        let names: Vec<String> =
            (0..ask.number.min(left)).map(|_| self.create(now, &machine_type, &zone, ask.spot, false)).collect();
        self.request_ids.insert(ask.request_id.to_string(), names.clone());
        Ok(names)
    }

    /// Adds a machine; `up` at once for those that stand there at the start.
    pub fn create(&mut self, now: Duration, machine_type: &str, zone: &str, spot: bool, up: bool) -> String {
        let n = self.rented;
        self.rented += 1;
        let name = format!("host-{n:06}");
        let [_, _, high, low] = (n / 250 * 256 + n % 250 + 1).to_be_bytes();
        let addr = SocketAddr::from((Ipv4Addr::new(127, 1, high, low), self.config.worker_port));
        let offer = self.config.offers.iter().find(|o| o.kind.label == machine_type);
        let (startup, cold) = offer.map_or((0.0, 0.0), |o| (o.kind.startup_s, o.cold));
        let hit = |b: &Option<String>| b.as_deref().is_none_or(|b| b == machine_type);
        let factor: f64 = self.late.iter().filter(|(b, _)| hit(b)).map(|(_, f)| f).product();
        let boot = startup * self.rng.random_range(0.6..1.5) * factor;
        let never = self.rng.random_bool(cold) || self.cold.iter().any(hit);
        let up_at = if up { Some(now) } else { (!never).then_some(now + Duration::from_secs_f64(boot)) };
        let rental = Rental {
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            addr,
            since: now,
            up_at,
            up: false,
            take_at: None,
            died_at: None,
            gone_at: None,
            listed: false,
        };
        self.rentals.insert(name.clone(), rental);
        name
    }

    /// Releases machines; unknown names are passed over.
    pub fn release(&mut self, now: Duration, ask: &ReleaseRequest) -> Result<(), Refusal> {
        if ask.machines.len() > RELEASE_LIMIT {
            return Err(Refusal::Malformed);
        }
        for name in ask.machines.iter() {
            self.end(now, name, "released");
        }
        Ok(())
    }

    fn end(&mut self, now: Duration, name: &str, why: &'static str) {
        let Some(r) = self.rentals.get_mut(name).filter(|r| r.gone_at.is_none()) else { return };
        let was_alive = r.died_at.is_none();
        r.gone_at = Some(now);
        let held = r.died_at.unwrap_or(now).saturating_sub(r.since).as_secs_f64().max(LEAST_HELD_S);
        let rate = self.config.offers.iter().find(|o| o.kind.label == r.machine_type).map(|o| &o.kind);
        self.spent += rate.map_or(0.0, |k| if r.spot { k.spot_price } else { k.on_demand_price }) * held / 3600.0;
        if was_alive {
            self.happened.push(Happening::Gone { name: name.into(), why });
        }
    }

    /// Money spent until now, by nominal prices.
    pub fn spent(&self, now: Duration) -> f64 {
        let running = self.rentals.values().filter(|r| r.gone_at.is_none()).map(|r| {
            let held = r.died_at.unwrap_or(now).saturating_sub(r.since).as_secs_f64();
            self.kind(&r.machine_type).map_or(0.0, |k| if r.spot { k.spot_price } else { k.on_demand_price }) * held
                / 3600.0
        });
        self.spent + running.sum::<f64>()
    }

    /// The list as it was up to two lags ago.
    pub fn list(&mut self, now: Duration, after: &str, page: usize) -> Page {
        let seen = now.saturating_sub(self.config.list_lag.mul_f64(self.rng.random_range(1.0..2.0)));
        let mut machines = Vec::new();
        let mut truncated = false;
        use std::ops::Bound::{Excluded, Unbounded};
        for (name, r) in self.rentals.range_mut::<str, _>((Excluded(after), Unbounded)) {
            let gone = r.gone_at.is_some_and(|t| t <= seen);
            if gone || !(r.listed || r.since <= seen) {
                continue;
            }
            if machines.len() == page {
                truncated = true;
                break;
            }
            r.listed = true;
            let phase = match (r.died_at, r.up_at) {
                (Some(t), _) if t + DEAD_LISTED <= seen => Phase::Failed,
                (_, Some(t)) if t <= seen => Phase::Running,
                _ => Phase::Booting,
            };
            machines.push(ListedMachine {
                uid: name.clone(),
                addr: r.addr.to_string(),
                machine_type: r.machine_type.clone(),
                zone: r.zone.clone(),
                spot: r.spot,
                phase,
                rented_s: seen.saturating_sub(r.since).as_secs_f64(),
            });
        }
        Page { machines, truncated }
    }

    pub fn fault(&mut self, now: Duration, fault: &Fault) {
        match fault {
            Fault::Outage(on) => self.outage = *on,
            Fault::Late { machine_type, factor } => {
                self.late.retain(|(b, _)| b != machine_type);
                self.late.push((machine_type.clone(), *factor));
            }
            Fault::Cold { machine_type, on: true } => self.cold.push(machine_type.clone()),
            Fault::Cold { machine_type, on: false } => self.cold.retain(|b| b != machine_type),
            Fault::Scarce(share) => self.scarce = *share,
            Fault::Recall { count } => {
                for name in self.some(*count, |r| r.spot) {
                    let silent = self.rng.random_bool(self.config.silent_share);
                    if silent {
                        self.end(now, &name, "recalled");
                        continue;
                    }
                    let at = now + self.config.notice.mul_f64(self.rng.random_range(0.5..1.5));
                    if let Some(r) = self.rentals.get_mut(&name) {
                        r.take_at = Some(at);
                    }
                    self.happened.push(Happening::Notice { name, at });
                }
            }
            Fault::Die { count } => {
                for name in self.some(*count, |_| true) {
                    if let Some(r) = self.rentals.get_mut(&name) {
                        r.died_at = Some(now);
                    }
                    self.happened.push(Happening::Gone { name, why: "died" });
                }
            }
        }
    }

    /// Some machines that are up, drawn by luck.
    fn some(&mut self, count: u32, which: impl Fn(&Rental) -> bool) -> Vec<String> {
        let fits = |r: &Rental| r.alive() && r.up && r.take_at.is_none() && which(r);
        let mut names: Vec<String> = self.rentals.iter().filter(|(_, r)| fits(r)).map(|(n, _)| n.clone()).collect();
        let mut out = Vec::new();
        while out.len() < count as usize && !names.is_empty() {
            out.push(names.swap_remove(self.rng.random_range(0..names.len())));
        }
        out
    }

    /// Lets time pass, and tells all that has happened since it was last asked.
    pub fn advance(&mut self, now: Duration) -> Vec<Happening> {
        let mut taken = Vec::new();
        for (name, r) in self.rentals.iter_mut().filter(|(_, r)| r.alive()) {
            if !r.up && r.up_at.is_some_and(|t| t <= now) {
                r.up = true;
                self.happened.push(Happening::Up { name: name.clone() });
            }
            if r.take_at.is_some_and(|t| t <= now) {
                taken.push(name.clone());
            }
        }
        taken.iter().for_each(|name| self.end(now, name, "recalled"));
        std::mem::take(&mut self.happened)
    }
}

#[cfg(test)]
mod tests;
