//! Runs finchquay on one machine: emulates everything around the controllers
//! (state store, cloud, machines), starts real controllers as child processes,
//! submits load, injects faults, and checks the recorded history.

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

/// Locks what must stay usable after a panic elsewhere: every change to it is
/// whole when the lock is given back.
pub fn lock<T>(m: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    m.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
