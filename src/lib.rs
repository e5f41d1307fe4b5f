//! finchquay: a cluster scheduler whose controllers keep jobs running on
//! rented machines. `docs/design.md` says how, and why it is safe.

pub mod bookkeeping;
pub mod controller;
pub mod coordination;
pub mod effects;
pub mod fleet;
pub mod links;
pub mod placement;
pub use finchquay_protocol as protocol;
pub mod recovery;
pub mod requests;
pub mod retry;
pub mod settings;
pub mod transport;
pub mod upkeep;
