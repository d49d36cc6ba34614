//! Recovery of the shards that this node takes over.

use {
    super::{Out, SchedulerEffect},
    egretlb_control::Predecessor,
    egretlb_log::{self as log, JournalReader, ReadOutcome, ReadStep, RecoverError},
    egretlb_types::{Epoch, NodeId, Offset, ShardId, Time},
    std::{
        collections::{BTreeMap, VecDeque},
        fmt,
        time::Duration,
    },
};

/// Delay before a read that the log didn't answer is repeated.
const READ_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Id of a read of a predecessor's journal.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JournalReadId(pub u64);

impl fmt::Display for JournalReadId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The previous ownership of a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct OwnershipHistory {
    /// Whether the shard ever had a settled owner.
    pub(super) had_owner: bool,
    /// Whether the last settled owner didn't release the shard.
    pub(super) unreleased: bool,
}

/// The result of recovering a shard.
#[derive(Debug)]
pub(super) struct Recovered {
    pub(super) shard: ShardId,
    pub(super) epoch: Epoch,
    /// The recovered data; `None` if the shard never had an owner, or on an error.
    pub(super) data: Option<log::Recovered>,
    /// Why the data couldn't be recovered.
    pub(super) error: Option<RecoverError>,
}

#[derive(Debug)]
struct ShardRecovery {
    shard: ShardId,
    epoch: Epoch,
    predecessor_epoch: Epoch,
    start: Offset,
}

#[derive(Debug)]
struct JournalRead {
    node: NodeId,
    reader: JournalReader,
    shards: Vec<ShardRecovery>,
    /// When to repeat a read that the log didn't answer.
    retry_at: Option<Time>,
}

/// Recoveries in progress. Shards with the same predecessor share one read of its journal.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    pending: BTreeMap<NodeId, Vec<ShardRecovery>>,
    reads: BTreeMap<JournalReadId, JournalRead>,
    histories: BTreeMap<ShardId, OwnershipHistory>,
    finished: VecDeque<Recovered>,
    last_id: JournalReadId,
}

impl Recovery {
    pub(super) fn begin(
        &mut self,
        shard: ShardId,
        epoch: Epoch,
        from: Option<Predecessor>,
        unreleased: bool,
        _out: &mut Out,
    ) {
        self.histories.insert(shard, OwnershipHistory { had_owner: from.is_some(), unreleased });
        match from {
            None => {
                self.finished.push_back(Recovered { shard, epoch, data: None, error: None });
            }
            Some(predecessor) => {
                let Predecessor { node, epoch: predecessor_epoch, start } = predecessor;
                let shard = ShardRecovery { shard, epoch, predecessor_epoch, start };
                self.pending.entry(node).or_default().push(shard);
            }
        }
    }

    /// The previous ownership of the shard; the most cautious value if it is unknown.
    pub(super) fn take_history(&mut self, shard: ShardId) -> OwnershipHistory {
        self.histories
            .remove(&shard)
            .unwrap_or(OwnershipHistory { had_owner: true, unreleased: true })
    }

    /// Starts pending reads and repeats unanswered ones.
    pub(super) fn tick(&mut self, now: Time, out: &mut Out) {
        self.start_pending(out);
        for (read_id, read) in &mut self.reads {
            if read.retry_at.is_some_and(|at| now >= at) {
                read.retry_at = None;
                let from = read.reader.next();
                let node = read.node;
                out.scheduler_effects.push(SchedulerEffect::ReadJournal {
                    read_id: *read_id,
                    node,
                    from,
                });
            }
        }
    }

    fn start_pending(&mut self, out: &mut Out) {
        for (node, shards) in std::mem::take(&mut self.pending) {
            self.last_id = JournalReadId(self.last_id.0 + 1);
            let start = shards.iter().map(|s| s.start).min().unwrap_or_default();
            let reader =
                JournalReader::new(node, shards.iter().map(|s| (s.shard, s.predecessor_epoch)))
                    .starting_at(start);
            let from = reader.next();
            self.reads.insert(self.last_id, JournalRead { node, reader, shards, retry_at: None });
            out.scheduler_effects.push(SchedulerEffect::ReadJournal {
                read_id: self.last_id,
                node,
                from,
            });
        }
    }

    pub(super) fn read(
        &mut self,
        now: Time,
        read_id: JournalReadId,
        outcome: ReadOutcome,
        out: &mut Out,
    ) {
        let Some(read) = self.reads.get_mut(&read_id) else { return };
        match read.reader.fold(outcome) {
            ReadStep::More => {
                let (node, from) = (read.node, read.reader.next());
                out.scheduler_effects.push(SchedulerEffect::ReadJournal { read_id, node, from });
            }
            ReadStep::Unavailable => read.retry_at = Some(now + READ_RETRY_DELAY),
            ReadStep::End => {
                if let Some(read) = self.reads.remove(&read_id) {
                    self.finished.extend(read.finish());
                }
            }
        }
    }

    pub(super) fn take_finished(&mut self) -> Option<Recovered> {
        self.finished.pop_front()
    }

    /// Number of shards in recovery.
    pub(super) fn shards_in_progress(&self) -> usize {
        let running: usize = self.reads.values().map(|read| read.shards.len()).sum();
        let pending: usize = self.pending.values().map(Vec::len).sum();
        running + pending
    }
}

impl JournalRead {
    fn finish(self) -> impl Iterator<Item = Recovered> {
        let JournalRead { reader, shards, .. } = self;
        shards.into_iter().map(move |ShardRecovery { shard, epoch, predecessor_epoch, .. }| {
            let (data, error) = match reader.recovered(shard, predecessor_epoch) {
                Ok(recovered) => (Some(recovered.clone()), None),
                Err(error) => (None, Some(error)),
            };
            Recovered { shard, epoch, data, error }
        })
    }
}
