//! Request keys: at most one run of a non-idempotent request, whoever sends it again and when.
//!
//! The owner of a key's shard journals the intent before it gives a permit, and the outcome when
//! the entry reports it. A key whose permit has no outcome stays closed: the earlier request may
//! have run. Keys are remembered for [`crate::KEY_RETENTION`] after that.

mod message;
mod state;
mod table;

pub use self::{
    message::{
        KeyJournalEntry, KeyOutcome, KeyRecord, KeySnapshot, OutcomeReport, Permit, PermitHolder,
        PermitRequest, RecordedAnswer,
    },
    table::{KeyTable, KeyTableEffect, KeyTableEvent},
};
