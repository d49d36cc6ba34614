//! The daemons as threads of a program.
//!
//! [`start_scheduler`] and [`start_entry`] bind the addresses of the settings, start the loop that
//! steps the reducer, and return a handle. A daemon's program starts one and waits for signals; the
//! quick start and the tests start several in one program.
//!
//! One thread steps the reducer and performs its effects, and never blocks: whatever blocks runs
//! on a thread of the pool and comes back as an event.

mod callers;
mod entry;
mod error;
mod gauges;
mod io;
mod operators;
mod scheduler;

pub use self::{
    entry::start_entry,
    error::StartError,
    io::{Running, Stopped},
    scheduler::start_scheduler,
};
