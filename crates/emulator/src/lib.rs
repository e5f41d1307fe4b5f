//! Runs a finchquay cluster on one machine: emulates everything around the controllers
//! (state service, cloud, machines), starts real controllers as child processes, submits
//! load, injects faults, and checks the recorded history.

#![warn(missing_docs)]
#![cfg_attr(not(test), warn(clippy::unwrap_used))]

pub mod bucket;
pub mod checker;
pub mod cloud;
pub mod cluster;
pub mod front;
pub mod history;
pub mod http;
pub mod load;
pub mod machine;
pub mod report;
pub mod run;
pub mod scenario;
pub mod state;
pub mod suite;
pub mod view;

/// Locks a mutex and ignores poisoning, so that the data stays usable after a panic in
/// another thread. Every critical section must leave the data consistent when it
/// releases the lock.
pub fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
