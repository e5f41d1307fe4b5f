//! finchquay: a cluster scheduler whose controllers keep jobs running on
//! rented machines. `docs/design.md` says how, and why it is safe.

#![cfg_attr(not(test), warn(clippy::unwrap_used))]

pub mod config;
pub mod connectivity;
pub mod controller;
pub mod coordination;
pub mod effects;
pub mod maintenance;
pub mod placement;
pub mod reconciliation;
pub mod requests;
pub mod retry;
pub mod scaling;
pub mod state;
pub mod transport;

pub use finchquay_protocol as protocol;
