//! Schedulers as far as the request path needs them: the owners of rack shards and key shards,
//! their authority, and the log that keeps their journals.

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

/// What a process may do, by its own reading of the control stream.
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
    pub book: ShareTable,
    pub keys: KeyTable,
    pub held: Held,
    pub alive: bool,
    pub paused_until: Time,
}

impl Scheduler {
    pub fn new(node: NodeId, protections: Protections) -> Self {
        Scheduler {
            node,
            book: ShareTable::with_protections(protections),
            keys: KeyTable::with_protections(protections),
            held: Held::default(),
            alive: true,
            paused_until: Time::ZERO,
        }
    }
}

/// An append on its way.
#[derive(Clone, Debug)]
pub struct Append {
    pub scheduler: usize,
    pub shard: ShardId,
    pub epoch: Epoch,
    pub entry: KeyJournalEntry,
    pub ticket: Ticket,
}

/// The platform's log: what was appended, in order, once for each writer and ticket.
#[derive(Debug, Default)]
pub struct Log {
    pub down_until: Time,
    pub lose_answers: u32,
    seen: BTreeSet<(usize, Ticket)>,
    entries: BTreeMap<ShardId, Vec<(Epoch, KeyJournalEntry)>>,
    snapshots: BTreeMap<ShardId, (Epoch, KeySnapshot)>,
}

impl Log {
    pub fn is_up(&self, now: Time) -> bool {
        now >= self.down_until
    }

    /// Appends; a second append of the same record changes nothing.
    pub fn append(&mut self, append: &Append) {
        let fenced = self.snapshots.get(&append.shard).is_some_and(|(e, _)| *e > append.epoch);
        if !fenced && self.seen.insert((append.scheduler, append.ticket)) {
            let entries = self.entries.entry(append.shard).or_default();
            entries.push((append.epoch, append.entry.clone()));
        }
    }

    /// What a successor folds before it owns the shard.
    pub fn read(&self, shard: ShardId) -> (Option<KeySnapshot>, Vec<KeyJournalEntry>) {
        let snapshot = self.snapshots.get(&shard).map(|(_, snapshot)| snapshot.clone());
        let entries = self.entries.get(&shard).into_iter().flatten();
        (snapshot, entries.map(|(_, entry)| entry.clone()).collect())
    }

    /// The successor's first record: what came before it is void.
    pub fn snapshot(&mut self, shard: ShardId, epoch: Epoch, snapshot: KeySnapshot) {
        self.snapshots.insert(shard, (epoch, snapshot));
        self.entries.remove(&shard);
    }
}
