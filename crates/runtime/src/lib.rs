//! Runs the workflow scheduler of one entry VM.
//!
//! A [`Node`] follows the store's records, takes clients' requests, and performs what the leadership
//! and the scheduler decide. Everything runs on one thread; what speaks to the platform is behind the
//! traits of [`platform`].

pub mod platform;

mod append;
mod bad_entries;
mod clients;
mod clock;
mod commands;
mod core;
mod dump;
mod follow;
mod leader_append;
mod node;
mod peers;
mod relays;
mod serve;
mod watch;

pub use crate::{
    bad_entries::{BadEntry, BadEntryLog, Decoded, LogAction},
    clock::Clock,
    node::{Node, NodeOptions},
    serve::{Listeners, run},
};
