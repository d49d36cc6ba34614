//! The parts that both daemons share: the control stream, operators' calls, messages to peers.

mod convert;
mod core;
mod event;
mod job_calls;
mod notice;
mod outbox;

pub(crate) use self::{
    convert::version_of,
    core::{NodeCore, PeerHandling},
    outbox::Outbox,
};
pub use self::{
    core::PEER_CONFIG_MAX_BYTES,
    event::{CallTicket, Delivery, NodeEffect, NodeEvent, OperatorReply, OperatorRequest},
    notice::Notice,
};
