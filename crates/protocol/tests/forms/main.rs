//! Golden tests of the wire format. The bytes of every message and frame are compared with
//! fixtures that are never regenerated, and every request path with its text. Deployed
//! controllers, workers and services read these bytes, so renaming a field must not change
//! them.

mod cloud;
mod fixture;
mod message;
mod peer_frames;
mod store;
mod user;
mod worker;
