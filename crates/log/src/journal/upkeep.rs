//! When a shard's snapshot must be written again.
//!
//! Without it a shard that changes seldom loses its snapshot to the log's retention, and a busy
//! one makes its successor read a journal without bound. One would notice only at the next
//! succession, when it is too late.

use {
    egretlb_types::{NodeId, Offset, ShardId, Time, rendezvous_score},
    std::{collections::BTreeMap, time::Duration},
};

/// A shard is asked for its snapshot again if none came this long after it was asked.
const ASK_AGAIN: Duration = Duration::from_secs(10);

/// At most this many shards are asked for at one time: a snapshot is larger than a change, and
/// all shards of a node that were taken over together would fall due together.
const ASKED_AT_ONCE: usize = 2;

/// A journal is at least this long before its length alone asks for a snapshot, in bytes.
const LENGTH_FLOOR: u64 = 256 * 1024;

/// The journal since the snapshot may be this many times as long as the snapshot: the work of
/// writing snapshots is then at most this fraction of all that is written.
const LENGTH_FACTOR: u64 = 4;

/// The whole journal may grow by this much over a snapshot, whichever shards it is about, in
/// bytes: a successor reads from the oldest snapshot on. At 250 starts a second over 17 owners it
/// is some 15 minutes of journal.
const JOURNAL_MAX: u64 = 4 * 1024 * 1024;

#[derive(Clone, Debug)]
struct ShardUpkeep {
    snapshot_at: Offset,
    written_before: u64,
    snapshot_sent: Time,
    snapshot_len: u64,
    changes_len: u64,
    asked: Option<Time>,
}

/// Follows what is durable of each shard in this node's journal.
#[derive(Clone, Debug)]
pub(crate) struct Upkeep {
    node: NodeId,
    retention: Duration,
    written: u64,
    shards: BTreeMap<ShardId, ShardUpkeep>,
}

impl Upkeep {
    pub(crate) fn new(node: NodeId, retention: Duration) -> Self {
        Upkeep { node, retention, written: 0, shards: BTreeMap::new() }
    }

    /// A record is durable.
    pub(crate) fn wrote(&mut self, len: usize) {
        self.written += len as u64;
    }

    /// A snapshot first sent at `sent` is durable in the record at `at`. The log counts retention
    /// from the append, which wasn't earlier.
    pub(crate) fn snapshot(&mut self, shard: ShardId, sent: Time, at: Offset, len: usize) {
        let fresh = ShardUpkeep {
            snapshot_at: at,
            written_before: self.written,
            snapshot_sent: sent,
            snapshot_len: len as u64,
            changes_len: 0,
            asked: None,
        };
        self.shards.insert(shard, fresh);
    }

    pub(crate) fn change(&mut self, shard: ShardId, len: usize) {
        if let Some(upkeep) = self.shards.get_mut(&shard) {
            upkeep.changes_len += len as u64;
        }
    }

    /// The oldest record that a successor needs.
    pub(crate) fn live_from(&self) -> Option<Offset> {
        self.shards.values().map(|upkeep| upkeep.snapshot_at).min()
    }

    pub(crate) fn forget(&mut self, shard: ShardId) {
        self.shards.remove(&shard);
    }

    /// A quarter of the retention, less up to a quarter of that by shard, so that shards taken
    /// over together don't fall due together. Three quarters are left for an outage of the log.
    fn due_after(&self, shard: ShardId) -> Duration {
        let full = self.retention / 4;
        let spread = (rendezvous_score(shard, self.node) % 1024) as u32;
        full - (full / 4) * spread / 1024
    }

    fn is_due(&self, now: Time, shard: ShardId, upkeep: &ShardUpkeep) -> bool {
        let length_limit = LENGTH_FLOOR.max(upkeep.snapshot_len * LENGTH_FACTOR);
        now.since(upkeep.snapshot_sent) >= self.due_after(shard)
            || upkeep.changes_len > length_limit
            || self.written - upkeep.written_before > JOURNAL_MAX
    }

    /// The shards whose snapshot should be pushed now; each is named once until it is asked again.
    pub(crate) fn due(&mut self, now: Time) -> Vec<ShardId> {
        let outstanding = |u: &ShardUpkeep| u.asked.is_some_and(|at| now.since(at) < ASK_AGAIN);
        let asked = self.shards.values().filter(|u| outstanding(u)).count();
        let mut due: Vec<(Option<Time>, ShardId)> = self
            .shards
            .iter()
            .filter(|(shard, u)| !outstanding(u) && self.is_due(now, **shard, u))
            .map(|(shard, u)| (u.asked, *shard))
            .collect();
        // One that was asked for in vain must not keep the others from their turn.
        due.sort();
        let due: Vec<ShardId> =
            due.into_iter().map(|(_, s)| s).take(ASKED_AT_ONCE.saturating_sub(asked)).collect();
        for shard in &due {
            if let Some(upkeep) = self.shards.get_mut(shard) {
                upkeep.asked = Some(now);
            }
        }
        due
    }
}
