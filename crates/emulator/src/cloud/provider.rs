//! State and decisions of the emulated cloud, without I/O: the caller passes the time, and
//! random numbers come from a seed. Invariants: a request id rents at most once; a machine
//! name is never used twice; a machine that was listed stays listed until it is gone.

use crate::bucket::TokenBucket;
use finchquay_protocol::cloud::{
    Catalog, ListedMachine, MAX_MACHINES_PER_RELEASE, MAX_MACHINES_PER_RENT, MachinePage, MachineType, Phase,
    ReleaseRequest, RentRequest,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// A machine that died is still listed as running for this long.
const FAILURE_DETECTION_DELAY: Duration = Duration::from_secs(30);
/// Shortest time that is billed for a rental, in seconds.
const MIN_BILLED_S: f64 = 60.0;

/// A machine type on offer.
#[derive(Debug, Clone)]
pub struct Offer {
    /// Machine type as the catalog lists it.
    pub machine_type: MachineType,
    /// Capacity in each zone: numbers of on-demand and of spot machines.
    pub capacity: BTreeMap<String, (u32, u32)>,
    /// Share of the machines that never come up.
    pub never_up_share: f64,
}

/// Configuration of the emulated cloud.
#[derive(Debug, Clone)]
pub struct CloudConfig {
    /// Machine types on offer.
    pub offers: Vec<Offer>,
    /// Requests per second that are served.
    pub rps: f64,
    /// Shortest delay of the machine list; the longest is twice as long.
    pub list_lag: Duration,
    /// Average time between the preemption notice and the preemption of a spot machine.
    pub preemption_notice: Duration,
    /// Share of preemptions that come without notice.
    pub no_notice_share: f64,
    /// Port at which the workers listen, each on the address of its machine.
    pub worker_port: u16,
}

/// Fault that can be injected into the cloud while it runs.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudFault {
    /// Begins or ends an outage, in which every request gets 503.
    Outage(bool),
    /// Machines take longer to boot.
    SlowBoot {
        /// Affected machine type; all where absent.
        machine_type: Option<String>,
        /// Multiple of the usual boot time; 1 ends the fault.
        factor: f64,
    },
    /// Machines that are rented from now on never come up.
    FailedBoot {
        /// Affected machine type; all where absent.
        machine_type: Option<String>,
        /// Whether the fault begins.
        on: bool,
    },
    /// Only this share of the capacity is available.
    ReducedCapacity(f64),
    /// Spot machines are preempted.
    Preempt {
        /// Number of machines.
        count: u32,
    },
    /// Machines fail with everything on them.
    Fail {
        /// Number of machines.
        count: u32,
    },
}

/// Change of a machine that the rest of the emulator has to follow.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudEvent {
    /// The machine has booted.
    Up {
        /// Name of the machine.
        name: String,
    },
    /// The machine has been given notice of its preemption.
    PreemptionNotice {
        /// Name of the machine.
        name: String,
        /// When it will be preempted.
        at: Duration,
    },
    /// The machine is gone.
    Gone {
        /// Name of the machine.
        name: String,
        /// `released`, `recalled` or `died`.
        why: &'static str,
    },
}

/// A machine that was rented.
#[derive(Debug, Clone)]
pub struct Rental {
    /// Machine type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Address at which its worker listens.
    pub addr: SocketAddr,
    /// When it was rented.
    pub rented_at: Duration,
    /// When it comes up; `None` if it never does.
    up_at: Option<Duration>,
    /// Whether it has come up.
    pub up: bool,
    /// When it will be preempted, once it has been given notice.
    preempt_at: Option<Duration>,
    /// When it failed.
    died_at: Option<Duration>,
    /// When the rental ended.
    gone_at: Option<Duration>,
    /// Whether it has been listed.
    listed: bool,
}

impl Rental {
    /// Whether the rental has not ended and the machine has not failed.
    pub fn alive(&self) -> bool {
        self.gone_at.is_none() && self.died_at.is_none()
    }
}

