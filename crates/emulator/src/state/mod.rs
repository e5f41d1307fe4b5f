//! The state service: a small consistent store with conditional transactions,
//! leases and watches. `machine` is the state machine, `log` keeps it on disk,
//! `service` speaks HTTP and causes faults.

pub mod log;
pub mod machine;
pub mod probe;
pub mod service;
