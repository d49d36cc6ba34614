//! A stand-in for the platform's log service.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /streams/{name}` | the record | 200 `{"offset":N}`; 429 above the rate; 413 if too large |
//! | `GET /streams/{name}?from=N&max_bytes=M` | none | 200 [`ReadPage`] in `postcard`; 410 `{"oldest":N}` |
//! | `POST /faults` | [`LogFaults`] | 200; replaces the faults in force |
//! | `GET /stats` | none | 200 [`LogStats`] |
//!
//! The first append creates a stream; an unknown stream reads as empty with its end at 0. A read
//! returns at least one record if there is one, whatever its size. Answers to reads are binary to
//! keep them small.
//!
//! Callers identify themselves by the header `Egretlb-Node`, so that single nodes can be cut off.

mod faults;
mod server;
mod state;

pub use crate::log::{
    faults::{Expire, LogFaults},
    server::{LogServer, start_log},
    state::{
        AppendRefused, Appended, LogSettings, LogState, LogStats, OffsetGone, ReadPage, Record,
        StreamStats,
    },
};
