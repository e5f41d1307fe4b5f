//! Scaling out: what is wanted beyond the machines that are there, and its rentals.

use super::*;
use crate::controller::scheduler::HOPE;
use crate::placement::MachineCapacity;
use crate::protocol::cloud::{Phase, RENT, RENT_LIMIT, RentRequest, RentResponse};
use crate::protocol::user::{JobKind, JobSpec};
use crate::protocol::{decode, encode};
use crate::scaling::{Demand, Offer, Rental, take_up, wanted_rentals};
use records::MachineGroupRecord;

/// A job that will be late gets machines for one in this many of its tasks.
const LATE_SHARE: u32 = 4;
/// Ordinary machines for arrays that may use spot ones are not rented while
/// more than this part of what is up is booting.
const BOOTING_SHARE: f64 = 0.5;

impl Controller {
    /// Free room that is there or on its way.
    pub(in crate::controller) fn expected_capacities(&self, counted: Counted) -> Vec<MachineCapacity> {
        let mut capacities: Vec<MachineCapacity> =
            self.capacities_counting(true, counted).into_iter().map(|(_, r)| r).collect();
        let coming = |name: &str| !self.is_up(name) && !self.releases.is_released(name) && !self.fell_silent(name);
        for (name, l) in self.cloud.machines() {
            if matches!(l.phase, Phase::Booting | Phase::Running)
                && coming(name)
                && let Some(t) = self.machine_type(&l.machine_type)
            {
                capacities.push(MachineCapacity::empty(name, t, &l.zone, l.spot));
            }
        }
        for (name, r) in &self.autoscaler.rented {
            let newly_rented = self.now.saturating_sub(r.at) < self.secs(self.late_s(&r.offer.machine_type).min(1e6));
            if newly_rented
                && coming(name)
                && !self.cloud.machines().contains_key(name)
                && let Some(t) = self.machine_type(&r.offer.machine_type)
            {
                capacities.push(MachineCapacity::empty(name, t, &r.offer.zone, r.offer.spot));
            }
        }
        // What may use spot machines counts on those first.
        capacities.sort_by_key(|r| !r.spot);
        capacities
    }

    /// So much boots already that what arrays need beyond it is not known yet:
    /// a fleet that begins with nothing would rent ordinary machines for all
    /// that gathered while the first ones boot.
    fn growing(&self, capacities: &[MachineCapacity]) -> bool {
        let (mut up, mut boots) = (0.0, 0.0);
        for r in capacities {
            let part = if self.is_up(&r.machine) { &mut up } else { &mut boots };
            *part += r.total_cores;
        }
        boots > up * BOOTING_SHARE
    }

    /// Whether more is rented than stands there by the operators' own choice.
    /// Up to that, machines for late work are a small part of the cost and are
    /// rented freely; beyond it they are most of it.
    pub(super) fn saves_cost(&self, capacities: &[MachineCapacity]) -> bool {
        let base = |r: &MachineCapacity| self.state.machines.get(&r.machine).is_some_and(|h| h.rec.base);
        let stands: f64 = capacities.iter().filter(|r| base(r)).map(|r| r.total_cores).sum();
        capacities.iter().map(|r| r.total_cores).sum::<f64>() > stands * 2.0
    }

