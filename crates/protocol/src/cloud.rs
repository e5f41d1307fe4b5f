//! Messages and request paths between controllers and the cloud provider: the catalog of
//! machine types, the list of machines, and requests to rent machines (scale out) and to
//! release them (scale in).

#![warn(missing_docs)]

use crate::user::JobSpec;
use crate::{is_valid_amount, number};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// Maximum number of machines in one [`RentRequest`].
pub const MAX_MACHINES_PER_RENT: u32 = 50;
/// Maximum number of machines in one [`ReleaseRequest`].
pub const MAX_MACHINES_PER_RELEASE: usize = 100;

/// Response to a catalog request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Catalog {
    /// Machine types that the cloud offers; `builds` on the wire.
    #[serde(rename = "builds")]
    pub machine_types: Vec<MachineType>,
}

/// A machine type that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the machine type; `label` on the wire.
    #[serde(rename = "label")]
    pub name: String,
    /// Number of CPU cores.
    #[serde(deserialize_with = "number")]
    pub cores: f64,
    /// Number of GPUs.
    #[serde(deserialize_with = "number")]
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(deserialize_with = "number")]
    pub mem_gb: f64,
    /// Local disk for images, in GB; `local_gb` on the wire.
    #[serde(deserialize_with = "number")]
    #[serde(rename = "local_gb")]
    pub disk_gb: f64,
    /// Rate at which the machine pulls images, in GB per second.
    #[serde(deserialize_with = "number")]
    pub pull_gb_per_s: f64,
    /// Price per hour of an on-demand instance; `hourly` on the wire.
    #[serde(deserialize_with = "number")]
    #[serde(rename = "hourly")]
    pub on_demand_price: f64,
    /// Price per hour of a spot instance.
    #[serde(deserialize_with = "number")]
    pub spot_price: f64,
    /// Usual boot time of a machine, in seconds.
    #[serde(deserialize_with = "number")]
    pub startup_s: f64,
    /// Zones that offer the machine type; `sites` on the wire.
    #[serde(rename = "sites")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// Whether all numbers are within their limits: amounts are finite and not negative, and
    /// machines can pull images.
    pub fn has_valid_numbers(&self) -> bool {
        let amounts = [
            self.cores,
            self.gpus,
            self.mem_gb,
            self.disk_gb,
            self.pull_gb_per_s,
            self.on_demand_price,
            self.spot_price,
            self.startup_s,
        ];
        amounts.into_iter().all(is_valid_amount) && self.pull_gb_per_s > 0.0
    }

    /// Whether an empty machine of this type has the resources that a task of the job needs, and
    /// the disk space for its image.
    fn has_capacity_for(&self, spec: &JobSpec) -> bool {
        self.cores >= spec.cores
            && self.gpus >= spec.gpus
            && self.mem_gb >= spec.mem_gb
            && self.disk_gb >= spec.image_gb
    }

    /// Whether tasks of the job may run on machines of this type, and fit on one.
    pub fn can_run(&self, spec: &JobSpec) -> bool {
        spec.machine_types.as_ref().is_none_or(|allowed| allowed.contains(&self.name))
            && spec.zone.as_ref().is_none_or(|zone| self.zones.contains(zone))
            && self.has_capacity_for(spec)
    }
}

/// Request for new machines.
#[derive(Debug, Serialize, Deserialize)]
pub struct RentRequest<'a> {
    /// Idempotency key: a repeated request with the same id returns the machines of the
    /// first. `charter` on the wire.
    #[serde(rename = "charter")]
    pub request_id: Cow<'a, str>,
    /// Type of the machines; `build` on the wire.
    #[serde(rename = "build")]
    pub machine_type: Cow<'a, str>,
    /// Zone of the machines; `site` on the wire.
    #[serde(rename = "site")]
    pub zone: Cow<'a, str>,
    /// Whether spot instances are requested; `loaners` on the wire.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines, at most [`MAX_MACHINES_PER_RENT`].
    pub number: u32,
}

