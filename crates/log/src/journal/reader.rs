//! Reads the journal of a predecessor.

use {
    crate::{
        journal::batch::{EntryKind, JournalBatch, JournalEntry},
        service::{ReadOutcome, Record},
    },
    egretlb_types::{Epoch, NodeId, Offset, Seq, ShardId},
    std::{collections::BTreeMap, fmt},
};

/// The body of one change entry.
pub type Change = Vec<u8>;

/// The next step after a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadStep {
    /// Read on from [`JournalReader::next`].
    More,
    /// The end was reached: [`JournalReader::recovered`] is complete.
    End,
    /// The log is unavailable; retry from [`JournalReader::next`] later.
    Unavailable,
}

/// A shard's state as recovered from its predecessor's journal.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Recovered {
    /// The body of the newest snapshot.
    pub snapshot: Vec<u8>,
    /// The changes after it, in order.
    pub changes: Vec<Change>,
}

/// Why a shard can't be recovered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecoverError {
    /// The journal holds no snapshot of the shard under the epoch.
    NoSnapshot {
        /// The shard.
        shard: ShardId,
        /// The requested epoch.
        epoch: Epoch,
        /// Whether records of the journal had expired.
        expired: bool,
    },
}

impl fmt::Display for RecoverError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RecoverError::NoSnapshot { shard, epoch, expired } = self;
        write!(f, "no snapshot of shard {shard} under epoch {epoch} is left in the log; ")?;
        if *expired {
            write!(f, "its records have expired: lengthen the retention, and submit its jobs again")
        } else {
            write!(f, "none was ever written: report this as a bug")
        }
    }
}

impl std::error::Error for RecoverError {}

/// Replays one node's journal.
///
/// Drops duplicate records, which repeated appends leave behind. A writer has one append in
/// flight at a time, so a record whose sequence number isn't above the last one is a duplicate.
#[derive(Clone, Debug)]
pub struct JournalReader {
    writer: NodeId,
    dedupe: bool,
    next: Offset,
    last_seq: Option<Seq>,
    expired: bool,
    unreadable: u64,
    shards: BTreeMap<(ShardId, Epoch), Recovered>,
    wanted: Vec<(ShardId, Epoch)>,
}

impl JournalReader {
    /// Creates a reader of the journal of `writer` for the given shards and epochs.
    pub fn new(writer: NodeId, wanted: impl IntoIterator<Item = (ShardId, Epoch)>) -> Self {
        JournalReader {
            writer,
            dedupe: true,
            next: Offset(0),
            last_seq: None,
            expired: false,
            unreadable: 0,
            shards: BTreeMap::new(),
            wanted: wanted.into_iter().collect(),
        }
    }

    /// Starts at `start` rather than at the beginning of the journal.
    pub fn starting_at(mut self, start: Offset) -> Self {
        self.next = start;
        self
    }

    /// For tests only: applies duplicate records.
    #[doc(hidden)]
    pub fn without_dedupe(mut self) -> Self {
        self.dedupe = false;
        self
    }

    /// The offset of the next read.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// The node whose journal is read.
    pub fn writer(&self) -> NodeId {
        self.writer
    }

    /// Number of records that are malformed or from another writer; normally zero.
    pub fn unreadable(&self) -> u64 {
        self.unreadable
    }

    /// Applies the outcome of a read from [`JournalReader::next`].
    pub fn fold(&mut self, outcome: ReadOutcome) -> ReadStep {
        match outcome {
            ReadOutcome::Unavailable => ReadStep::Unavailable,
            ReadOutcome::Gone { oldest } => {
                self.expired = true;
                self.next = oldest.max(self.next.next());
                ReadStep::More
            }
            ReadOutcome::Page { records, next, end } => {
                for record in records {
                    self.apply_record(&record);
                }
                self.next = next;
                if end { ReadStep::End } else { ReadStep::More }
            }
        }
    }

    /// The shard's state as written by the owner of the epoch.
    pub fn recovered(&self, shard: ShardId, epoch: Epoch) -> Result<&Recovered, RecoverError> {
        let no_snapshot = RecoverError::NoSnapshot { shard, epoch, expired: self.expired };
        self.shards.get(&(shard, epoch)).ok_or(no_snapshot)
    }

    fn apply_record(&mut self, record: &Record) {
        let Some(batch) = JournalBatch::decode(&record.bytes) else {
            self.unreadable += 1;
            return;
        };
        if batch.writer != self.writer {
            self.unreadable += 1;
            return;
        }
        if self.dedupe && self.last_seq.is_some_and(|last| batch.seq <= last) {
            return;
        }
        self.last_seq = Some(batch.seq);
        for entry in batch.entries {
            self.apply_entry(entry);
        }
    }

    fn apply_entry(&mut self, entry: JournalEntry) {
        let key = (entry.shard, entry.epoch);
        if !self.wanted.contains(&key) {
            return;
        }
        match entry.kind {
            EntryKind::Snapshot => {
                let recovered = Recovered { snapshot: entry.body, changes: Vec::new() };
                self.shards.insert(key, recovered);
            }
            // Without a preceding snapshot the snapshot has expired: a later one supersedes this
            // change, or the shard can't be recovered.
            EntryKind::Change => {
                if let Some(recovered) = self.shards.get_mut(&key) {
                    recovered.changes.push(entry.body);
                }
            }
        }
    }
}
