//! This node's journal: the entries of all its tables, and what follows when each is durable.

use {
    super::{Out, SchedulerEffect, tables::ShardSnapshot},
    crate::node::Notice,
    egretlb_log::{
        AppendOutcome, EntryKind, JournalEntry, JournalWriter, PushError, WriterOptions,
    },
    egretlb_types::{Epoch, NodeId, Offset, Seq, ShardId, Ticket, Time},
    std::collections::{BTreeMap, VecDeque},
};

/// The table of an entry, and the table's own ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TableTicket {
    Jobs(Ticket),
    Keys(Ticket),
}

/// An encoded entry of a table.
#[derive(Debug)]
pub(super) struct TableEntry {
    pub(super) shard: ShardId,
    pub(super) ticket: TableTicket,
    pub(super) body: Vec<u8>,
}

/// Why an entry was written.
#[derive(Clone, Copy, Debug)]
pub(super) enum Origin {
    /// The first snapshot of an epoch.
    Takeover { shard: ShardId, epoch: Epoch },
    /// A repeated snapshot, written before the shard's records expire.
    Refresh,
    /// A change in a table.
    Table(TableTicket),
}

pub(super) struct Journal {
    writer: JournalWriter,
    owned: BTreeMap<ShardId, Epoch>,
    origins: BTreeMap<Ticket, Origin>,
    /// Entries beyond the writer's capacity, in order. They can't be refused, because a table has
    /// applied them already; new work is refused long before.
    overflow: VecDeque<(JournalEntry, Ticket)>,
    last_ticket: Ticket,
}

impl Journal {
    pub(super) fn new(node: NodeId, seed: u64) -> Self {
        Journal {
            writer: JournalWriter::new(WriterOptions::new(node, seed)),
            owned: BTreeMap::new(),
            origins: BTreeMap::new(),
            overflow: VecDeque::new(),
            last_ticket: Ticket(0),
        }
    }

    /// Whether appends succeed and the writer has free capacity.
    pub(super) fn is_up(&self) -> bool {
        self.writer.failures() == 0 && self.overflow.is_empty()
    }

    pub(super) fn held_bytes(&self) -> usize {
        self.writer.held_bytes()
    }

    pub(super) fn failures(&self) -> u32 {
        self.writer.failures()
    }

    pub(super) fn add_shard(&mut self, shard: ShardId, epoch: Epoch) {
        self.owned.insert(shard, epoch);
    }

    pub(super) fn remove_shard(&mut self, shard: ShardId) {
        self.owned.remove(&shard);
        self.writer.forget(shard);
    }

    /// The oldest record that a successor needs.
    pub(super) fn live_from(&self) -> Option<Offset> {
        self.writer.live_from()
    }

    pub(super) fn snapshots_due(&mut self, now: Time) -> Vec<ShardId> {
        let mut due = self.writer.snapshots_due(now);
        due.retain(|shard| self.owned.contains_key(shard));
        due
    }

    /// Writes the shard's first snapshot under a new epoch.
    pub(super) fn start_epoch(
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

    /// Writes a table's entry; drops it if the shard was lost meanwhile.
    pub(super) fn push(&mut self, entry: TableEntry, out: &mut Out) {
        let TableEntry { shard, ticket, body } = entry;
        let Some(epoch) = self.owned.get(&shard).copied() else { return };
        let entry = JournalEntry { shard, epoch, kind: EntryKind::Change, body };
        self.add(entry, Origin::Table(ticket), out);
    }

    fn add(&mut self, entry: JournalEntry, origin: Origin, out: &mut Out) {
        self.last_ticket = self.last_ticket.next();
        self.origins.insert(self.last_ticket, origin);
        if self.overflow.is_empty() {
            out.notice_if_full(&self.try_push(entry, self.last_ticket));
        } else {
            self.overflow.push_back((entry, self.last_ticket));
        }
    }

    fn try_push(&mut self, entry: JournalEntry, ticket: Ticket) -> Result<(), PushError> {
        let copy = entry.clone();
        let pushed = self.writer.push(entry, ticket);
        if pushed.is_err() {
            self.overflow.push_front((copy, ticket));
        }
        pushed
    }

    /// Emits the next append if one is due.
    pub(super) fn poll(&mut self, now: Time, out: &mut Out) {
        while let Some((entry, ticket)) = self.overflow.pop_front() {
            if self.try_push(entry, ticket).is_err() {
                break;
            }
        }
        if let Some(append) = self.writer.poll(now) {
            out.scheduler_effects
                .push(SchedulerEffect::AppendJournal { seq: append.seq, bytes: append.bytes });
        }
    }

    /// Handles the log's answer; returns the origins of the entries that are now durable.
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
