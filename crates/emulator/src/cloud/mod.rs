//! Emulated cloud: rents machines of several types, lists them with a delay, and preempts
//! spot machines. [`provider`] holds the state and the decisions, [`service`] answers the
//! HTTP requests.

pub mod provider;
pub mod service;
