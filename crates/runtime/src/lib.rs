//! Runs the workflow scheduler of one entry VM.
//!
//! A [`Node`] reads the store's records, serves clients, and performs the effects that the leadership and the
//! scheduler return. Everything runs on one thread. The traits of [`platform`] are the interface to the
//! platform.

pub mod platform;

mod admission;
mod append;
mod bad_entries;
mod clients;
mod clock;
mod commands;
mod configuration;
mod core;
mod dump;
mod early_cancellations;
mod failing_topics;
mod follow;
mod leader_append;
mod node;
mod peers;
mod read_limits;
mod reads;
mod relays;
mod serve;
mod standbys;
mod store_health;

pub use crate::{
    bad_entries::{BadEntry, BadEntryLog, Decoded, LogAction},
    clock::Clock,
    configuration::{Configuration, MAX_CONFIGURATION_AGE, NoRoute},
    failing_topics::{FailingTopics, FailureCounts, FailureReport, Regained},
    node::{Node, NodeOptions},
    read_limits::ReadLimits,
    serve::{Listeners, run},
    store_health::{SILENT_AFTER, STUCK_AFTER, StoreHealth},
};
pub use egretlb_relay::MIN_FLEET_VMS;
