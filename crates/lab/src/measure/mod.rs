//! Processor time, memory and the straight line through measured points.
//!
//! Processor time is what the kernel charged to this thread, so other programs on the machine add
//! little to it; memory is the growth of the process's resident pages. Both come from `/proc`, which
//! needs no unsafe code; the price is that a measurement must be long (tens of milliseconds) or
//! large (megabytes) to be exact.

mod line;
mod process;
mod spread;

pub use crate::measure::{
    line::{Line, Point, Series},
    process::{CpuClock, resident_bytes},
    spread::{OpTimer, Spread},
};
