//! How the controllers agree: leases and leadership, blocks of machines,
//! warrants, freshness of reads. State machines without sockets or clocks.

pub mod account;
pub mod blame;
pub mod blocks;
pub mod health;
pub mod log;
pub mod machine;
pub mod pace;
pub mod parts;
pub mod session;
pub mod warrant;
pub mod writes;
