//! The record format of a journal: a batch of entries with its writer and sequence number.

use {
    egretlb_types::{Epoch, NodeId, Seq, ShardId},
    serde::{Deserialize, Serialize},
};

/// Format version of [`JournalBatch`]; a reader skips batches of other versions.
const FORMAT_VERSION: u8 = 1;

/// The kind of an entry.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum EntryKind {
    /// The shard's whole state; supersedes all earlier entries of the epoch.
    Snapshot,
    /// One change since the snapshot.
    Change,
}

/// One entry of a shard.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// The shard.
    pub shard: ShardId,
    /// The epoch of the owner that wrote the entry.
    pub epoch: Epoch,
    /// Whether it is a snapshot or a change.
    pub kind: EntryKind,
    /// The snapshot or change, encoded by the shard's owner.
    pub body: Vec<u8>,
}

/// One append: entries of any number of shards.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JournalBatch {
    /// The node that writes this journal.
    pub writer: NodeId,
    /// The sequence number; a repeated append carries the same number.
    pub seq: Seq,
    /// The entries, in the order in which they were pushed.
    pub entries: Vec<JournalEntry>,
}

impl JournalBatch {
    /// Encodes the batch as a record.
    pub fn encode(&self) -> Vec<u8> {
        let buf = vec![FORMAT_VERSION];
        // Can't fail: the buffer grows, and all lengths are known.
        postcard::to_extend(self, buf).unwrap_or_default()
    }

    /// Decodes a record; `None` if it has another format version or is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (version, rest) = bytes.split_first()?;
        (*version == FORMAT_VERSION).then(|| postcard::from_bytes(rest).ok())?
    }
}