/// State of the emulated cloud.
pub struct Cloud {
    config: CloudConfig,
    /// Every machine that was ever rented, by its name.
    rentals: BTreeMap<String, Rental>,
    /// Machines that each request id has rented.
    request_ids: HashMap<String, Vec<String>>,
    /// Number of machines that were ever rented; the next name is made from it.
    rented: u32,
    bucket: TokenBucket,
    rng: StdRng,
    outage: bool,
    /// Boot time factors, each for a machine type or for all.
    boot_factors: Vec<(Option<String>, f64)>,
    /// Machine types whose machines never come up; `None` stands for all.
    never_up: Vec<Option<String>>,
    /// Share of the capacity that is available.
    capacity_share: f64,
    /// Money spent on machines that are gone.
    spent: f64,
    /// Changes since the last call of [`Cloud::advance`].
    events: Vec<CloudEvent>,
}

/// Why a request was refused.
#[derive(Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request is invalid.
    Malformed,
    /// No machine of the type is available in the zone.
    NoCapacity,
}

impl Cloud {
    /// Creates a cloud without machines. `rented` is the number of machines that earlier
    /// runs rented: their names are not used again.
    pub fn new(config: CloudConfig, seed: u64, rented: u32) -> Cloud {
        Cloud {
            bucket: TokenBucket::new(config.rps, 2.0),
            config,
            rentals: BTreeMap::new(),
            request_ids: HashMap::new(),
            rented,
            rng: StdRng::seed_from_u64(seed),
            outage: false,
            boot_factors: Vec::new(),
            never_up: Vec::new(),
            capacity_share: 1.0,
            spent: 0.0,
            events: Vec::new(),
        }
    }

    /// Checks whether a request is served. The error is the HTTP status of its response.
    pub fn admit(&mut self, now: Duration) -> Result<(), u16> {
        if self.outage {
            return Err(503);
        }
        if self.bucket.try_take(now, 1.0) { Ok(()) } else { Err(429) }
    }

    /// Lists the machine types; spot prices fluctuate from call to call.
    pub fn catalog(&mut self) -> Catalog {
        let mut machine_types: Vec<MachineType> = self.config.offers.iter().map(|o| o.machine_type.clone()).collect();
        for machine_type in &mut machine_types {
            machine_type.spot_price *= self.rng.random_range(0.8..1.25);
        }
        Catalog { machine_types }
    }

    /// Returns the machine type with this label.
    pub fn machine_type(&self, label: &str) -> Option<&MachineType> {
        self.config.offers.iter().map(|o| &o.machine_type).find(|machine_type| machine_type.name == label)
    }

    /// Returns a rented machine by its name.
    pub fn rental(&self, name: &str) -> Option<&Rental> {
        self.rentals.get(name)
    }

    /// Lists the machines that are rented and have not failed, with their names.
    pub fn alive(&self) -> impl Iterator<Item = (&String, &Rental)> {
        self.rentals.iter().filter(|(_, r)| r.alive())
    }

    /// Rents up to the requested number of machines and returns their names. A repeated
    /// request id gets the machines of the first request.
    pub fn rent(&mut self, now: Duration, request: &RentRequest) -> Result<Vec<String>, Refusal> {
        if let Some(names) = self.request_ids.get(request.request_id.as_ref()) {
            return Ok(names.clone());
        }
        let offer = self
            .config
            .offers
            .iter()
            .find(|o| o.machine_type.name == request.machine_type)
            .ok_or(Refusal::Malformed)?;
        let (on_demand, spot) = offer.capacity.get(request.zone.as_ref()).copied().ok_or(Refusal::Malformed)?;
        if request.request_id.is_empty() || !(1..=MAX_MACHINES_PER_RENT).contains(&request.number) {
            return Err(Refusal::Malformed);
        }
        let capacity = if request.spot { spot } else { on_demand };
        let taken = |r: &&Rental| {
            r.gone_at.is_none()
                && r.machine_type == request.machine_type
                && r.zone == request.zone
                && r.spot == request.spot
        };
        let taken = self.rentals.values().filter(taken).count() as u32;
        let left = ((f64::from(capacity) * self.capacity_share) as u32).saturating_sub(taken);
        if left == 0 {
            return Err(Refusal::NoCapacity);
        }
        let (machine_type, zone) = (request.machine_type.to_string(), request.zone.to_string());
        let names: Vec<String> = (0..request.number.min(left))
            .map(|_| self.add_machine(now, &machine_type, &zone, request.spot, false))
            .collect();
        self.request_ids.insert(request.request_id.to_string(), names.clone());
        Ok(names)
    }

