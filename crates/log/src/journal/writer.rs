//! Group commit: a reducer that batches entries into few appends.

use {
    crate::{
        journal::{
            batch::{EntryKind, JournalBatch, JournalEntry},
            upkeep::SnapshotSchedule,
        },
        service::AppendOutcome,
    },
    egretlb_types::{NodeId, Offset, Seq, ShardId, Ticket, Time},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    smallvec::SmallVec,
    std::{collections::VecDeque, fmt, time::Duration},
};

/// Maximum number of encoded bytes of an entry in addition to its body.
const MAX_ENTRY_OVERHEAD_BYTES: usize = 24;

/// Options of a [`JournalWriter`].
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
    /// The defaults for the journal of `node`; `seed` randomizes the retry delays.
    pub fn new(node: NodeId, seed: u64) -> Self {
        WriterOptions {
            node,
            seed,
            // 17 writers then make at most 170 appends a second.
            flush_interval: Duration::from_millis(100),
            batch_bytes: 256 * 1024,
            entry_bytes: 4 * 1024 * 1024,
            // Bounds the memory in use while the log is down.
            pending_bytes: 8 * 1024 * 1024,
            backoff: Duration::from_millis(200),
            backoff_max: Duration::from_secs(5),
            retention: Duration::from_secs(24 * 3600),
        }
    }

    /// Sets the minimum time between two appends.
    pub fn flush_interval(mut self, interval: Duration) -> Self {
        self.flush_interval = interval;
        self
    }

    /// Sets the maximum number of bytes in one append, unless a single entry is larger.
    pub fn batch_bytes(mut self, bytes: usize) -> Self {
        self.batch_bytes = bytes;
        self
    }

    /// Sets the maximum body size of an entry, in bytes.
    pub fn entry_bytes(mut self, bytes: usize) -> Self {
        self.entry_bytes = bytes;
        self
    }

    /// Sets the maximum number of bytes in queued and in-flight entries.
    pub fn pending_bytes(mut self, bytes: usize) -> Self {
        self.pending_bytes = bytes;
        self
    }

    /// Sets the minimum retention time of the log.
    pub fn retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }
}

/// Why an entry was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushError {
    /// The queue is delay.
    Full {
        /// Maximum number of queued and in-flight bytes.
        limit: usize,
    },
    /// The entry's body is too large.
    TooLarge {
        /// Maximum number of bytes in a body.
        limit: usize,
    },
}

impl fmt::Display for PushError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PushError::Full { limit } => write!(
                f,
                "more than {limit} bytes are queued for the log; refuse the work and retry when \
                 the log is available"
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
    /// The sequence number to pass to [`JournalWriter::answered`].
    pub seq: Seq,
    /// The record.
    pub bytes: Vec<u8>,
}

/// The result of an append's outcome.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answered {
    /// Tickets of the entries that became durable, in push order.
    pub durable: SmallVec<[Ticket; 8]>,
}

#[derive(Clone, Debug)]
struct QueuedEntry {
    entry: JournalEntry,
    ticket: Ticket,
}

#[derive(Clone, Debug)]
struct InFlightEntry {
    shard: ShardId,
    kind: EntryKind,
    len: usize,
    ticket: Ticket,
}

#[derive(Clone, Debug)]
struct InFlight {
    seq: Seq,
    bytes: Vec<u8>,
    entries: Vec<InFlightEntry>,
    first_sent: Time,
    failures: u32,
    /// When to retry; `None` while awaiting a response.
    retry_at: Option<Time>,
}

/// The writer of one node's journal.
///
/// An entry pushed while the writer is idle is appended immediately; under load, entries are
/// batched for the flush interval. At most one append is in flight, which preserves the order of
/// batches and limits the load on a log that recovers from an outage.
#[derive(Clone, Debug)]
pub struct JournalWriter {
    options: WriterOptions,
    rng: SmallRng,
    next_seq: Seq,
    queue: VecDeque<QueuedEntry>,
    held_bytes: usize,
    in_flight: Option<InFlight>,
    last_sent: Option<Time>,
    snapshots: SnapshotSchedule,
}

impl JournalWriter {
    /// Creates a writer for an empty journal.
    pub fn new(options: WriterOptions) -> Self {
        JournalWriter {
            rng: SmallRng::seed_from_u64(options.seed),
            snapshots: SnapshotSchedule::new(options.node, options.retention),
            next_seq: Seq(1),
            queue: VecDeque::new(),
            held_bytes: 0,
            in_flight: None,
            last_sent: None,
            options,
        }
    }

