//! Simulated schedulers: the owners of rack and key shards, their authority, and the log of their
//! journals.

use {
    egretlb_requests::{
        KeyTable, Protections, ShareTable,
        keys::{KeyJournalEntry, KeySnapshot},
    },
    egretlb_types::{Authority, Epoch, NodeId, ShardId, Ticket, Time},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How long authority lasts after a read of the control stream was sent.
pub const AUTHORITY: Duration = Duration::from_secs(3);

/// Shards that a scheduler owns according to the control stream.
#[derive(Clone, Debug, Default)]
pub struct Held {
    pub shards: BTreeMap<ShardId, Epoch>,
    pub until: Time,
}

impl Authority for Held {
    fn epoch_if_held(&self, now: Time, shard: ShardId) -> Option<Epoch> {
        if now >= self.until {
            return None;
        }
        self.shards.get(&shard).copied()
    }
}

#[derive(Debug)]
pub struct Scheduler {
    pub node: NodeId,
    pub shares: ShareTable,
    pub keys: KeyTable,
    pub held: Held,
    pub alive: bool,
    pub paused_until: Time,
}

impl Scheduler {
    pub fn new(node: NodeId, protections: Protections) -> Self {
        Scheduler {
            node,
            shares: ShareTable::with_protections(protections),
            keys: KeyTable::with_protections(protections),
            held: Held::default(),
            alive: true,
            paused_until: Time::ZERO,
        }
    }
}

/// An append that isn't confirmed yet.
#[derive(Clone, Debug)]
pub struct Append {
    pub scheduler: usize,
    pub shard: ShardId,
    pub epoch: Epoch,
    pub entry: KeyJournalEntry,
    pub ticket: Ticket,
}

/// The platform's log; an append is stored once per scheduler and ticket.
#[derive(Debug, Default)]
pub struct Log {
    pub down_until: Time,
    /// Number of next answers that are lost.
    pub answers_to_lose: u32,
    appended: BTreeSet<(usize, Ticket)>,
    entries: BTreeMap<ShardId, Vec<(Epoch, KeyJournalEntry)>>,
    snapshots: BTreeMap<ShardId, (Epoch, KeySnapshot)>,
}

impl Log {
    pub fn is_up(&self, now: Time) -> bool {
        now >= self.down_until
    }

    /// Appends an entry; a repeated append has no effect.
    pub fn append(&mut self, append: &Append) {
        let fenced = self.snapshots.get(&append.shard).is_some_and(|(e, _)| *e > append.epoch);
        if !fenced && self.appended.insert((append.scheduler, append.ticket)) {
            let entries = self.entries.entry(append.shard).or_default();
            entries.push((append.epoch, append.entry.clone()));
        }
    }

    /// Returns what a new owner restores and replays.
    pub fn read(&self, shard: ShardId) -> (Option<KeySnapshot>, Vec<KeyJournalEntry>) {
        let snapshot = self.snapshots.get(&shard).map(|(_, snapshot)| snapshot.clone());
        let entries = self.entries.get(&shard).into_iter().flatten();
        (snapshot, entries.map(|(_, entry)| entry.clone()).collect())
    }

    /// Stores a new owner's snapshot, which replaces all earlier entries.
    pub fn snapshot(&mut self, shard: ShardId, epoch: Epoch, snapshot: KeySnapshot) {
        self.snapshots.insert(shard, (epoch, snapshot));
        self.entries.remove(&shard);
    }
}
