//! Stand-ins for the platform's services with fault injection, and a checker of recorded histories.
//!
//! Test support only. Each stand-in is a state machine that takes the time as an argument (for
//! tests in virtual time), an HTTP server in threads of the calling program, and a binary.
//!
//! The stand-ins keep all state in memory and trust their callers; use them on one machine only.

pub mod checker;
pub mod http;
pub mod log;
mod sync;
pub mod vms;
pub mod worker;
