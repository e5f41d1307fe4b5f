//! The cloud's interface: catalog, list, rent, release.

use crate::amount;
use serde::{Deserialize, Serialize};

/// Most machines one rental may ask for.
pub const RENT_LIMIT: u32 = 50;
/// Most names one release may hold.
pub const RELEASE_LIMIT: usize = 100;

#[derive(Debug, Clone, Deserialize)]
pub struct Catalog {
    pub builds: Vec<MachineType>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct MachineType {
    pub label: String,
    #[serde(deserialize_with = "amount")]
    pub cores: f64,
    #[serde(deserialize_with = "amount")]
    pub gpus: f64,
    #[serde(deserialize_with = "amount")]
    pub mem_gb: f64,
    #[serde(deserialize_with = "amount")]
    pub local_gb: f64,
    #[serde(deserialize_with = "amount")]
    pub pull_gb_per_s: f64,
    #[serde(deserialize_with = "amount")]
    pub hourly: f64,
    #[serde(deserialize_with = "amount")]
    pub spot_price: f64,
    #[serde(deserialize_with = "amount")]
    pub startup_s: f64,
    pub sites: Vec<String>,
}

#[derive(Debug, Serialize)]
pub struct Rent<'a> {
    pub charter: &'a str,
    pub build: &'a str,
    pub site: &'a str,
    #[serde(rename = "loaners")]
    pub spot: bool,
    pub number: u32,
}

#[derive(Debug, Deserialize)]
pub struct Rented {
    #[serde(rename = "perches")]
    pub machines: Vec<String>,
}

#[derive(Debug, Serialize)]
pub struct Release<'a> {
    #[serde(rename = "perches")]
    pub machines: &'a [String],
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    Booting,
    Running,
    Failed,
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Listed {
    pub uid: String,
    pub build: String,
    pub site: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "status")]
    pub phase: Phase,
    #[serde(deserialize_with = "amount")]
    pub held_s: f64,
}

#[derive(Debug, Deserialize)]
pub struct Page {
    #[serde(rename = "perches")]
    pub machines: Vec<Listed>,
    #[serde(default)]
    pub truncated: bool,
}

pub const CATALOG: &str = "/catalog";
pub const RENT: &str = "/hosts";
pub const RELEASE: &str = "/hosts/release";

pub fn list_path(after: &str) -> String {
    if after.is_empty() { "/hosts?page=500".into() } else { format!("/hosts?after={after}&page=500") }
}