    /// Adds a machine and returns its name. With `up` it needs no time to boot, as for the
    /// machines that a scenario begins with.
    pub fn add_machine(&mut self, now: Duration, machine_type: &str, zone: &str, spot: bool, up: bool) -> String {
        let n = self.rented;
        self.rented += 1;
        let name = format!("host-{n:06}");
        // The last byte of the address takes the values 1 to 250.
        let [_, _, high, low] = (n / 250 * 256 + n % 250 + 1).to_be_bytes();
        let addr = SocketAddr::from((Ipv4Addr::new(127, 1, high, low), self.config.worker_port));
        let offer = self.config.offers.iter().find(|o| o.machine_type.name == machine_type);
        let (startup_s, never_up_share) = offer.map_or((0.0, 0.0), |o| (o.machine_type.startup_s, o.never_up_share));
        let affected = |faulty_type: &Option<String>| faulty_type.as_deref().is_none_or(|t| t == machine_type);
        let factor: f64 = self.boot_factors.iter().filter(|(t, _)| affected(t)).map(|(_, factor)| factor).product();
        let boot_s = startup_s * self.rng.random_range(0.6..1.5) * factor;
        let never = self.rng.random_bool(never_up_share) || self.never_up.iter().any(affected);
        let up_at = if up { Some(now) } else { (!never).then_some(now + Duration::from_secs_f64(boot_s)) };
        let rental = Rental {
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            addr,
            rented_at: now,
            up_at,
            up: false,
            preempt_at: None,
            died_at: None,
            gone_at: None,
            listed: false,
        };
        self.rentals.insert(name.clone(), rental);
        name
    }

    /// Releases machines. Unknown names are ignored.
    pub fn release(&mut self, now: Duration, request: &ReleaseRequest) -> Result<(), Refusal> {
        if request.machines.len() > MAX_MACHINES_PER_RELEASE {
            return Err(Refusal::Malformed);
        }
        for name in request.machines.iter() {
            self.end(now, name, "released");
        }
        Ok(())
    }

    /// Ends a rental and bills it.
    fn end(&mut self, now: Duration, name: &str, why: &'static str) {
        let Some(rental) = self.rentals.get_mut(name).filter(|rental| rental.gone_at.is_none()) else { return };
        let was_alive = rental.died_at.is_none();
        rental.gone_at = Some(now);
        let billed_s = rental.died_at.unwrap_or(now).saturating_sub(rental.rented_at).as_secs_f64().max(MIN_BILLED_S);
        let machine_type =
            self.config.offers.iter().find(|o| o.machine_type.name == rental.machine_type).map(|o| &o.machine_type);
        self.spent += machine_type.map_or(0.0, |k| if rental.spot { k.spot_price } else { k.on_demand_price })
            * billed_s
            / 3600.0;
        if was_alive {
            self.events.push(CloudEvent::Gone { name: name.into(), why });
        }
    }

    /// Money spent until now, at list prices: fluctuations of spot prices do not count.
    pub fn spent(&self, now: Duration) -> f64 {
        let running = self.rentals.values().filter(|r| r.gone_at.is_none()).map(|r| {
            let held_s = r.died_at.unwrap_or(now).saturating_sub(r.rented_at).as_secs_f64();
            self.machine_type(&r.machine_type).map_or(0.0, |k| if r.spot { k.spot_price } else { k.on_demand_price })
                * held_s
                / 3600.0
        });
        self.spent + running.sum::<f64>()
    }

