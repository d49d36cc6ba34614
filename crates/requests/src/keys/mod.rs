//! Request keys: a non-idempotent request runs at most once, even if it is sent again.
//!
//! The owner of a key's shard journals the intent before it grants a permit, and the outcome when
//! the entry reports it. A key whose permit has no outcome accepts no further request, because the
//! earlier one may have run. Keys are stored for [`crate::KEY_RETENTION`] after that.

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
