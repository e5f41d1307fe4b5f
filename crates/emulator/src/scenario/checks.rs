//! Checks of a scenario that parsed: ranges, and names that must exist.

use super::fault::keys;
use super::{Fault, Load, MachineType, Scenario};
use finchquay_hcl::{File, HclError};

impl Scenario {
    /// Checks every key.
    ///
    /// # Errors
    /// The first key at fault, with its line.
    pub(super) fn check(&self, file: &File) -> Result<(), HclError> {
        let positive: Vec<(Vec<&str>, f64)> = vec![
            (vec!["duration_s"], self.duration_s),
            (vec!["controllers", "count"], self.controllers.count as f64),
            (vec!["controllers", "core_share"], self.controllers.core_share),
            (vec!["controllers", "ram_mb"], self.controllers.ram_mb),
            (vec!["workers", "report_s"], self.workers.heartbeat_interval_s),
            (vec!["workers", "lease_s"], self.workers.lease_s),
            (vec!["workers", "gang_wait_s"], self.workers.gang_wait_s),
            (vec!["workers", "gang_peer_s"], self.workers.gang_peer_s),
            (vec!["workers", "cancel_s"], self.workers.cancel_s),
            (vec!["state", "rps"], self.state.rps),
            (vec!["state", "write_rps"], self.state.write_rps),
            (vec!["state", "value_kb"], self.state.value_kb),
            (vec!["state", "txn_ops"], self.state.txn_ops as f64),
            (vec!["cloud", "rps"], self.cloud.rps),
            (vec!["cloud", "list_lag_s"], self.cloud.list_lag_s),
        ];
        for (path, v) in positive {
            if !(v.is_finite() && v > 0.0) {
                return Err(file.refuse(&path, format!("must be above 0, is {v}")));
            }
        }
        let not_negative = [
            (vec!["settle_s"], self.settle_s),
            (vec!["controllers", "restart_s"], self.controllers.restart_s),
            (vec!["cloud", "notice_s"], self.cloud.notice_s),
        ];
        for (path, v) in not_negative {
            if !(v.is_finite() && v >= 0.0) {
                return Err(file.refuse(&path, format!("must not be negative, is {v}")));
            }
        }
        if self.workers.cancel_s <= self.workers.lease_s + self.workers.heartbeat_interval_s {
            return Err(file.refuse(&["workers", "cancel_s"], "must be above lease_s and report_s together"));
        }
        if self.zones.is_empty() {
            return Err(file.refuse(&["zones"], "needs at least one zone"));
        }
        if self.controllers.count > 100 {
            return Err(file.refuse(&["controllers", "count"], "must be at most 100"));
        }
        if !(0.0..=1.0).contains(&self.cloud.silent_share) {
            return Err(file.refuse(&["cloud", "silent_share"], "is a share, from 0 to 1"));
        }
        for (name, m) in &self.machine_type {
            let fields = [
                ("cpus", m.cpus, true),
                ("gpus", m.gpus, false),
                ("memory_gb", m.memory_gb, true),
                ("cache_gb", m.cache_gb, true),
                ("fetch_gb_per_s", m.fetch_gb_per_s, true),
                ("hourly", m.on_demand_price, true),
                ("spot_hourly", m.spot_hourly, true),
                ("boot_s", m.boot_s, false),
            ];
            for (key, v, above) in fields {
                if !(v.is_finite() && v >= 0.0 && (v > 0.0 || !above)) {
                    let least = if above { "above" } else { "at least" };
                    return Err(file.refuse(&["machine_type", name, key], format!("must be {least} 0, is {v}")));
                }
            }
            if !(0.0..=1.0).contains(&m.cold) {
                return Err(file.refuse(&["machine_type", name, "cold"], "is a share, from 0 to 1"));
            }
            if m.up > m.ordinary {
                return Err(file.refuse(&["machine_type", name, "up"], "is more than there are ordinary ones"));
            }
        }
        for (name, t) in &self.team {
            let within = |least: f64, most: f64| least >= 0.0 && most >= 0.0 && (most == 0.0 || least <= most);
            if !(within(t.cpus, t.cpus_max) && within(t.gpus, t.gpus_max)) {
                return Err(file.refuse(&["team", name], "guarantees more than its limit allows"));
            }
        }
        self.load.iter().try_for_each(|(name, l)| self.check_load(file, name, l))?;
        self.fault.iter().try_for_each(|(name, f)| self.check_fault(file, name, f))?;
        if let Some(d) = &self.draw {
            let ok = d.from_s >= 0.0 && d.to_s >= d.from_s && d.to_s.is_finite() && !d.kinds.is_empty();
            if !ok {
                return Err(file.refuse(&["draw"], "needs kinds, and from_s and to_s that is not before it"));
            }
            d.for_s.check().map_err(|e| file.refuse(&["draw", "for_s"], e))?;
        }
        Ok(())
    }

