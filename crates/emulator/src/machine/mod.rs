//! Simulated machines with their workers: the worker side of the protocol for thousands of
//! machines in one process. [`worker`] is one machine; [`fleet`] holds all of them with
//! what they share (results, checkpoints, gangs); [`images`] is the image cache of one
//! machine; [`driver`] connects the machines to the controllers.

pub mod driver;
pub mod fleet;
pub mod images;
pub mod worker;
