pub mod attest;
pub mod log;
pub mod maintenance;
