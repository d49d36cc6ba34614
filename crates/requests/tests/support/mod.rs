//! A small world in virtual time in which the reducers exchange messages: entries, the owners of
//! racks and keys, a log, and backend servers that are a queue and some slots.
//!
//! Everything random comes from one seed, so a run repeats exactly.

#![allow(dead_code, missing_docs)]

pub mod baseline;
pub mod check;
pub mod faults;
pub mod load;
pub mod matrix;
pub mod owners;
pub mod servers;
pub mod stats;
pub mod world;
