//! Request path: admission, queueing, routing, retries, shares and request keys, as reducers.
//!
//! [`Entry`] handles the requests that arrive at one entry process. [`ShareTable`] grants entries
//! their shares of backend servers, and [`KeyTable`] stores idempotency keys; both run in a
//! scheduler, for the shards that it owns. None of them performs I/O or reads a clock, and they
//! handle ids, hashes and sizes instead of request bodies.
//!
//! An entry sends only what it holds a share for, so a backend server never receives more requests
//! than it has slots, whatever fails. In return, load can move between entries only after a message
//! to the owner of the shares.

pub mod entry;
mod ids;
pub mod keys;
mod limits;
mod protections;
pub mod shares;

pub use crate::{
    entry::{Entry, EntryEffect, EntryEvent, EntryOptions},
    ids::{AttemptId, BodyHash, RequestId},
    keys::{KeyTable, KeyTableEffect, KeyTableEvent},
    limits::*,
    protections::Protections,
    shares::{ShareTable, ShareTableEffect, ShareTableEvent},
};
