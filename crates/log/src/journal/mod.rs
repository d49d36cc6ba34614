//! The journal of a node: its record format, writer and reader.

mod batch;
mod reader;
mod upkeep;
mod writer;

pub use crate::journal::{
    batch::{EntryKind, JournalBatch, JournalEntry},
    reader::{Change, JournalReader, ReadStep, RecoverError, Recovered},
    writer::{Answered, JournalAppend, JournalWriter, PushError, WriterOptions},
};
