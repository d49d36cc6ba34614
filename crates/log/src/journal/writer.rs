//! Group commit: the reducer that turns entries into few appends.

use {
    crate::{
        journal::{
            batch::{EntryKind, JournalBatch, JournalEntry},
            upkeep::Upkeep,
        },
        service::AppendOutcome,
    },
    egretlb_types::{NodeId, Offset, Seq, ShardId, Ticket, Time},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    smallvec::SmallVec,
    std::{collections::VecDeque, fmt, time::Duration},
};

/// Bytes that an entry takes in a batch beside its body, at most.
const ENTRY_OVERHEAD: usize = 24;

/// How a journal is written.
#[derive(Clone, Debug)]
pub struct WriterOptions {
    node: NodeId,
    seed: u64,
    flush_interval: Duration,
    batch_bytes: usize,
    entry_bytes: usize,
    pending_bytes: usize,
    backoff: Duration,
    backoff_max: Duration,
    retention: Duration,
}

impl WriterOptions {
    /// The defaults for the journal of `node`; `seed` spreads the retries of different nodes.
    pub fn new(node: NodeId, seed: u64) -> Self {
        WriterOptions {
            node,
            seed,
            // 17 writers at 10 appends a second are 170, under the 200 that a log of several
            // hundred appends a second can spare for one system.
            flush_interval: Duration::from_millis(100),
            batch_bytes: 256 * 1024,
            entry_bytes: 4 * 1024 * 1024,
            // What a node may hold while the log is down, within its 128 MB.
            pending_bytes: 8 * 1024 * 1024,
            backoff: Duration::from_millis(200),
            backoff_max: Duration::from_secs(5),
            retention: Duration::from_secs(24 * 3600),
        }
    }

    /// The shortest time between two appends.
    pub fn flush_interval(mut self, interval: Duration) -> Self {
        self.flush_interval = interval;
        self
    }

    /// The most bytes of entries in one append, unless a single entry is larger.
    pub fn batch_bytes(mut self, bytes: usize) -> Self {
        self.batch_bytes = bytes;
        self
    }

    /// The largest body of one entry.
    pub fn entry_bytes(mut self, bytes: usize) -> Self {
        self.entry_bytes = bytes;
        self
    }

    /// The most bytes of entries that wait for the log, including those on their way.
    pub fn pending_bytes(mut self, bytes: usize) -> Self {
        self.pending_bytes = bytes;
        self
    }

    /// How long the log keeps a record at least.
    pub fn retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }
}

/// Why an entry wasn't taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushError {
    /// Too much waits for the log already.
    Full {
        /// The most bytes that may wait.
        limit: usize,
    },
    /// The entry's body is too large.
    TooLarge {
        /// The most bytes that a body may have.
        limit: usize,
    },
}

impl fmt::Display for PushError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PushError::Full { limit } => write!(
                f,
                "more than {limit} bytes wait for the log; refuse the work and come back when \
                 the log answers again"
            ),
            PushError::TooLarge { limit } => {
                write!(f, "the entry is larger than {limit} bytes; split the work it records")
            }
        }
    }
}

impl std::error::Error for PushError {}

/// An append to be made to the node's journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JournalAppend {
    /// The number to give back with the answer.
    pub seq: Seq,
    /// The record.
    pub bytes: Vec<u8>,
}

/// What an answer of the log settled.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answered {
    /// The tickets whose entries are durable now, in the order of the pushes.
    pub durable: SmallVec<[Ticket; 8]>,
}

#[derive(Clone, Debug)]
struct Pending {
    entry: JournalEntry,
    ticket: Ticket,
}

#[derive(Clone, Debug)]
struct Durable {
    shard: ShardId,
    kind: EntryKind,
    len: usize,
    ticket: Ticket,
}

#[derive(Clone, Debug)]
struct InFlight {
    seq: Seq,
    bytes: Vec<u8>,
    entries: Vec<Durable>,
    first_sent: Time,
    failures: u32,
    /// When to append again; `None` while an answer is awaited.
    retry_at: Option<Time>,
}

/// The writer of one node's journal.
///
/// An entry that arrives while nothing is under way leaves at once; under load entries gather for
/// the flush interval. Only one append is under way at a time, so that the order of the records
/// is the order of the batches, and a log that comes back from an outage meets one append of each
/// writer, not its backlog.
#[derive(Clone, Debug)]
pub struct JournalWriter {
    options: WriterOptions,
    rng: SmallRng,
    next_seq: Seq,
    queue: VecDeque<Pending>,
    held_bytes: usize,
    in_flight: Option<InFlight>,
    last_sent: Option<Time>,
    upkeep: Upkeep,
}

impl JournalWriter {
    /// A writer for a journal that has no records yet.
    pub fn new(options: WriterOptions) -> Self {
        JournalWriter {
            rng: SmallRng::seed_from_u64(options.seed),
            upkeep: Upkeep::new(options.node, options.retention),
            next_seq: Seq(1),
            queue: VecDeque::new(),
            held_bytes: 0,
            in_flight: None,
            last_sent: None,
            options,
        }
    }

