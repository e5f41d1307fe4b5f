//! Simulated machines with their workers: the worker side of the protocol for
//! some thousands of machines in one process. `worker` is one machine, `fleet`
//! all of them with what they share (results, checkpoints, gangs), `driver`
//! connects them to the controllers.

pub mod driver;
pub mod fleet;
pub mod images;
pub mod worker;
