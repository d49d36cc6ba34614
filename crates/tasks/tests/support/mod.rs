//! A small fleet in virtual time: nodes with both books, fake workers, a log, a lossy network.
//!
//! Everything is an item in one queue ordered by time, so a run is the same for the same seed.
#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

pub mod checker;
pub mod faults;
pub mod platform;
pub mod scenario;
pub mod worker;
mod world;

pub use {
    checker::Checker,
    faults::{Cell, Fault, Step},
    platform::{batch_class, document, latency_class, resources, team, vms},
    scenario::{run_cells, run_cells_with, run_many},
    worker::{Behaviour, FakeWorker},
    world::{World, WorldOptions},
};
