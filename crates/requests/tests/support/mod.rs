//! Simulation in virtual time: entries, the owners of racks and keys, a log, and backend servers
//! with slots and a queue.
//!
//! All randomness comes from one seed, so runs are deterministic.

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
