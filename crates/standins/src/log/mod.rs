//! A stand-in for the platform's log service.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /streams/{name}` | the record | 200 `{"offset":N}`; 429 above the rate; 413 if too large |
//! | `GET /streams/{name}?from=N&max_bytes=M` | none | 200 [`ReadPage`] in `postcard`; 410 `{"oldest":N}` |
//! | `POST /faults` | [`LogFaults`] | 200; replaces the faults in force |
//! | `GET /stats` | none | 200 [`LogStats`] |
//!
//! A stream comes into being by its first append; an unknown one reads as empty, its end at 0. A
//! read gives at least one record if there is one, however large. Reads are binary because nearly
//! all of a reader's traffic is records, and text would make it a third larger or more.
//!
//! A caller names itself by the header `Egretlb-Node`, so that single nodes can be cut off.

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
