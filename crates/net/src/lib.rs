//! Input and output: HTTP, peer calls, the clock, and the loops that run the reducers.
//!
//! This crate performs the reducers' effects and returns the results to them as events. It makes
//! no scheduling decisions and stores nothing durably.

mod clock;
pub mod http;
pub mod peers;
pub mod platform;
mod pool;
pub mod runtime;

pub use crate::{
    clock::Clock,
    pool::Pool,
    runtime::{Running, StartError, Stopped, start_entry, start_scheduler},
};
