//! A simulation of several processes, a log and faults in virtual time.
#![allow(dead_code, unused_imports, reason = "each test file uses its part")]

mod app;
mod checker;
mod faults;
mod log;
mod node;
mod scenario;
mod world;

pub use self::{
    checker::Checker,
    faults::{Cell, Fault, Moment, Pair, Step},
    log::FakeLog,
    node::{Delivery, SimNode},
    scenario::{Outcome, in_parallel, run_cell, run_pair},
    world::{Options, SEC, Trigger, WATCHED_SHARDS, World},
};
