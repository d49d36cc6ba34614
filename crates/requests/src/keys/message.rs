//! What entries and the owners of request keys tell each other, and what owners journal.

use {
    crate::ids::{BodyHash, RequestId},
    egretlb_types::{NodeId, RequestKey, ShardId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// An entry's ask for a permit to send a non-idempotent request once.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The key's shard.
    pub shard: ShardId,
    /// The key.
    pub key: RequestKey,
    /// The hash of what is to be run.
    pub body: BodyHash,
    /// Whose permit it will be.
    pub holder: PermitHolder,
}

/// The one request that a permit is for: unique over all entries and their incarnations.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct PermitHolder {
    /// The entry.
    pub entry: NodeId,
    /// The entry's number of the request.
    pub request: RequestId,
}

/// The answer of a key's owner.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Permit {
    /// The intent is in the log: send it, once.
    Granted,
    /// It ran before; this was the answer.
    Recorded(RecordedAnswer),
    /// Another request with the key is in progress.
    InProgress,
    /// An earlier request with the key may have run; it isn't run again.
    InDoubt,
    /// The key came with another body before.
    BodyMismatch,
    /// No permit can be given now; nothing was or will be run for this ask.
    Unavailable,
}

/// A backend server's answer as remembered with a key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body, if it has at most [`crate::MAX_RECORDED_BODY_BYTES`] bytes.
    pub body: Option<Vec<u8>>,
}

/// What became of a permitted request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum KeyOutcome {
    /// It ran, and this was the answer.
    Ran(RecordedAnswer),
    /// It certainly didn't run: the key is free again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// An entry's report of an outcome.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// The key's shard.
    pub shard: ShardId,
    /// The key.
    pub key: RequestKey,
    /// Whose permit it was.
    pub holder: PermitHolder,
    /// What became of it.
    pub outcome: KeyOutcome,
}

/// What the owner of a key's shard journals.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum KeyJournalEntry {
    /// A request with the key may be sent from now on.
    Intent {
        /// The key.
        key: RequestKey,
        /// The hash of what is to be run.
        body: BodyHash,
        /// Whose permit it is.
        holder: PermitHolder,
    },
    /// What became of it.
    Outcome {
        /// The key.
        key: RequestKey,
        /// Whose permit it was.
        holder: PermitHolder,
        /// What became of it.
        outcome: KeyOutcome,
    },
}

/// All keys of a shard, for the journal and for a successor.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct KeySnapshot {
    /// The keys.
    pub keys: Vec<KeyRecord>,
}

/// One key in a [`KeySnapshot`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The key.
    pub key: RequestKey,
    /// The hash of what was to be run.
    pub body: BodyHash,
    /// Whose permit it was.
    pub holder: PermitHolder,
    /// What became of it, if that is known.
    pub outcome: Option<KeyOutcome>,
    /// How long ago the intent or the outcome was recorded.
    pub age: Duration,
}
