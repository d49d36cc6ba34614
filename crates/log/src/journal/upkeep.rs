//! Schedules the snapshots of the shards in a node's journal.
//!
//! A snapshot is renewed before the log's retention expires it, and after enough changes that a
//! successor reads a bounded journal.

use {
    egretlb_types::{NodeId, Offset, ShardId, Time, rendezvous_score},
    std::{collections::BTreeMap, time::Duration},
};

/// How long to wait for a requested snapshot before it is requested again.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of outstanding snapshot requests; staggers shards that were taken over together.
const MAX_OUTSTANDING_REQUESTS: usize = 2;

/// Bytes of changes below which their size doesn't make a snapshot due.
const MIN_CHANGES_BYTES: u64 = 256 * 1024;

/// Maximum ratio of changes to snapshot size; bounds the share of snapshots in the journal.
const MAX_CHANGES_RATIO: u64 = 4;

/// Maximum number of bytes that a node appends after a snapshot, for all its shards: a successor
/// reads from the oldest snapshot on.
const MAX_JOURNAL_GROWTH_BYTES: u64 = 4 * 1024 * 1024;

#[derive(Clone, Debug)]
struct ShardSnapshot {
    snapshot_offset: Offset,
    journal_bytes_before: u64,
    snapshot_sent: Time,
    snapshot_len: u64,
    changes_len: u64,
    requested_at: Option<Time>,
}

/// Tracks the latest durable snapshot of each shard and the changes after it.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotSchedule {
    node: NodeId,
    retention: Duration,
    journal_bytes: u64,
    shards: BTreeMap<ShardId, ShardSnapshot>,
}

impl SnapshotSchedule {
    pub(crate) fn new(node: NodeId, retention: Duration) -> Self {
        SnapshotSchedule { node, retention, journal_bytes: 0, shards: BTreeMap::new() }
    }

    /// Counts a durable record of `len` bytes.
    pub(crate) fn record_durable(&mut self, len: usize) {
        self.journal_bytes += len as u64;
    }

    /// Records a durable snapshot that was first sent at `sent`, the earliest time from which
    /// the log may count its retention.
    pub(crate) fn snapshot_durable(
        &mut self,
        shard: ShardId,
        sent: Time,
        offset: Offset,
        len: usize,
    ) {
        let snapshot = ShardSnapshot {
            snapshot_offset: offset,
            journal_bytes_before: self.journal_bytes,
            snapshot_sent: sent,
            snapshot_len: len as u64,
            changes_len: 0,
            requested_at: None,
        };
        self.shards.insert(shard, snapshot);
    }

    pub(crate) fn change_durable(&mut self, shard: ShardId, len: usize) {
        if let Some(snapshot) = self.shards.get_mut(&shard) {
            snapshot.changes_len += len as u64;
        }
    }

    /// The offset of the oldest record that a successor needs.
    pub(crate) fn live_from(&self) -> Option<Offset> {
        self.shards.values().map(|snapshot| snapshot.snapshot_offset).min()
    }

    pub(crate) fn forget(&mut self, shard: ShardId) {
        self.shards.remove(&shard);
    }

    /// A quarter of the retention, less up to a quarter of that, which spreads the shards over
    /// time. The rest of the retention allows for an outage of the log.
    fn max_age(&self, shard: ShardId) -> Duration {
        let quarter = self.retention / 4;
        let spread = (rendezvous_score(shard, self.node) % 1024) as u32;
        quarter - (quarter / 4) * spread / 1024
    }

    fn is_due(&self, now: Time, shard: ShardId, snapshot: &ShardSnapshot) -> bool {
        let max_changes_len = MIN_CHANGES_BYTES.max(snapshot.snapshot_len * MAX_CHANGES_RATIO);
        now.since(snapshot.snapshot_sent) >= self.max_age(shard)
            || snapshot.changes_len > max_changes_len
            || self.journal_bytes - snapshot.journal_bytes_before > MAX_JOURNAL_GROWTH_BYTES
    }

    /// Returns the shards whose snapshot should be pushed now, and marks them as requested.
    pub(crate) fn due(&mut self, now: Time) -> Vec<ShardId> {
        let outstanding =
            |s: &ShardSnapshot| s.requested_at.is_some_and(|at| now.since(at) < REQUEST_TIMEOUT);
        let outstanding_count = self.shards.values().filter(|s| outstanding(s)).count();
        let mut due: Vec<(Option<Time>, ShardId)> = self
            .shards
            .iter()
            .filter(|(shard, s)| !outstanding(s) && self.is_due(now, **shard, s))
            .map(|(shard, s)| (s.requested_at, *shard))
            .collect();
        // Shards not yet requested come first, so that retries don't starve them.
        due.sort();
        let due: Vec<ShardId> = due
            .into_iter()
            .map(|(_, shard)| shard)
            .take(MAX_OUTSTANDING_REQUESTS.saturating_sub(outstanding_count))
            .collect();
        for shard in &due {
            if let Some(snapshot) = self.shards.get_mut(shard) {
                snapshot.requested_at = Some(now);
            }
        }
        due
    }
}
