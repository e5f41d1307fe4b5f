pub mod attest;
pub mod log;
