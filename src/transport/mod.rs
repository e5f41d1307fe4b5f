//! The event loop, the sockets and the clock of a controller process. No other module uses
//! sockets or reads the clock: the controller's logic receives events and returns actions.
//! Every connection has a deadline and a limit on the bytes that it buffers.

#![warn(missing_docs)]

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
