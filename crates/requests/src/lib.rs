//! Requests under load: admission, queues, routing, retries, shares and request keys, as reducers.
//!
//! [`Entry`] decides for one entry process what becomes of each caller's request. [`ShareTable`]
//! grants entries their shares of backend servers, and [`KeyTable`] remembers idempotency keys;
//! both run in a scheduler, for the shards that it owns. None of them does input or output or
//! reads a clock, and request bodies never come near them: they handle ids, hashes and sizes.
//!
//! The trade-off: an entry only sends what it holds a share for, so that a backend server is never
//! handed more than its slots whatever fails, at the price of a message to the share's owner before
//! a load can shift between entries.

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
