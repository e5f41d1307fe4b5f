//! Checks of a deserialized scenario: numbers are in range, and names that it refers to
//! exist.

use super::fault::fault_keys;
use super::{Fault, JobClass, MachineType, Scenario};
use finchquay_hcl::{File, HclError};

impl Scenario {
    /// Checks every value.
    ///
    /// # Errors
    /// A value is invalid; the error names the first such key and its line.
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
        for (path, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return Err(file.error_at(&path, format!("must be above 0, is {value}")));
            }
        }
        let not_negative = [
            (vec!["settle_s"], self.settle_s),
            (vec!["controllers", "restart_s"], self.controllers.restart_s),
            (vec!["cloud", "notice_s"], self.cloud.notice_s),
        ];
        for (path, value) in not_negative {
            if !(value.is_finite() && value >= 0.0) {
                return Err(file.error_at(&path, format!("must not be negative, is {value}")));
            }
        }
        if self.workers.cancel_s <= self.workers.lease_s + self.workers.heartbeat_interval_s {
            return Err(file.error_at(&["workers", "cancel_s"], "must be above the sum of lease_s and report_s"));
        }
        if self.zones.is_empty() {
            return Err(file.error_at(&["zones"], "must name at least one zone"));
        }
        if self.controllers.count > 100 {
            return Err(file.error_at(&["controllers", "count"], "must be at most 100"));
        }
        if !(0.0..=1.0).contains(&self.cloud.silent_share) {
            return Err(file.error_at(&["cloud", "silent_share"], "must be a share between 0 and 1"));
        }
        for (name, m) in &self.machine_type {
            let fields = [
                // Key, value, and whether 0 is invalid.
                ("cpus", m.cpus, true),
                ("gpus", m.gpus, false),
                ("memory_gb", m.memory_gb, true),
                ("cache_gb", m.cache_gb, true),
                ("fetch_gb_per_s", m.fetch_gb_per_s, true),
                ("hourly", m.on_demand_price, true),
                ("spot_hourly", m.spot_price, true),
                ("boot_s", m.boot_s, false),
            ];
            for (key, value, positive) in fields {
                if !(value.is_finite() && value >= 0.0 && (value > 0.0 || !positive)) {
                    let bound = if positive { "above" } else { "at least" };
                    return Err(file.error_at(&["machine_type", name, key], format!("must be {bound} 0, is {value}")));
                }
            }
            if !(0.0..=1.0).contains(&m.cold_share) {
                return Err(file.error_at(&["machine_type", name, "cold"], "must be a share between 0 and 1"));
            }
            if m.up > m.on_demand {
                return Err(file.error_at(&["machine_type", name, "up"], "must not be above ordinary"));
            }
        }
        for (name, team) in &self.team {
            let valid = |guaranteed: f64, limit: f64| {
                guaranteed >= 0.0 && limit >= 0.0 && (limit == 0.0 || guaranteed <= limit)
            };
            if !(valid(team.cpus, team.cpus_max) && valid(team.gpus, team.gpus_max)) {
                return Err(file.error_at(&["team", name], "must not be negative, nor guarantee more than its limit"));
            }
        }
        self.load.iter().try_for_each(|(name, load)| self.check_load(file, name, load))?;
        self.fault.iter().try_for_each(|(name, fault)| self.check_fault(file, name, fault))?;
        if let Some(random) = &self.random_faults {
            let valid = random.from_s >= 0.0
                && random.to_s >= random.from_s
                && random.to_s.is_finite()
                && !random.kinds.is_empty();
            if !valid {
                return Err(file.error_at(&["draw"], "needs kinds, and a to_s that is not before from_s"));
            }
            random.for_s.check().map_err(|e| file.error_at(&["draw", "for_s"], e))?;
        }
        Ok(())
    }

    /// Checks one class of jobs.
    fn check_load(&self, file: &File, name: &str, load: &JobClass) -> Result<(), HclError> {
        let invalid = |key: &'static str, why: String| file.error_at(&["load", name, key], why);
        if !self.team.contains_key(&load.team) {
            return Err(invalid("team", format!("no such team {:?}", load.team)));
        }
        load.tasks.check().map_err(|e| invalid("tasks", e.into()))?;
        load.run_s.check().map_err(|e| invalid("run_s", e.into()))?;
        let fields = [
            ("per_minute", load.per_minute),
            ("cpus", load.cpus),
            ("gpus", load.gpus),
            ("memory_gb", load.memory_gb),
            ("image_gb", load.image_gb),
            ("checkpoint_s", load.checkpoint_interval_s),
            ("save_s", load.checkpoint_duration_s),
            ("deadline_factor", load.deadline_factor.unwrap_or(0.0)),
            ("start_within_s", load.start_within_s.unwrap_or(1.0)),
        ];
        for (key, value) in fields {
            if !(value.is_finite() && value >= 0.0) {
                return Err(invalid(key, format!("must not be negative, is {value}")));
            }
        }
        if !(0.0..=1.0).contains(&load.cancelled_share) {
            return Err(invalid("withdrawn", "must be a share between 0 and 1".into()));
        }
        if load.images == 0 {
            return Err(invalid("images", "must be at least 1".into()));
        }
        let fits = |m: &MachineType| load.cpus <= m.cpus && load.gpus <= m.gpus && load.memory_gb <= m.memory_gb;
        if !self.machine_type.values().any(fits) {
            return Err(invalid("cpus", "no machine type is large enough for a task".into()));
        }
        Ok(())
    }

    /// Checks one fault: it gives exactly the keys that its kind uses, with valid values.
    pub(super) fn check_fault(&self, file: &File, name: &str, fault: &Fault) -> Result<(), HclError> {
        let invalid = |key: &str, why: String| file.error_at(&["fault", name, key], why);
        let keys = fault_keys(fault.kind);
        let given = fault.given_keys();
        if let Some(missing) = keys.required.iter().find(|key| !given.contains(key)) {
            return Err(invalid("kind", format!("this kind of fault needs {missing}")));
        }
        if let Some(extra) = given.iter().find(|key| !keys.required.contains(key) && !keys.optional.contains(key)) {
            return Err(invalid(extra, "is not used by this kind of fault".into()));
        }
        let or_zero = |value: Option<f64>| value.unwrap_or(0.0);
        let times = [
            ("at_s", fault.at_s),
            ("for_s", or_zero(fault.for_s)),
            ("late_s", or_zero(fault.late_s)),
            ("restart_s", or_zero(fault.restart_s)),
        ];
        for (key, value) in times {
            if !(value.is_finite() && value >= 0.0) {
                return Err(invalid(key, format!("must not be negative, is {value}")));
            }
        }
        if fault.factor.is_some_and(|x| !(x.is_finite() && x > 0.0)) {
            return Err(invalid("factor", "must be above 0".into()));
        }
        if fault.controller.is_some_and(|c| c >= self.controllers.count) {
            return Err(invalid(
                "controller",
                format!("must be below the number of controllers, {}", self.controllers.count),
            ));
        }
        if fault.zone.as_ref().is_some_and(|z| !self.zones.contains(z)) {
            return Err(invalid("zone", "no such zone".into()));
        }
        if fault.machine_type.as_ref().is_some_and(|m| !self.machine_type.contains_key(m)) {
            return Err(invalid("machine_type", "no such machine type".into()));
        }
        Ok(())
    }
}
