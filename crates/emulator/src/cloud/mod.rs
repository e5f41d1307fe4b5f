//! The cloud: rents machines of some types, lists them late, takes spot ones
//! back. `machine` decides, `service` speaks HTTP.

pub mod machine;
pub mod service;
