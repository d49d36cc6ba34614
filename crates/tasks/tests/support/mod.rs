//! A small simulated cluster in virtual time: nodes with both tables, fake workers, a log and a
//! lossy network.
//!
//! All events go through one queue ordered by time, so a run is deterministic for a seed.
#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

pub mod checker;
pub mod faults;
pub mod platform;
pub mod scenario;
pub mod worker;
mod world;

pub use {
    checker::Checker,
    faults::{Fault, InjectedFault, Step},
    platform::{batch_class, document, latency_class, resources, team, vms},
    scenario::{run_many, run_with_faults, run_with_protections},
    worker::{Behaviour, FakeWorker},
    world::{World, WorldOptions},
};
