//! Relays: follower VMs that forward a leader's calls to workers.
//!
//! A leader makes thousands of similar calls a second to hundreds of workers, more than its link and processor
//! can take. It sends them in batches to a few followers, which make the calls and return the results. A relay
//! makes no decisions and keeps no state beyond its connection. If it crashes, freezes or is partitioned, the
//! leader sees unanswered calls and switches to another relay.
//!
//! This crate does no I/O. [`Assignment`] maps workers to relays. [`LeaderCodec`] and [`RelayCodec`] encode the
//! two ends of a connection: the leader sends workers and payloads in full, and later frames refer to them.

mod assignment;
mod codec;
mod message;
mod rows;
mod standbys;

pub use crate::{
    assignment::{Assignment, RelayNo, RemovalReason, Route, WORKERS_PER_RELAY, relays_wanted},
    codec::{CallNo, CodecError, LeaderCodec, RelayCodec},
    message::{Answer, Call, Hello, RelayedCall},
    standbys::{Candidate, DeclinedOffers, MIN_FLEET_VMS, StandbyChoice, standbys_wanted},
};
