//! Messages between entries and the owners of request keys, and the owners' journal entries.

use {
    crate::ids::{BodyHash, RequestId},
    egretlb_types::{NodeId, RequestKey, ShardId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// An entry's request for a permit to send a non-idempotent request once.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Shard that owns the key.
    pub shard: ShardId,
    /// The idempotency key.
    pub key: RequestKey,
    /// Hash of the request to be sent.
    pub body: BodyHash,
    /// Holder of the permit.
    pub holder: PermitHolder,
}

/// The request that a permit is for; unique over all entries and their restarts.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct PermitHolder {
    /// The entry.
    pub entry: NodeId,
    /// Id of the request within the entry.
    pub request: RequestId,
}

/// Answer of a key's owner to a [`PermitRequest`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Permit {
    /// The intent is in the log: the request may be sent once.
    Granted,
    /// The request has run; holds the recorded answer.
    Recorded(RecordedAnswer),
    /// Another request with the key is in progress.
    InProgress,
    /// An earlier request with the key may have run; it isn't run again.
    InDoubt,
    /// The key was used with a different request.
    BodyMismatch,
    /// No permit can be granted now; nothing runs for this request.
    Unavailable,
}

/// A backend server's answer as recorded with a key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body, if it has at most [`crate::MAX_RECORDED_BODY_BYTES`] bytes.
    pub body: Option<Vec<u8>>,
}

/// Outcome of a request with a permit.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum KeyOutcome {
    /// It ran and got this answer.
    Ran(RecordedAnswer),
    /// It didn't run; the key may be used again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// An entry's report of an outcome.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// Shard that owns the key.
    pub shard: ShardId,
    /// The idempotency key.
    pub key: RequestKey,
    /// Holder of the permit.
    pub holder: PermitHolder,
    /// Outcome of the request.
    pub outcome: KeyOutcome,
}

/// Journal entry of the owner of a key's shard.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum KeyJournalEntry {
    /// A request with the key may be sent from now on.
    Intent {
        /// The idempotency key.
        key: RequestKey,
        /// Hash of the request to be sent.
        body: BodyHash,
        /// Holder of the permit.
        holder: PermitHolder,
    },
    /// The outcome of a request with a permit.
    Outcome {
        /// The idempotency key.
        key: RequestKey,
        /// Holder of the permit.
        holder: PermitHolder,
        /// Outcome of the request.
        outcome: KeyOutcome,
    },
}

/// All keys of a shard, for its journal and a new owner.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct KeySnapshot {
    /// The keys.
    pub keys: Vec<KeyRecord>,
}

/// One key in a [`KeySnapshot`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The idempotency key.
    pub key: RequestKey,
    /// Hash of the request.
    pub body: BodyHash,
    /// Holder of the permit.
    pub holder: PermitHolder,
    /// Outcome, if known.
    pub outcome: Option<KeyOutcome>,
    /// Time since the intent or the outcome was recorded.
    pub age: Duration,
}
