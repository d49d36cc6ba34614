//! Relays: other VMs that carry a leader's calls to workers.
//!
//! One leader decides for hundreds of workers. Were it to call each of them by itself, its link and its
//! processor would be busy with requests that say nearly the same, thousands a second. So it hands its calls, in
//! batches over one connection each, to some VMs that lead nothing, and is told what came of them. A relay decides
//! nothing and remembers nothing: one that dies, freezes or is cut off looks to the leader like calls that got no
//! answer, and the leader uses another one.
//!
//! This crate does no input or output. [`Assignment`] decides which relay carries which worker;
//! [`LeaderCodec`] and [`RelayCodec`] are the two ends of a connection, which name workers and payloads once and
//! then repeat only what changes.

mod assignment;
mod codec;
mod message;
mod rows;

pub use crate::{
    assignment::{Assignment, RelayNo, RemovalReason, Route, WORKERS_PER_RELAY, relays_wanted},
    codec::{CallNo, CodecError, LeaderCodec, RelayCodec},
    message::{Answer, Call, Hello, RelayedCall},
};