    /// Queues an entry. [`JournalWriter::answered`] returns its ticket once it is durable.
    ///
    /// # Errors
    ///
    /// The entry or the queue is too large; nothing was recorded.
    pub fn push(&mut self, entry: JournalEntry, ticket: Ticket) -> Result<(), PushError> {
        let len = entry.body.len();
        if len > self.options.entry_bytes {
            return Err(PushError::TooLarge { limit: self.options.entry_bytes });
        }
        if self.held_bytes + len + MAX_ENTRY_OVERHEAD_BYTES > self.options.pending_bytes {
            return Err(PushError::Full { limit: self.options.pending_bytes });
        }
        self.held_bytes += len + MAX_ENTRY_OVERHEAD_BYTES;
        self.queue.push_back(QueuedEntry { entry, ticket });
        Ok(())
    }

    /// Returns the append to make now, if any.
    pub fn poll(&mut self, now: Time) -> Option<JournalAppend> {
        if self.in_flight.is_some() {
            return self.poll_retry(now);
        }
        let within_interval = |sent: Time| now < sent + self.options.flush_interval;
        if self.queue.is_empty() || self.last_sent.is_some_and(within_interval) {
            return None;
        }
        let batch = self.take_batch(now);
        self.last_sent = Some(now);
        Some(batch)
    }

    /// When to call [`JournalWriter::poll`] next, unless an entry or a response arrives earlier.
    pub fn wake_at(&self) -> Option<Time> {
        match &self.in_flight {
            Some(in_flight) => in_flight.retry_at,
            None if self.queue.is_empty() => None,
            None => Some(self.last_sent.map_or(Time::ZERO, |t| t + self.options.flush_interval)),
        }
    }

    /// Handles the outcome of the append `seq`. The outcome of an earlier append is ignored.
    pub fn answered(&mut self, now: Time, seq: Seq, outcome: AppendOutcome) -> Answered {
        let Some(mut in_flight) = self.in_flight.take_if(|f| f.seq == seq) else {
            return Answered::default();
        };
        if let AppendOutcome::Appended(offset) = outcome {
            return self.complete(&in_flight, offset);
        }
        in_flight.retry_at = Some(now + self.backoff(in_flight.failures));
        in_flight.failures += 1;
        self.in_flight = Some(in_flight);
        Answered::default()
    }

    /// Shards that should push a snapshot now, a few at a time.
    pub fn snapshots_due(&mut self, now: Time) -> Vec<ShardId> {
        self.snapshots.due(now)
    }

    /// Stops requesting snapshots of a shard that this node no longer owns.
    pub fn forget(&mut self, shard: ShardId) {
        self.snapshots.forget(shard);
    }

    /// The oldest record that a successor needs: the oldest of the latest snapshots of this
    /// node's shards. `None` while it has no shard.
    pub fn live_from(&self) -> Option<Offset> {
        self.snapshots.live_from()
    }

    /// Number of failures of the append in flight.
    pub fn failures(&self) -> u32 {
        self.in_flight.as_ref().map_or(0, |f| f.failures)
    }

    /// Bytes of queued and in-flight entries.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    fn poll_retry(&mut self, now: Time) -> Option<JournalAppend> {
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
        let mut sent_entries = Vec::new();
        let mut len = 0;
        while let Some(pending) = self.queue.pop_front() {
            let entry_len = pending.entry.body.len() + MAX_ENTRY_OVERHEAD_BYTES;
            if !entries.is_empty() && len + entry_len > self.options.batch_bytes {
                self.queue.push_front(pending);
                break;
            }
            len += entry_len;
            sent_entries.push(InFlightEntry {
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
            entries: sent_entries,
            first_sent: now,
            failures: 0,
            retry_at: None,
        });
        JournalAppend { seq, bytes }
    }

    fn complete(&mut self, in_flight: &InFlight, offset: Offset) -> Answered {
        let mut answered = Answered::default();
        self.snapshots.record_durable(in_flight.bytes.len());
        for entry in &in_flight.entries {
            match entry.kind {
                EntryKind::Snapshot => {
                    self.snapshots.snapshot_durable(
                        entry.shard,
                        in_flight.first_sent,
                        offset,
                        entry.len,
                    );
                }
                EntryKind::Change => self.snapshots.change_durable(entry.shard, entry.len),
            }
            self.held_bytes -= entry.len + MAX_ENTRY_OVERHEAD_BYTES;
            answered.durable.push(entry.ticket);
        }
        answered
    }

    /// Exponential backoff with jitter in the upper half, so that writers don't retry at the same
    /// time.
    fn backoff(&mut self, failures: u32) -> Duration {
        let delay = self.options.backoff * 2_u32.saturating_pow(failures.min(16));
        let delay = delay.min(self.options.backoff_max);
        delay / 2 + (delay / 2).mul_f64(self.rng.random::<f64>())
    }
}
