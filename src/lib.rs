//! finchquay: a cluster scheduler whose controllers keep jobs running on
//! rented machines. `docs/design.md` says how, and why it is safe.

pub mod connectivity;
pub mod controller;
pub mod coordination;
pub mod effects;
pub mod placement;
pub mod scaling;
pub mod state;
pub use finchquay_protocol as protocol;
pub mod maintenance;
pub mod reconciliation;
pub mod requests;
pub mod retry;
pub mod settings;
pub mod transport;
