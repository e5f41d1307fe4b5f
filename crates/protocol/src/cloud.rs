//! The cloud's interface: catalog, list, rent, release.

use crate::amount;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// Most machines one rental may ask for.
pub const RENT_LIMIT: u32 = 50;
/// Most names one release may hold.
pub const RELEASE_LIMIT: usize = 100;

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Catalog {
    #[serde(rename = "builds")]
    pub machine_types: Vec<MachineType>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub label: String,
    #[serde(deserialize_with = "amount")]
    pub cores: f64,
    #[serde(deserialize_with = "amount")]
    pub gpus: f64,
    #[serde(deserialize_with = "amount")]
    pub mem_gb: f64,
    #[serde(deserialize_with = "amount")]
    #[serde(rename = "local_gb")]
    pub disk_gb: f64,
    #[serde(deserialize_with = "amount")]
    pub pull_gb_per_s: f64,
    #[serde(deserialize_with = "amount")]
    #[serde(rename = "hourly")]
    pub on_demand_price: f64,
    #[serde(deserialize_with = "amount")]
    pub spot_price: f64,
    #[serde(deserialize_with = "amount")]
    pub startup_s: f64,
    #[serde(rename = "sites")]
    pub zones: Vec<String>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct RentRequest<'a> {
    #[serde(rename = "charter")]
    pub request_id: Cow<'a, str>,
    #[serde(rename = "build")]
    pub machine_type: Cow<'a, str>,
    #[serde(rename = "site")]
    pub zone: Cow<'a, str>,
    #[serde(rename = "loaners")]
    pub spot: bool,
    pub number: u32,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct RentResponse {
    #[serde(rename = "perches")]
    pub machines: Vec<String>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct ReleaseRequest<'a> {
    #[serde(rename = "perches")]
    pub machines: Cow<'a, [String]>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    Booting,
    Running,
    Failed,
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    pub uid: String,
    /// Where the machine's worker listens; controllers learn it from reports.
    #[serde(default)]
    pub addr: String,
    #[serde(rename = "build")]
    pub machine_type: String,
    #[serde(rename = "site")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "status")]
    pub phase: Phase,
    #[serde(deserialize_with = "amount")]
    #[serde(rename = "held_s")]
    pub rented_s: f64,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Page {
    #[serde(rename = "perches")]
    pub machines: Vec<ListedMachine>,
    #[serde(default)]
    pub truncated: bool,
}

/// Most machines that one page of the list holds.
pub const LIST_LIMIT: usize = 500;

pub const CATALOG: &str = "/catalog";
pub const RENT: &str = "/hosts";
pub const RELEASE: &str = "/hosts/release";

/// What a request to the cloud asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Route<'a> {
    Catalog,
    Rent,
    Release,
    List { after: &'a str, page: usize },
}

/// Tells what a request line asks for; `None` is a path or method that is not served.
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

pub fn list_path(after: &str) -> String {
    if after.is_empty() { "/hosts?page=500".into() } else { format!("/hosts?after={after}&page=500") }
}
