//! The interface to the platform's log service, and the journals stored in it.
//!
//! The platform's log is the only durable storage. It accepts a few hundred appends a second,
//! expires old records, has outages, and may lose the response to an append that took effect.
//! [`AppendOutcome`] and [`ReadOutcome`] make these cases explicit. Each scheduler writes one
//! journal: [`JournalWriter`] groups entries into few appends (group commit), [`JournalReader`]
//! replays them and drops repeated records.
//!
//! One stream for each writer bounds the append rate by writers times flush rate, whatever the
//! load. In return a successor reads its predecessor's whole journal, not only the shards that
//! it took over.

mod journal;
mod service;
mod stream;

pub use crate::{
    journal::{
        Answered, Change, EntryKind, JournalAppend, JournalBatch, JournalEntry, JournalReader,
        JournalWriter, PushError, ReadStep, RecoverError, Recovered, WriterOptions,
    },
    service::{AppendOutcome, LogService, NotAppendedReason, ReadOutcome, Record},
    stream::StreamName,
};