    /// Waiting tasks: first those of services that must start soon, with room
    /// to spare for them, then all others. The first may count on room that
    /// arrays use, since those can be preempted.
    pub(super) fn demand(&self, capacities: &[MachineCapacity]) -> (Vec<Demand<'_>>, Vec<Demand<'_>>) {
        let cores: f64 = capacities.iter().map(|r| r.total_cores).sum();
        let saves_cost = self.saves_cost(capacities);
        let growing = saves_cost && self.growing(capacities);
        let all_saved = !saves_cost && self.service_levels.objectives.behind();
        let boot = self.cloud.shortest_startup_s();
        let (mut services, mut arrays) = (Vec::new(), Vec::new());
        let leaving = self.leaving();
        let mut run = (0.0, 0.0);
        let mut spare: BTreeMap<&str, (&JobSpec, u32)> = BTreeMap::new();
        let soon = |spec: &JobSpec| {
            spec.kind == JobKind::Service && self.service_levels.objectives.start_within(spec).is_some()
        };
        for j in self.state.jobs.values().filter(|j| !j.cancelled()) {
            let mut n = j.waiting_count();
            if j.spec.kind == JobKind::Service {
                n += leaving.get(j.spec.uid.as_str()).copied().unwrap_or(0);
            }
            // A machine rented now does not save a job that will be late all
            // the same: it makes do with less, unless objectives are missed and
            // machines are cheap beside what stands there.
            let age_s = self.wall_ms().saturating_sub(j.rec.rec.at_ms) as f64 / 1000.0;
            let aim_s = self.service_levels.objectives.end_from(&j.spec, age_s, boot + j.spec.estimated_run_s * HOPE);
            let lost = aim_s.is_some_and(|a| a - age_s < boot + j.spec.estimated_run_s * HOPE);
            let lost = lost && !all_saved;
            if lost {
                n = n.div_ceil(LATE_SHARE);
            }
            if n > 0 {
                let zones = self.state.zones_of(j);
                let d = Demand {
                    spec: &j.spec,
                    tasks: n,
                    spot_only: lost || growing,
                    zones,
                    of: j.spec.task_count,
                    spare: false,
                };
                if soon(&j.spec) {
                    services.push(d);
                } else {
                    let slack_s = aim_s.map_or(0.0, |a| a - age_s - boot - j.spec.estimated_run_s * HOPE);
                    arrays.push((slack_s, d));
                }
            }
            if j.spec.kind == JobKind::Array {
                run.0 += f64::from(j.spec.task_count) * j.spec.estimated_run_s;
                run.1 += f64::from(j.spec.task_count);
            }
            if soon(&j.spec) {
                let e = spare.entry(&j.spec.class).or_insert((&j.spec, 0));
                e.1 += j.spec.task_count;
            }
        }
        // The services of any one machine must find room elsewhere at once.
        let mut zone_affinity: BTreeMap<&str, u32> = BTreeMap::new();
        for (class, n) in self.state.loads.values().flat_map(|l| &l.standing) {
            let most = zone_affinity.entry(class).or_default();
            *most = (*n).max(*most);
        }
        for (class, (spec, n)) in spare {
            let share = (f64::from(n) * self.config.operator.spare_share).ceil() as u32 + 1;
            let tasks = share.max(zone_affinity.get(class).copied().unwrap_or(0));
            services.push(Demand::spare(spec, tasks));
        }
        // Jobs that are lost take what the others leave.
        arrays.sort_by(|(a, c), (b, d)| {
            d.spec.priority.cmp(&c.spec.priority).then((*a < 0.0).cmp(&(*b < 0.0))).then(a.total_cmp(b))
        });
        // Room that running tasks leave soon enough serves jobs that can wait
        // for it: only the rest is worth an ordinary machine.
        let freed_per_s = if run.0 > 0.0 { cores * run.1 / run.0 } else { 0.0 };
        let mut before = 0.0;
        let mut split = Vec::new();
        for (slack_s, d) in arrays {
            let turns = (freed_per_s * slack_s.max(0.0) - before).max(0.0) / d.spec.cores.max(f64::MIN_POSITIVE);
            let waits = if d.spot_only {
                d.tasks
            } else if !saves_cost {
                0
            } else {
                turns.min(f64::from(d.tasks)) as u32
            };
            before += f64::from(waits) * d.spec.cores;
            let part = |tasks, spot_only| Demand { tasks, spot_only, zones: d.zones.clone(), ..d };
            split.extend([part(d.tasks - waits, false), part(waits, true)].into_iter().filter(|d| d.tasks > 0));
        }
        (services, split)
    }

