//! Runs the workflow scheduler of one entry VM.
//!
//! A [`Node`] follows the store's records, takes clients' requests, and performs what the leadership
//! and the scheduler decide. Everything runs on one thread; what speaks to the platform is behind the
//! traits of [`border`].

pub mod border;

mod append;
mod bad_entries;
mod clients;
mod clock;
mod core;
mod dump;
mod follow;
mod node;
mod orders;
mod peers;
mod reads;
mod records;
mod relays;
mod serve;

pub use crate::{
    bad_entries::{BadEntry, BadEntryLog, Decoded, Telling},
    clock::Clock,
    node::{Node, NodeOptions},
    serve::{Listeners, run},
};
