//! Runs the daemons as threads.
//!
//! [`start_scheduler`] and [`start_entry`] bind the addresses of the settings, start the loop that
//! steps the reducer, and return a handle. A process may run several daemons.
//!
//! One thread steps the reducer and performs its effects, and never blocks: blocking calls run on
//! a thread pool, and their results come back as events.

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
