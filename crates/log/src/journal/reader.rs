//! Reading the journal of a predecessor.

use {
    crate::{
        journal::batch::{EntryKind, JournalBatch, JournalEntry},
        service::{ReadOutcome, Record},
    },
    egretlb_types::{Epoch, NodeId, Offset, Seq, ShardId},
    std::{collections::BTreeMap, fmt},
};

/// A change read back: the body of one entry.
pub type Change = Vec<u8>;

/// What to do after a page.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadStep {
    /// Read on from [`JournalReader::next`].
    More,
    /// The end was reached: [`JournalReader::recovered`] may be asked.
    End,
    /// The log didn't answer; read again from [`JournalReader::next`] after a while.
    Unavailable,
}

/// What the predecessor left of a shard.
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
        /// The epoch that was looked for.
        epoch: Epoch,
        /// Whether records of the journal had expired before they were read.
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
            write!(f, "the journal was never begun: report this as a fault")
        }
    }
}

impl std::error::Error for RecoverError {}

/// The fold of one node's journal.
///
/// A record that was appended twice after a lost answer is dropped the second time, or a change
/// would be applied twice. Since a writer has one append under way at a time, every number up to
/// the last one folded has been seen: a late copy is recognised however late it comes.
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
    /// A reader of the journal of `writer` that keeps the shards of `wanted` under their epochs.
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

    /// Begins at `start`, before which the writer said that nothing is needed.
    pub fn starting_at(mut self, start: Offset) -> Self {
        self.next = start;
        self
    }

    /// For tests of the checker only: applies records that were appended twice a second time.
    #[doc(hidden)]
    pub fn without_dedupe(mut self) -> Self {
        self.dedupe = false;
        self
    }

    /// Where to read.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Whose journal is read.
    pub fn writer(&self) -> NodeId {
        self.writer
    }

    /// How many records couldn't be read; worth an alarm if there are any.
    pub fn unreadable(&self) -> u64 {
        self.unreadable
    }

    /// Folds the answer to a read from [`JournalReader::next`].
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
                    self.fold_record(&record);
                }
                self.next = next;
                if end { ReadStep::End } else { ReadStep::More }
            }
        }
    }

    /// What was left of the shard by the owner of the epoch.
    pub fn recovered(&self, shard: ShardId, epoch: Epoch) -> Result<&Recovered, RecoverError> {
        let missing = RecoverError::NoSnapshot { shard, epoch, expired: self.expired };
        self.shards.get(&(shard, epoch)).ok_or(missing)
    }

    fn fold_record(&mut self, record: &Record) {
        let Some(batch) = JournalBatch::decode(&record.bytes) else {
            self.unreadable += 1;
            return;
        };
        if batch.writer != self.writer {
            self.unreadable += 1;
            return;
        }
        if self.dedupe && self.last_seq.is_some_and(|seen| batch.seq <= seen) {
            return;
        }
        self.last_seq = Some(batch.seq);
        for entry in batch.entries {
            self.fold_entry(entry);
        }
    }

    fn fold_entry(&mut self, entry: JournalEntry) {
        let key = (entry.shard, entry.epoch);
        if !self.wanted.contains(&key) {
            return;
        }
        match entry.kind {
            EntryKind::Snapshot => {
                let recovered = Recovered { snapshot: entry.body, changes: Vec::new() };
                self.shards.insert(key, recovered);
            }
            // A change without a snapshot before it was written before a snapshot that has
            // expired; a later snapshot supersedes it, and without one the shard is lost.
            EntryKind::Change => {
                if let Some(recovered) = self.shards.get_mut(&key) {
                    recovered.changes.push(entry.body);
                }
            }
        }
    }
}
