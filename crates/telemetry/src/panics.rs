//! Panics end the process.

/// Has a panic on any thread or task end the process.
pub fn exit_on_panic() {}
