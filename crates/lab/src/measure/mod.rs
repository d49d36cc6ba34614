//! CPU time, memory and the line fitted to measured points.
//!
//! CPU time is that of the calling thread; memory is the growth of the process's resident pages.
//! Both come from `/proc`, so a measurement must be long (tens of milliseconds) or large
//! (megabytes) to be accurate.

mod line;
mod process;
mod spread;

pub use crate::measure::{
    line::{Line, Point, Series},
    process::{CpuClock, resident_bytes},
    spread::{OpTimer, Spread},
};
