//! Input and output: HTTP, peer calls, the clock, and the loops that run the reducers.
//!
//! The reducers decide; this crate performs their effects and feeds the answers back. It holds no
//! rule about which request runs where, and keeps nothing that must last.

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
