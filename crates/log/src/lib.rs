//! The log service at its border, and the journals kept in it.
//!
//! The platform's log is the only place where anything lasts. It takes a few hundred appends a
//! second, forgets old records, has outages, and may lose the answer to an append that took
//! effect. This crate turns that into types that can't be overlooked ([`AppendOutcome`],
//! [`ReadOutcome`]), and into a journal for each writing process: group commit on the way in
//! ([`JournalWriter`]), a fold that drops repeated records on the way out ([`JournalReader`]).
//!
//! The trade-off: one stream for each writer bounds the number of appends by writers times flush
//! rate, whatever the load; in return a successor reads all of its predecessor's journal, not
//! only the shards that it took over.

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
