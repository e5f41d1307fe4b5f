//! Sockets, the clock and the event loop. Nothing else in the program touches either:
//! the controller's logic gets events and returns actions. Every connection has a
//! deadline and a limit on what it may buffer.

mod calls;
mod connection;
mod event_loop;
pub mod http;
mod listeners;
mod network;
mod operator_file;
mod peers;

pub use event_loop::run;

#[cfg(test)]
mod tests;
