//! The emulated state service: a small consistent key-value store with conditional
//! transactions, leases and watches. `machine` is the state machine, `log` keeps it on
//! disk, `service` answers over HTTP and injects faults, and `probe` measures a service.

pub mod log;
pub mod machine;
pub mod probe;
pub mod service;
