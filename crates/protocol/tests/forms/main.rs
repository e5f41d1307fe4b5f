//! Golden tests of the wire format: the bytes of every message, frame and request
//! path are compared with fixtures that are never regenerated. Deployed peers,
//! workers and services read these bytes; a renamed field must not change them.

mod cloud;
mod fixture;
mod message;
mod peer_frames;
mod store;
mod user;
mod worker;
