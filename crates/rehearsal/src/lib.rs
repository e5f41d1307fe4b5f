//! Rehearsals of finchquay on one machine: an emulator of everything around
//! the controllers (state service, cloud, machines), real controllers as child
//! processes, load, faults, and a checker of the history that they leave.

pub mod bucket;
pub mod checker;
pub mod cloud;
pub mod history;
pub mod http;
pub mod machine;
pub mod scenario;
pub mod state;