    /// Takes an entry; its ticket comes back from [`JournalWriter::answered`] once it is durable.
    ///
    /// The bound keeps an hour without the log from filling the node's memory. Who is refused
    /// must refuse its own caller, truthfully: nothing was recorded.
    pub fn push(&mut self, entry: JournalEntry, ticket: Ticket) -> Result<(), PushError> {
        let len = entry.body.len();
        if len > self.options.entry_bytes {
            return Err(PushError::TooLarge { limit: self.options.entry_bytes });
        }
        if self.held_bytes + len + ENTRY_OVERHEAD > self.options.pending_bytes {
            return Err(PushError::Full { limit: self.options.pending_bytes });
        }
        self.held_bytes += len + ENTRY_OVERHEAD;
        self.queue.push_back(Pending { entry, ticket });
        Ok(())
    }

    /// The append to make now, if there is one.
    pub fn poll(&mut self, now: Time) -> Option<JournalAppend> {
        if self.in_flight.is_some() {
            return self.poll_again(now);
        }
        let too_soon = |sent: Time| now < sent + self.options.flush_interval;
        if self.queue.is_empty() || self.last_sent.is_some_and(too_soon) {
            return None;
        }
        let batch = self.take_batch(now);
        self.last_sent = Some(now);
        Some(batch)
    }

    /// When [`JournalWriter::poll`] may next have something, if nothing else happens before.
    pub fn wake_at(&self) -> Option<Time> {
        match &self.in_flight {
            Some(in_flight) => in_flight.retry_at,
            None if self.queue.is_empty() => None,
            None => Some(self.last_sent.map_or(Time::ZERO, |t| t + self.options.flush_interval)),
        }
    }

    /// Takes the log's answer to the append `seq`. An answer to an earlier append is ignored.
    pub fn answered(&mut self, now: Time, seq: Seq, outcome: AppendOutcome) -> Answered {
        let Some(mut in_flight) = self.in_flight.take_if(|f| f.seq == seq) else {
            return Answered::default();
        };
        if let AppendOutcome::Appended(at) = outcome {
            return self.settle(&in_flight, at);
        }
        in_flight.retry_at = Some(now + self.backoff(in_flight.failures));
        in_flight.failures += 1;
        self.in_flight = Some(in_flight);
        Answered::default()
    }

    /// The shards that should push a snapshot now, a few at a time.
    pub fn snapshots_due(&mut self, now: Time) -> Vec<ShardId> {
        self.upkeep.due(now)
    }

    /// The shard isn't this node's any more: its snapshot need not be kept alive.
    pub fn forget(&mut self, shard: ShardId) {
        self.upkeep.forget(shard);
    }

    /// The oldest record of the journal that a successor of this node needs: the oldest among the
    /// newest snapshots of its shards. `None` while it has no shard.
    pub fn live_from(&self) -> Option<Offset> {
        self.upkeep.live_from()
    }

    /// Whether appends fail now: how often in a row the append under way has failed.
    pub fn failures(&self) -> u32 {
        self.in_flight.as_ref().map_or(0, |f| f.failures)
    }

    /// Bytes of entries that wait for the log or are on their way.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    fn poll_again(&mut self, now: Time) -> Option<JournalAppend> {
        let in_flight = self.in_flight.as_mut()?;
        if in_flight.retry_at.is_none_or(|at| now < at) {
            return None;
        }
        in_flight.retry_at = None;
        self.last_sent = Some(now);
        Some(JournalAppend { seq: in_flight.seq, bytes: in_flight.bytes.clone() })
    }

    fn take_batch(&mut self, now: Time) -> JournalAppend {
        let mut entries = Vec::new();
        let mut durable = Vec::new();
        let mut len = 0;
        while let Some(pending) = self.queue.pop_front() {
            let entry_len = pending.entry.body.len() + ENTRY_OVERHEAD;
            if !entries.is_empty() && len + entry_len > self.options.batch_bytes {
                self.queue.push_front(pending);
                break;
            }
            len += entry_len;
            durable.push(Durable {
                shard: pending.entry.shard,
                kind: pending.entry.kind,
                len: pending.entry.body.len(),
                ticket: pending.ticket,
            });
            entries.push(pending.entry);
        }
        let seq = self.next_seq;
        self.next_seq = seq.next();
        let bytes = JournalBatch { writer: self.options.node, seq, entries }.encode();
        self.in_flight = Some(InFlight {
            seq,
            bytes: bytes.clone(),
            entries: durable,
            first_sent: now,
            failures: 0,
            retry_at: None,
        });
        JournalAppend { seq, bytes }
    }

    fn settle(&mut self, in_flight: &InFlight, at: Offset) -> Answered {
        let mut answered = Answered::default();
        self.upkeep.wrote(in_flight.bytes.len());
        for entry in &in_flight.entries {
            match entry.kind {
                EntryKind::Snapshot => {
                    self.upkeep.snapshot(entry.shard, in_flight.first_sent, at, entry.len);
                }
                EntryKind::Change => self.upkeep.change(entry.shard, entry.len),
            }
            self.held_bytes -= entry.len + ENTRY_OVERHEAD;
            answered.durable.push(entry.ticket);
        }
        answered
    }

    /// Doubles with each failure, and lies at random in the upper half, so that 17 writers don't
    /// return to a recovering log at the same moment.
    fn backoff(&mut self, failures: u32) -> Duration {
        let full = self.options.backoff * 2_u32.saturating_pow(failures.min(16));
        let full = full.min(self.options.backoff_max);
        full / 2 + (full / 2).mul_f64(self.rng.random::<f64>())
    }
}
