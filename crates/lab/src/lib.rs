//! Measures how the CPU time, memory and messages of egretlb's reducers grow with their load.
//!
//! The capacity page is derived from the slopes. The experiments drive the real reducers with fixed
//! seeds in virtual time and without sockets, so the figures exclude the network and the kernel.

pub mod experiments;
pub mod measure;
pub mod models;
pub mod report;
