//! finchquay is a cluster scheduler: its controllers run jobs on machines that they provision
//! from a cloud. `docs/design.md` describes the design, and why it is safe.

#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::disallowed_methods))]

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
