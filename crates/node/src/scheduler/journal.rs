//! This node's journal: the entries of all its books, and who waits for each.

use {
    super::{Out, SchedulerEffect, tables::ShardSnapshot},
    crate::node::Notice,
    egretlb_log::{
        AppendOutcome, EntryKind, JournalEntry, JournalWriter, PushError, WriterOptions,
    },
    egretlb_types::{Epoch, NodeId, Offset, Seq, ShardId, Ticket, Time},
    std::collections::{BTreeMap, VecDeque},
};

/// Which book an entry is of, with the book's own ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TableTicket {
    Jobs(Ticket),
    Keys(Ticket),
}

/// An encoded entry of a book.
#[derive(Debug)]
pub(super) struct TableEntry {
    pub(super) shard: ShardId,
    pub(super) ticket: TableTicket,
    pub(super) body: Vec<u8>,
}

/// What a durable entry was written for.
#[derive(Clone, Copy, Debug)]
pub(super) enum Origin {
    /// The first snapshot of an epoch.
    Takeover { shard: ShardId, epoch: Epoch },
    /// A snapshot that keeps a shard alive past the log's retention.
    Refresh,
    /// A book's change.
    Table(TableTicket),
}

pub(super) struct Journal {
    writer: JournalWriter,
    owned: BTreeMap<ShardId, Epoch>,
    origins: BTreeMap<Ticket, Origin>,
    /// Entries that the writer has no room for, in order. A book has applied them already, so
    /// they can't be refused; what comes from outside is refused long before.
    waiting: VecDeque<(JournalEntry, Ticket)>,
    next: Ticket,
}

impl Journal {
    pub(super) fn new(node: NodeId, seed: u64) -> Self {
        Journal {
            writer: JournalWriter::new(WriterOptions::new(node, seed)),
            owned: BTreeMap::new(),
            origins: BTreeMap::new(),
            waiting: VecDeque::new(),
            next: Ticket(0),
        }
    }

    /// Whether appends succeed at present and entries find room.
    pub(super) fn is_up(&self) -> bool {
        self.writer.failures() == 0 && self.waiting.is_empty()
    }

    pub(super) fn held_bytes(&self) -> usize {
        self.writer.held_bytes()
    }

    pub(super) fn failures(&self) -> u32 {
        self.writer.failures()
    }

    pub(super) fn own(&mut self, shard: ShardId, epoch: Epoch) {
        self.owned.insert(shard, epoch);
    }

    pub(super) fn lose(&mut self, shard: ShardId) {
        self.owned.remove(&shard);
        self.writer.forget(shard);
    }

    /// The oldest record of the journal that a successor needs.
    pub(super) fn live_from(&self) -> Option<Offset> {
        self.writer.live_from()
    }

    pub(super) fn snapshots_due(&mut self, now: Time) -> Vec<ShardId> {
        let mut due = self.writer.snapshots_due(now);
        due.retain(|shard| self.owned.contains_key(shard));
        due
    }

    /// Begins the shard's journal under a new epoch.
    pub(super) fn begin(
        &mut self,
        shard: ShardId,
        epoch: Epoch,
        snapshot: &ShardSnapshot,
        out: &mut Out,
    ) {
        let body = snapshot.encode();
        let entry = JournalEntry { shard, epoch, kind: EntryKind::Snapshot, body };
        self.add(entry, Origin::Takeover { shard, epoch }, out);
    }

    /// Writes an owned shard's snapshot again.
    pub(super) fn refresh(&mut self, shard: ShardId, snapshot: &ShardSnapshot, out: &mut Out) {
        let Some(epoch) = self.owned.get(&shard).copied() else { return };
        let body = snapshot.encode();
        let entry = JournalEntry { shard, epoch, kind: EntryKind::Snapshot, body };
        self.add(entry, Origin::Refresh, out);
    }

    /// Writes a book's entry; one of a shard that was lost meanwhile is of no use.
    pub(super) fn push(&mut self, entry: TableEntry, out: &mut Out) {
        let TableEntry { shard, ticket, body } = entry;
        let Some(epoch) = self.owned.get(&shard).copied() else { return };
        let entry = JournalEntry { shard, epoch, kind: EntryKind::Change, body };
        self.add(entry, Origin::Table(ticket), out);
    }

    fn add(&mut self, entry: JournalEntry, origin: Origin, out: &mut Out) {
        self.next = self.next.next();
        self.origins.insert(self.next, origin);
        if self.waiting.is_empty() {
            out.notice_if_full(&self.try_push(entry, self.next));
        } else {
            self.waiting.push_back((entry, self.next));
        }
    }

    fn try_push(&mut self, entry: JournalEntry, ticket: Ticket) -> Result<(), PushError> {
        let kept = entry.clone();
        let pushed = self.writer.push(entry, ticket);
        if pushed.is_err() {
            self.waiting.push_front((kept, ticket));
        }
        pushed
    }

    /// Emits the append to be made now, if there is one.
    pub(super) fn poll(&mut self, now: Time, out: &mut Out) {
        while let Some((entry, ticket)) = self.waiting.pop_front() {
            if self.try_push(entry, ticket).is_err() {
                break;
            }
        }
        if let Some(append) = self.writer.poll(now) {
            out.own.push(SchedulerEffect::AppendJournal { seq: append.seq, bytes: append.bytes });
        }
    }

    /// What is durable by the log's answer.
    pub(super) fn answered(&mut self, now: Time, seq: Seq, outcome: AppendOutcome) -> Vec<Origin> {
        let answered = self.writer.answered(now, seq, outcome);
        answered.durable.iter().filter_map(|ticket| self.origins.remove(ticket)).collect()
    }
}

impl Out {
    fn notice_if_full(&mut self, pushed: &Result<(), PushError>) {
        if pushed.is_err() {
            self.notice(Notice::JournalFull);
        }
    }
}
