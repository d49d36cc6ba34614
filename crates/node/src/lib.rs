//! The reducers of the two daemons.
//!
//! [`Scheduler`] and [`EntryNode`] each put several smaller reducers together: the control stream's
//! for both, and the books of jobs, racks, shares and keys for the one, the callers' requests for
//! the other. What happens goes in as an event with the present time; what is to be done comes out
//! as data. Nothing here does input or output, so a test or a measurement drives the very code that
//! a daemon runs.
//!
//! The trade-off: one reducer steps at a time, on one thread. At the target's peak a scheduler takes
//! some hundred events a second and an entry some thousands, and no lock is held anywhere.

mod entry;
mod node;
mod peer;
mod scheduler;

pub use crate::{
    entry::{
        CallerArrival, EntryNode, EntryNodeEffect, EntryNodeEvent, EntryNodeOptions, RequestEffect,
    },
    node::{
        CallTicket, Delivery, NodeEffect, NodeEvent, Notice, OperatorReply, OperatorRequest,
        PEER_CONFIG_MAX_BYTES,
    },
    peer::PeerMessage,
    scheduler::{
        JournalReadId, Scheduler, SchedulerEffect, SchedulerEvent, SchedulerOptions,
        WorkerCallGuard,
    },
};
