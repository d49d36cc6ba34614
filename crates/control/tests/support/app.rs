//! A minimal shard state: a list of numbers that grows by journalled changes.

use {
    egretlb_log::{EntryKind, JournalEntry, JournalReader},
    egretlb_types::{Epoch, ShardId, Ticket},
    std::collections::BTreeMap,
};

#[derive(Clone, Debug)]
pub struct AppShard {
    pub epoch: Epoch,
    pub entries: Vec<u64>,
    pub active: bool,
}

pub struct Recovery {
    pub shard: ShardId,
    pub epoch: Epoch,
    pub from: Epoch,
    pub reader: JournalReader,
}

/// What to do once a journal entry is durable.
#[derive(Clone, Copy, Debug)]
pub enum Waiter {
    Snapshot { shard: ShardId, epoch: Epoch },
    Change { shard: ShardId, epoch: Epoch, id: u64 },
    Refresh,
}

#[derive(Default)]
pub struct App {
    pub shards: BTreeMap<ShardId, AppShard>,
    pub recoveries: BTreeMap<u64, Recovery>,
    pub waiters: BTreeMap<Ticket, Waiter>,
    pub next: u64,
}

impl App {
    pub fn ticket(&mut self, waiter: Waiter) -> Ticket {
        self.next += 1;
        self.waiters.insert(Ticket(self.next), waiter);
        Ticket(self.next)
    }
}

pub fn snapshot_entry(shard: ShardId, epoch: Epoch, entries: &[u64]) -> JournalEntry {
    let body = entries.iter().flat_map(|id| id.to_le_bytes()).collect();
    JournalEntry { shard, epoch, kind: EntryKind::Snapshot, body }
}

pub fn change_entry(shard: ShardId, epoch: Epoch, id: u64) -> JournalEntry {
    JournalEntry { shard, epoch, kind: EntryKind::Change, body: id.to_le_bytes().to_vec() }
}

pub fn decode(body: &[u8]) -> Vec<u64> {
    body.chunks_exact(8).map(|c| u64::from_le_bytes(c.try_into().unwrap())).collect()
}
