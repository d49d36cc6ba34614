//! Small stand-ins for the platform's services, and the checker of recorded histories.
//!
//! Test support only; no product depends on it. Each stand-in is a plain state machine that takes
//! the time as an argument (for tests in virtual time), a server over HTTP that runs in threads of
//! the calling program, and a small binary. All of them take faults on command.
//!
//! The stand-ins keep everything in memory and trust their callers: they are not meant for more
//! than one machine.

pub mod checker;
pub mod http;
pub mod log;
mod sync;
pub mod vms;
pub mod worker;
