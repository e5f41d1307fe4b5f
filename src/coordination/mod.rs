//! Coordination between the controllers: store sessions and leases, shards of machines,
//! fencing tokens, freshness of reads, and limits on writes.
//!
//! Everything here is a state machine or a pure function that uses neither sockets nor clocks.
//! The controller calls the state service itself and passes the current time in.

#![warn(missing_docs)]

pub mod fault_attribution;
pub mod fencing_token;
pub mod health;
pub mod in_flight_writes;
pub mod log_writer;
pub mod machine;
pub mod quota_reservation;
pub mod rate_limiter;
pub mod shards;
pub mod store_session;
pub mod suspension;
pub mod token_bucket;