    /// Lists up to `page` machines whose names come after `after`, as they were one to two
    /// list lags ago.
    pub fn list(&mut self, now: Duration, after: &str, page: usize) -> MachinePage {
        let as_of = now.saturating_sub(self.config.list_lag.mul_f64(self.rng.random_range(1.0..2.0)));
        let mut machines = Vec::new();
        let mut truncated = false;
        use std::ops::Bound::{Excluded, Unbounded};
        for (name, rental) in self.rentals.range_mut::<str, _>((Excluded(after), Unbounded)) {
            let gone = rental.gone_at.is_some_and(|at| at <= as_of);
            if gone || !(rental.listed || rental.rented_at <= as_of) {
                continue;
            }
            if machines.len() == page {
                truncated = true;
                break;
            }
            rental.listed = true;
            let phase = match (rental.died_at, rental.up_at) {
                (Some(died_at), _) if died_at + FAILURE_DETECTION_DELAY <= as_of => Phase::Failed,
                (_, Some(up_at)) if up_at <= as_of => Phase::Running,
                _ => Phase::Booting,
            };
            machines.push(ListedMachine {
                id: name.clone(),
                addr: rental.addr.to_string(),
                machine_type: rental.machine_type.clone(),
                zone: rental.zone.clone(),
                spot: rental.spot,
                phase,
                rented_s: as_of.saturating_sub(rental.rented_at).as_secs_f64(),
            });
        }
        MachinePage { machines, truncated }
    }

    /// Begins or ends a fault.
    pub fn inject(&mut self, now: Duration, fault: &CloudFault) {
        match fault {
            CloudFault::Outage(on) => self.outage = *on,
            CloudFault::SlowBoot { machine_type, factor } => {
                self.boot_factors.retain(|(affected, _)| affected != machine_type);
                self.boot_factors.push((machine_type.clone(), *factor));
            }
            CloudFault::FailedBoot { machine_type, on: true } => self.never_up.push(machine_type.clone()),
            CloudFault::FailedBoot { machine_type, on: false } => {
                self.never_up.retain(|affected| affected != machine_type)
            }
            CloudFault::ReducedCapacity(share) => self.capacity_share = *share,
            CloudFault::Preempt { count } => {
                for name in self.choose(*count, |rental| rental.spot) {
                    let no_notice = self.rng.random_bool(self.config.no_notice_share);
                    if no_notice {
                        self.end(now, &name, "recalled");
                        continue;
                    }
                    let at = now + self.config.preemption_notice.mul_f64(self.rng.random_range(0.5..1.5));
                    if let Some(rental) = self.rentals.get_mut(&name) {
                        rental.preempt_at = Some(at);
                    }
                    self.events.push(CloudEvent::PreemptionNotice { name, at });
                }
            }
            CloudFault::Fail { count } => {
                for name in self.choose(*count, |_| true) {
                    if let Some(rental) = self.rentals.get_mut(&name) {
                        rental.died_at = Some(now);
                    }
                    self.events.push(CloudEvent::Gone { name, why: "died" });
                }
            }
        }
    }

    /// Chooses up to `count` machines at random among those that are up, have no preemption
    /// notice and satisfy `filter`.
    fn choose(&mut self, count: u32, filter: impl Fn(&Rental) -> bool) -> Vec<String> {
        let eligible = |r: &Rental| r.alive() && r.up && r.preempt_at.is_none() && filter(r);
        let mut names: Vec<String> =
            self.rentals.iter().filter(|(_, r)| eligible(r)).map(|(name, _)| name.clone()).collect();
        let mut chosen = Vec::new();
        while chosen.len() < count as usize && !names.is_empty() {
            chosen.push(names.swap_remove(self.rng.random_range(0..names.len())));
        }
        chosen
    }

    /// Advances the clock, and returns the changes since the last call.
    pub fn advance(&mut self, now: Duration) -> Vec<CloudEvent> {
        let mut preempted = Vec::new();
        for (name, rental) in self.rentals.iter_mut().filter(|(_, rental)| rental.alive()) {
            if !rental.up && rental.up_at.is_some_and(|at| at <= now) {
                rental.up = true;
                self.events.push(CloudEvent::Up { name: name.clone() });
            }
            if rental.preempt_at.is_some_and(|at| at <= now) {
                preempted.push(name.clone());
            }
        }
        preempted.iter().for_each(|name| self.end(now, name, "recalled"));
        std::mem::take(&mut self.events)
    }
}

#[cfg(test)]
mod tests;
