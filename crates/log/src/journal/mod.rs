//! The journal of a node: what it appends, how it groups it, and how a successor reads it.

mod batch;
mod reader;
mod upkeep;
mod writer;

pub use crate::journal::{
    batch::{EntryKind, JournalBatch, JournalEntry},
    reader::{Change, JournalReader, ReadStep, RecoverError, Recovered},
    writer::{Answered, JournalAppend, JournalWriter, PushError, WriterOptions},
};
