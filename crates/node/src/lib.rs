//! The reducers of the two daemons.
//!
//! [`Scheduler`] and [`EntryNode`] combine several smaller reducers: both the control stream's; the
//! scheduler the tables of jobs, racks, shares of backend servers and idempotency keys; the entry
//! the callers' requests. They take events with the present time and return effects. They do no I/O,
//! so tests and measurements run the same code as the daemons.
//!
//! A reducer steps on one thread and takes no locks.

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
