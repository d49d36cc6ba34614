//! The record of a journal: a batch of entries with its writer and number.

use {
    egretlb_types::{Epoch, NodeId, Seq, ShardId},
    serde::{Deserialize, Serialize},
};

/// The layout of [`JournalBatch`]; a reader skips batches of a layout that it doesn't know.
const LAYOUT: u8 = 1;

/// What an entry is to its shard.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum EntryKind {
    /// The shard's whole state; everything earlier of the epoch is superseded.
    Snapshot,
    /// One change since the snapshot.
    Change,
}

/// One entry of a shard.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// The shard.
    pub shard: ShardId,
    /// The epoch under which its owner wrote the entry.
    pub epoch: Epoch,
    /// Snapshot or change.
    pub kind: EntryKind,
    /// The shard's own encoding.
    pub body: Vec<u8>,
}

/// One append: entries of any number of shards.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JournalBatch {
    /// The only process that writes this journal.
    pub writer: NodeId,
    /// The number of the batch; an append repeated after a lost answer carries the same.
    pub seq: Seq,
    /// The entries, in the order in which they were decided.
    pub entries: Vec<JournalEntry>,
}

impl JournalBatch {
    /// The batch as the bytes of a record.
    pub fn encode(&self) -> Vec<u8> {
        let buf = vec![LAYOUT];
        // Writing to a growing buffer can't fail for types without maps of unknown length.
        postcard::to_extend(self, buf).unwrap_or_default()
    }

    /// Reads a record; `None` for one of another layout or a broken one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (layout, rest) = bytes.split_first()?;
        (*layout == LAYOUT).then(|| postcard::from_bytes(rest).ok())?
    }
}