    fn check_load(&self, file: &File, name: &str, l: &Load) -> Result<(), HclError> {
        let at = |key: &'static str, what: String| file.refuse(&["load", name, key], what);
        if !self.team.contains_key(&l.team) {
            return Err(at("team", format!("no such team {:?}", l.team)));
        }
        l.tasks.check().map_err(|e| at("tasks", e.into()))?;
        l.run_s.check().map_err(|e| at("run_s", e.into()))?;
        let fields = [
            ("per_minute", l.per_minute),
            ("cpus", l.cpus),
            ("gpus", l.gpus),
            ("memory_gb", l.memory_gb),
            ("image_gb", l.image_gb),
            ("checkpoint_s", l.checkpoint_s),
            ("save_s", l.save_s),
            ("deadline_factor", l.deadline_factor.unwrap_or(0.0)),
            ("start_within_s", l.start_within_s.unwrap_or(1.0)),
        ];
        for (key, v) in fields {
            if !(v.is_finite() && v >= 0.0) {
                return Err(at(key, format!("must not be negative, is {v}")));
            }
        }
        if !(0.0..=1.0).contains(&l.cancelled) {
            return Err(at("withdrawn", "is a share, from 0 to 1".into()));
        }
        if l.images == 0 {
            return Err(at("images", "must be at least 1".into()));
        }
        let fits = |m: &MachineType| l.cpus <= m.cpus && l.gpus <= m.gpus && l.memory_gb <= m.memory_gb;
        if !self.machine_type.values().any(fits) {
            return Err(at("cpus", "a task fits no machine type".into()));
        }
        Ok(())
    }

    pub(super) fn check_fault(&self, file: &File, name: &str, f: &Fault) -> Result<(), HclError> {
        let at = |key: &str, what: String| file.refuse(&["fault", name, key], what);
        let keys = keys(f.kind);
        let given = f.given();
        if let Some(missing) = keys.required.iter().find(|m| !given.contains(m)) {
            return Err(at("kind", format!("this kind needs {missing}")));
        }
        if let Some(extra) = given.iter().find(|g| !keys.required.contains(g) && !keys.optional.contains(g)) {
            return Err(at(extra, "this kind has no use for it".into()));
        }
        let or_none = |v: Option<f64>| v.unwrap_or(0.0);
        let times = [
            ("at_s", f.at_s),
            ("for_s", or_none(f.for_s)),
            ("late_s", or_none(f.late_s)),
            ("restart_s", or_none(f.restart_s)),
        ];
        for (key, v) in times {
            if !(v.is_finite() && v >= 0.0) {
                return Err(at(key, format!("must not be negative, is {v}")));
            }
        }
        if f.factor.is_some_and(|x| !(x.is_finite() && x > 0.0)) {
            return Err(at("factor", "must be above 0".into()));
        }
        if f.controller.is_some_and(|c| c >= self.controllers.count) {
            return Err(at("controller", format!("there are {}, numbered from 0", self.controllers.count)));
        }
        if f.zone.as_ref().is_some_and(|z| !self.zones.contains(z)) {
            return Err(at("zone", "no such zone".into()));
        }
        if f.machine_type.as_ref().is_some_and(|m| !self.machine_type.contains_key(m)) {
            return Err(at("machine_type", "no such machine type".into()));
        }
        Ok(())
    }
}