/// Response to a [`RentRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub struct RentResponse {
    /// Ids of the new machines, possibly fewer than requested; `perches` on the wire.
    #[serde(rename = "perches")]
    pub machines: Vec<String>,
}

/// Request to release machines, which returns them to the cloud.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReleaseRequest<'a> {
    /// Ids of the machines, at most [`MAX_MACHINES_PER_RELEASE`]; `perches` on the wire.
    #[serde(rename = "perches")]
    pub machines: Cow<'a, [String]>,
}

/// Lifecycle phase of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The machine was rented, and its worker does not run yet.
    Booting,
    /// The machine is up.
    Running,
    /// The machine is lost.
    Failed,
    /// A phase that this version does not know.
    #[serde(other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Id of the machine; `uid` on the wire.
    #[serde(rename = "uid")]
    pub id: String,
    /// Address of the machine's worker; may be empty, since controllers learn the address
    /// from heartbeats.
    #[serde(default)]
    pub addr: String,
    /// Type of the machine; `build` on the wire.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone of the machine; `site` on the wire.
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether the machine is a spot instance; `loaners` on the wire.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Lifecycle phase; `status` on the wire.
    #[serde(rename = "status")]
    pub phase: Phase,
    /// Seconds since the machine was rented; `held_s` on the wire.
    #[serde(deserialize_with = "number")]
    #[serde(rename = "held_s")]
    pub rented_s: f64,
}

/// One page of the list of machines, which is sorted by machine id.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachinePage {
    /// Machines on the page; `perches` on the wire.
    #[serde(rename = "perches")]
    pub machines: Vec<ListedMachine>,
    /// Whether more machines follow after this page.
    #[serde(default)]
    pub truncated: bool,
}

/// Maximum number of machines on one page of the list.
pub const MAX_LIST_PAGE_MACHINES: usize = 500;

/// Path of the catalog (GET).
pub const CATALOG_PATH: &str = "/catalog";
/// Path to rent machines (POST) and to list them (GET).
pub const MACHINES_PATH: &str = "/hosts";
/// Path to release machines (POST).
pub const RELEASE_PATH: &str = "/hosts/release";

/// Operation that a request to the cloud selects by its method and path.
#[derive(Debug, PartialEq, Eq)]
pub enum Route<'a> {
    /// Read the catalog of machine types.
    Catalog,
    /// Rent machines; the body is a [`RentRequest`].
    Rent,
    /// Release machines; the body is a [`ReleaseRequest`].
    Release,
    /// Read one page of the list of machines.
    List {
        /// Only machines with ids after this one; empty for the first page.
        after: &'a str,
        /// Maximum number of machines on the page.
        page: usize,
    },
}

/// Parses the method and path of a request; `None` if the cloud does not serve them.
pub fn route<'a>(method: &str, path: &'a str) -> Option<Route<'a>> {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    match (method, path) {
        ("GET", CATALOG_PATH) => Some(Route::Catalog),
        ("POST", MACHINES_PATH) => Some(Route::Rent),
        ("POST", RELEASE_PATH) => Some(Route::Release),
        ("GET", MACHINES_PATH) => {
            let page = crate::query_parameter(query, "page").map_or(Ok(MAX_LIST_PAGE_MACHINES), str::parse).ok()?;
            Some(Route::List {
                after: crate::query_parameter(query, "after").unwrap_or(""),
                page: page.clamp(1, MAX_LIST_PAGE_MACHINES),
            })
        }
        _ => None,
    }
}

/// Returns the path of the page of machines after the id `after`, which is empty for the
/// first page.
pub fn list_path(after: &str) -> String {
    if after.is_empty() {
        format!("{MACHINES_PATH}?page={MAX_LIST_PAGE_MACHINES}")
    } else {
        format!("{MACHINES_PATH}?after={after}&page={MAX_LIST_PAGE_MACHINES}")
    }
}
