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
pub struct JournalRun(pub u64);

impl fmt::Display for JournalRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What is known of a shard's former owners.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Past {
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
struct Wanted {
    shard: ShardId,
    epoch: Epoch,
    from: Epoch,
    start: Offset,
}

#[derive(Debug)]
struct Run {
    node: NodeId,
    reader: JournalReader,
    wanted: Vec<Wanted>,
    /// When to read again, if the log didn't answer.
    again_at: Option<Time>,
}

/// The readings under way. Shards of one predecessor that are taken over together share one.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    gathered: BTreeMap<NodeId, Vec<Wanted>>,
    runs: BTreeMap<JournalRun, Run>,
    pasts: BTreeMap<ShardId, Past>,
    done: VecDeque<Recovered>,
    next: JournalRun,
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
        self.pasts.insert(shard, Past { had_owner: from.is_some(), waited });
        match from {
            None => {
                self.done.push_back(Recovered { shard, epoch, past: None, lost: None });
            }
            Some(predecessor) => {
                let Predecessor { node, epoch: from, start } = predecessor;
                let wanted = Wanted { shard, epoch, from, start };
                self.gathered.entry(node).or_default().push(wanted);
            }
        }
    }

    /// What is known of the shard's former owners; the careful answer if nothing is.
    pub(super) fn past_of(&mut self, shard: ShardId) -> Past {
        self.pasts.remove(&shard).unwrap_or(Past { had_owner: true, waited: true })
    }

    /// Begins gathered readings, and repeats those that the log didn't answer.
    pub(super) fn tick(&mut self, now: Time, out: &mut Out) {
        self.start_gathered(out);
        for (run, reading) in &mut self.runs {
            if reading.again_at.is_some_and(|at| now >= at) {
                reading.again_at = None;
                let from = reading.reader.next();
                let node = reading.node;
                out.own.push(SchedulerEffect::ReadJournal { run: *run, node, from });
            }
        }
    }

    fn start_gathered(&mut self, out: &mut Out) {
        for (node, wanted) in std::mem::take(&mut self.gathered) {
            self.next = JournalRun(self.next.0 + 1);
            let start = wanted.iter().map(|w| w.start).min().unwrap_or_default();
            let reader = JournalReader::new(node, wanted.iter().map(|w| (w.shard, w.from)))
                .starting_at(start);
            let from = reader.next();
            self.runs.insert(self.next, Run { node, reader, wanted, again_at: None });
            out.own.push(SchedulerEffect::ReadJournal { run: self.next, node, from });
        }
    }

    pub(super) fn read(&mut self, now: Time, run: JournalRun, outcome: ReadOutcome, out: &mut Out) {
        let Some(reading) = self.runs.get_mut(&run) else { return };
        match reading.reader.fold(outcome) {
            ReadStep::More => {
                let (node, from) = (reading.node, reading.reader.next());
                out.own.push(SchedulerEffect::ReadJournal { run, node, from });
            }
            ReadStep::Unavailable => reading.again_at = Some(now + READ_AGAIN),
            ReadStep::End => {
                if let Some(reading) = self.runs.remove(&run) {
                    self.done.extend(reading.finish());
                }
            }
        }
    }

    pub(super) fn take_done(&mut self) -> Option<Recovered> {
        self.done.pop_front()
    }

    /// Shards that are being read back.
    pub(super) fn under_way(&self) -> usize {
        let running: usize = self.runs.values().map(|run| run.wanted.len()).sum();
        let gathered: usize = self.gathered.values().map(Vec::len).sum();
        running + gathered
    }
}

impl Run {
    fn finish(self) -> impl Iterator<Item = Recovered> {
        let Run { reader, wanted, .. } = self;
        wanted.into_iter().map(move |Wanted { shard, epoch, from, .. }| {
            let (past, lost) = match reader.recovered(shard, from) {
                Ok(recovered) => (Some(recovered.clone()), None),
                Err(error) => (None, Some(error)),
            };
            Recovered { shard, epoch, past, lost }
        })
    }
}
