//! Messages between controllers and the cloud provider: the catalog of machine types,
//! the list of machines, and scaling out (rent) and in (release).

use crate::amount;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// Most machines one [`RentRequest`] may ask for.
pub const RENT_LIMIT: u32 = 50;
/// Most machines one [`ReleaseRequest`] may hold.
pub const RELEASE_LIMIT: usize = 100;

/// Response to a catalog request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Catalog {
    /// Machine types on offer; `builds` on the wire.
    #[serde(rename = "builds")]
    pub machine_types: Vec<MachineType>,
}

/// A machine type that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    pub label: String,
    /// CPU cores.
    #[serde(deserialize_with = "amount")]
    pub cores: f64,
    /// GPUs.
    #[serde(deserialize_with = "amount")]
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(deserialize_with = "amount")]
    pub mem_gb: f64,
    /// Local disk for images, in GB; `local_gb` on the wire.
    #[serde(deserialize_with = "amount")]
    #[serde(rename = "local_gb")]
    pub disk_gb: f64,
    /// Rate at which it pulls images, in GB per second.
    #[serde(deserialize_with = "amount")]
    pub pull_gb_per_s: f64,
    /// Price of an hour on demand; `hourly` on the wire.
    #[serde(deserialize_with = "amount")]
    #[serde(rename = "hourly")]
    pub on_demand_price: f64,
    /// Price of an hour as a spot instance.
    #[serde(deserialize_with = "amount")]
    pub spot_price: f64,
    /// Seconds that a machine usually takes to boot.
    #[serde(deserialize_with = "amount")]
    pub startup_s: f64,
    /// Zones that offer it; `sites` on the wire.
    #[serde(rename = "sites")]
    pub zones: Vec<String>,
}

/// Request for new machines.
#[derive(Debug, Serialize, Deserialize)]
pub struct RentRequest<'a> {
    /// Makes the request idempotent: a repeated one returns the machines of the first;
    /// `charter` on the wire.
    #[serde(rename = "charter")]
    pub request_id: Cow<'a, str>,
    /// Machine type; `build` on the wire.
    #[serde(rename = "build")]
    pub machine_type: Cow<'a, str>,
    /// Zone; `site` on the wire.
    #[serde(rename = "site")]
    pub zone: Cow<'a, str>,
    /// Whether spot instances are asked for; `loaners` on the wire.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many, [`RENT_LIMIT`] at most.
    pub number: u32,
}

/// Response to a [`RentRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub struct RentResponse {
    /// Ids of the new machines, which may be fewer than asked for; `perches` on the wire.
    #[serde(rename = "perches")]
    pub machines: Vec<String>,
}

/// Request to return machines to the cloud.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReleaseRequest<'a> {
    /// Ids of the machines, [`RELEASE_LIMIT`] at most; `perches` on the wire.
    #[serde(rename = "perches")]
    pub machines: Cow<'a, [String]>,
}

/// Lifecycle phase of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It was rented, and its worker does not run yet.
    Booting,
    /// It is up.
    Running,
    /// It is lost.
    Failed,
    /// A phase that this version does not know.
    #[serde(other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Id of the machine.
    pub uid: String,
    /// Address of the machine's worker; controllers learn it from heartbeats.
    #[serde(default)]
    pub addr: String,
    /// Machine type; `build` on the wire.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone; `site` on the wire.
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether it is a spot instance; `loaners` on the wire.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Lifecycle phase; `status` on the wire.
    #[serde(rename = "status")]
    pub phase: Phase,
    /// Seconds since it was rented; `held_s` on the wire.
    #[serde(deserialize_with = "amount")]
    #[serde(rename = "held_s")]
    pub rented_s: f64,
}

/// One page of the list of machines, by id.
#[derive(Debug, Serialize, Deserialize)]
pub struct Page {
    /// Machines of the page; `perches` on the wire.
    #[serde(rename = "perches")]
    pub machines: Vec<ListedMachine>,
    /// Whether more follow.
    #[serde(default)]
    pub truncated: bool,
}

/// Most machines that one page of the list holds.
pub const LIST_LIMIT: usize = 500;

/// Path of the catalog.
pub const CATALOG: &str = "/catalog";
/// Path to rent (POST) and to list (GET) machines.
pub const RENT: &str = "/hosts";
/// Path to return machines.
pub const RELEASE: &str = "/hosts/release";

/// What a request to the cloud asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Route<'a> {
    /// The catalog of machine types.
    Catalog,
    /// New machines; the body is a [`RentRequest`].
    Rent,
    /// Return machines; the body is a [`ReleaseRequest`].
    Release,
    /// One page of the list of machines.
    List {
        /// The machines after this id; empty for the first page.
        after: &'a str,
        /// Most machines of the page.
        page: usize,
    },
}

/// Tells what a request asks for, by its method and path; none where that is not served.
pub fn route<'a>(method: &str, path: &'a str) -> Option<Route<'a>> {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    match (method, path) {
        ("GET", CATALOG) => Some(Route::Catalog),
        ("POST", RENT) => Some(Route::Rent),
        ("POST", RELEASE) => Some(Route::Release),
        ("GET", RENT) => {
            let page = crate::query(query, "page").map_or(Ok(LIST_LIMIT), str::parse).ok()?;
            Some(Route::List { after: crate::query(query, "after").unwrap_or(""), page: page.clamp(1, LIST_LIMIT) })
        }
        _ => None,
    }
}

/// Path of the page of machines after this id; `after` is empty for the first page.
pub fn list_path(after: &str) -> String {
    if after.is_empty() {
        format!("{RENT}?page={LIST_LIMIT}")
    } else {
        format!("{RENT}?after={after}&page={LIST_LIMIT}")
    }
}
