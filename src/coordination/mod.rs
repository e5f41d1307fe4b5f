//! How the controllers agree: leases and leadership, blocks of machines,
//! fencing tokens, freshness of reads. State machines without sockets or clocks.

pub mod account;
pub mod fault_attribution;
pub mod fencing_token;
pub mod health;
pub mod log;
pub mod machine;
pub mod pace;
pub mod parts;
pub mod session;
pub mod shards;
pub mod writes;
