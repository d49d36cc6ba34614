//! Reading back the shards that this node takes over.

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

/// When a log that didn't answer is read again.
const READ_AGAIN: Duration = Duration::from_millis(500);

/// Names one reading of a predecessor's journal.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JournalReadId(pub u64);

impl fmt::Display for JournalReadId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What is known of a shard's former owners.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct OwnershipHistory {
    /// Whether anybody acted for it before.
    pub(super) had_owner: bool,
    /// Whether the last owner may have gone without a word.
    pub(super) waited: bool,
}

/// A shard that was read back.
#[derive(Debug)]
pub(super) struct Recovered {
    pub(super) shard: ShardId,
    pub(super) epoch: Epoch,
    /// What the last owner left; nothing for a shard that never had one.
    pub(super) past: Option<log::Recovered>,
    /// Why nothing is left although there was an owner.
    pub(super) lost: Option<RecoverError>,
}

#[derive(Debug)]
struct ShardRecovery {
    shard: ShardId,
    epoch: Epoch,
    from: Epoch,
    start: Offset,
}

#[derive(Debug)]
struct JournalRead {
    node: NodeId,
    reader: JournalReader,
    shards: Vec<ShardRecovery>,
    /// When to read again, if the log didn't answer.
    again_at: Option<Time>,
}

/// The readings under way. Shards of one predecessor that are taken over together share one.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    pending: BTreeMap<NodeId, Vec<ShardRecovery>>,
    reads: BTreeMap<JournalReadId, JournalRead>,
    histories: BTreeMap<ShardId, OwnershipHistory>,
    done: VecDeque<Recovered>,
    next: JournalReadId,
}

impl Recovery {
    pub(super) fn begin(
        &mut self,
        shard: ShardId,
        epoch: Epoch,
        from: Option<Predecessor>,
        waited: bool,
        _out: &mut Out,
    ) {
        self.histories.insert(shard, OwnershipHistory { had_owner: from.is_some(), waited });
        match from {
            None => {
                self.done.push_back(Recovered { shard, epoch, past: None, lost: None });
            }
            Some(predecessor) => {
                let Predecessor { node, epoch: from, start } = predecessor;
                let shards = ShardRecovery { shard, epoch, from, start };
                self.pending.entry(node).or_default().push(shards);
            }
        }
    }

    /// What is known of the shard's former owners; the careful answer if nothing is.
    pub(super) fn take_history(&mut self, shard: ShardId) -> OwnershipHistory {
        self.histories.remove(&shard).unwrap_or(OwnershipHistory { had_owner: true, waited: true })
    }

    /// Begins pending readings, and repeats those that the log didn't answer.
    pub(super) fn tick(&mut self, now: Time, out: &mut Out) {
        self.start_pending(out);
        for (read_id, read) in &mut self.reads {
            if read.again_at.is_some_and(|at| now >= at) {
                read.again_at = None;
                let from = read.reader.next();
                let node = read.node;
                out.own.push(SchedulerEffect::ReadJournal { read_id: *read_id, node, from });
            }
        }
    }

    fn start_pending(&mut self, out: &mut Out) {
        for (node, shards) in std::mem::take(&mut self.pending) {
            self.next = JournalReadId(self.next.0 + 1);
            let start = shards.iter().map(|w| w.start).min().unwrap_or_default();
            let reader = JournalReader::new(node, shards.iter().map(|w| (w.shard, w.from)))
                .starting_at(start);
            let from = reader.next();
            self.reads.insert(self.next, JournalRead { node, reader, shards, again_at: None });
            out.own.push(SchedulerEffect::ReadJournal { read_id: self.next, node, from });
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
                out.own.push(SchedulerEffect::ReadJournal { read_id, node, from });
            }
            ReadStep::Unavailable => read.again_at = Some(now + READ_AGAIN),
            ReadStep::End => {
                if let Some(read) = self.reads.remove(&read_id) {
                    self.done.extend(read.finish());
                }
            }
        }
    }

    pub(super) fn take_done(&mut self) -> Option<Recovered> {
        self.done.pop_front()
    }

    /// Shards that are being read back.
    pub(super) fn under_way(&self) -> usize {
        let running: usize = self.reads.values().map(|read| read.shards.len()).sum();
        let pending: usize = self.pending.values().map(Vec::len).sum();
        running + pending
    }
}

impl JournalRead {
    fn finish(self) -> impl Iterator<Item = Recovered> {
        let JournalRead { reader, shards, .. } = self;
        shards.into_iter().map(move |ShardRecovery { shard, epoch, from, .. }| {
            let (past, lost) = match reader.recovered(shard, from) {
                Ok(recovered) => (Some(recovered.clone()), None),
                Err(error) => (None, Some(error)),
            };
            Recovered { shard, epoch, past, lost }
        })
    }
}