    pub(super) fn rent(&mut self) {
        if self.autoscaler.requests_in_flight > 0 || !self.may_call_cloud(Retry::Rent) {
            return;
        }
        let refused: BTreeSet<Offer> = self.autoscaler.unavailable.keys().cloned().collect();
        let mut all = self.expected_capacities(Counted::All);
        let (services, arrays) = self.demand(&all);
        let most = RENT_LIMIT * (self.cloud.available_requests(self.now) as u32).max(1);
        let mut rentals =
            wanted_rentals(&services, self.expected_capacities(Counted::Lasting), self.cloud.catalog(), &refused, most);
        // What stands free for arrays is not known before the fleet is.
        let arrays = if self.startup.fleet_known() { arrays } else { Vec::new() };
        let left = most - rentals.iter().map(|r| r.number).sum::<u32>().min(most);
        take_up(&services, &mut all);
        rentals.extend(wanted_rentals(&arrays, all, self.cloud.catalog(), &refused, left));
        // One request asks for so many at most.
        let parts = |r: Rental| {
            let n = r.number.div_ceil(RENT_LIMIT);
            (0..n).map(move |i| Rental { number: (r.number - i * RENT_LIMIT).min(RENT_LIMIT), ..r.clone() })
        };
        for mut r in rentals.into_iter().flat_map(parts) {
            // Machines on their way out are the quickest to have.
            while let Some((group, mut names)) = self.draining(&r.offer).filter(|_| r.number > 0 && self.may_write(1.0))
            {
                names.truncate(r.number as usize);
                if !self.mark_drain(&group, &names, false) {
                    break;
                }
                r.number -= names.len() as u32;
            }
            if r.number == 0 {
                continue;
            }
            if !self.may_call_cloud(Retry::Rent) {
                return;
            }
            self.cloud.charge_request(self.now);
            self.autoscaler.requests_in_flight += 1;
            self.leadership.request_count += 1;
            let request_id = format!("fq-{}-{}", self.term(), self.leadership.request_count);
            let body = encode(&RentRequest {
                request_id: request_id.as_str().into(),
                machine_type: r.offer.machine_type.as_str().into(),
                zone: r.offer.zone.as_str().into(),
                spot: r.offer.spot,
                number: r.number,
            });
            let timeout = self.heartbeat_intervals(2.0);
            let purpose = Purpose::Rent { offer: r.offer, number: r.number };
            self.call(Target::Cloud, "POST", RENT.into(), Some(body), timeout, purpose);
        }
    }

    /// Machines of a kind, in one machine group, that are being drained and not released yet.
    fn draining(&self, offer: &Offer) -> Option<(String, Vec<String>)> {
        let campaign = |m: &String| self.state.maintenance.as_ref().is_some_and(|u| u.rec.wave.contains(m));
        let same = |p: &MachineGroupRecord| {
            p.machine_type == offer.machine_type && p.zone == offer.zone && p.spot == offer.spot
        };
        let mut machine_groups = self
            .state
            .machine_groups
            .iter()
            .filter(|(_, p)| !p.rec.drain.is_empty() && same(&p.rec) && self.state.held(p));
        machine_groups.find_map(|(group, p)| {
            let kept: Vec<String> =
                p.rec.drain.iter().filter(|m| self.state.placed.contains_key(*m) && !campaign(m)).cloned().collect();
            let free = !self.transactions.locked_keys.contains(&records::machine_group_key(group));
            (free && !kept.is_empty()).then(|| (group.clone(), kept))
        })
    }

    /// The cloud's answer to a rental.
    pub(in crate::controller) fn rent_answer(&mut self, offer: Offer, number: u32, result: Result<Reply, NoAnswer>) {
        self.autoscaler.requests_in_flight = self.autoscaler.requests_in_flight.saturating_sub(1);
        let Ok(reply) = result else { return };
        let unavailable_until = self.now + self.secs(self.config.settings.workers.lease_s);
        match reply.status {
            200 => {
                let names = decode::<RentResponse>(&reply.body).map(|body| body.machines).unwrap_or_default();
                if (names.len() as u32) < number {
                    // Filled in part: there are no more for now.
                    self.autoscaler.mark_unavailable(offer.clone(), unavailable_until);
                }
                self.add_rented(offer, names);
            }
            503 => self.autoscaler.mark_unavailable(offer, unavailable_until),
            _ => {}
        }
    }

    fn add_rented(&mut self, offer: Offer, names: Vec<String>) {
        tracing::info!(machine_type = %offer.machine_type, zone = %offer.zone, spot = offer.spot, machines = names.len(), "machines rented");
        if names.len() as f64 >= self.transactions.rate.rate * GROUP_FROM {
            self.autoscaler.unrecorded.push_back((offer.clone(), names.clone()));
            self.enrol_rentals();
        }
        if self.beginning() {
            // The others hear of it before one of them is up.
            self.update_newly_provisioned(&names);
            self.connectivity.heartbeat_next = self.now;
        }
        for name in names {
            self.autoscaler.rented.insert(name, Rented { offer: offer.clone(), at: self.now });
        }
    }

    /// A later list may be an older one, so a rental is remembered until its machine
    /// reports or is given up.
    pub(in crate::controller) fn forget_rentals_that_came_up(&mut self) {
        let mut rented = std::mem::take(&mut self.autoscaler.rented);
        rented.retain(|name, rental| {
            let age_s = self.now.saturating_sub(rental.at).as_secs_f64();
            !self.is_up(name) && age_s < self.late_s(&rental.offer.machine_type)
        });
        self.autoscaler.rented = rented;
    }
}
