//! Maintenance of the control stream: snapshots, low-water marks and the removal of failed
//! processes.

use {
    crate::{
        fold::ControlFold,
        gossip::Gossip,
        record::{NodeInfo, Role},
        reducer::suspicion::FailureDetector,
        state::{ControlState, ShardState},
    },
    egretlb_types::{NodeId, Offset, ShardId, Time},
    std::time::Duration,
};

/// A snapshot is due after this many records; bounds what a new process reads.
const SNAPSHOT_AFTER_RECORDS: u64 = 2_000;

/// Schedulers write what is due in turn, each this long after the one before.
const TURN_LENGTH: Duration = Duration::from_secs(10);

/// A scheduler that is unresponsive for this long is removed. Its shards were taken over long
/// before.
const SCHEDULER_GONE_AFTER: Duration = Duration::from_secs(60);

/// An entry that is unresponsive for this long is removed. Entries' contacts aren't gossiped, so
/// a scheduler has contact with an entry only when it receives a heartbeat from it directly.
const ENTRY_GONE_AFTER: Duration = Duration::from_secs(600);

/// Time between two low-water marks of a process's own journal.
const LOW_WATER_MARK_INTERVAL: Duration = Duration::from_secs(60);

/// Minimum number of records by which a new low-water mark advances.
const MIN_LOW_WATER_MARK_ADVANCE: u64 = 256;

#[derive(Clone, Debug)]
pub(crate) struct StreamMaintenance {
    low_water_mark: Option<Offset>,
    next_mark_at: Time,
    retention: Duration,
    snapshot_at: Option<Time>,
    due_since: Option<Time>,
    gone_since: Option<Time>,
}

impl StreamMaintenance {
    pub(crate) fn new(retention: Duration) -> Self {
        StreamMaintenance {
            low_water_mark: None,
            next_mark_at: Time::ZERO,
            retention,
            snapshot_at: None,
            due_since: None,
            gone_since: None,
        }
    }

    /// A snapshot was read, or this process started reading.
    pub(crate) fn snapshot_read(&mut self, now: Time) {
        self.snapshot_at = Some(now);
    }

    /// Whether this process should write a snapshot now. It is due after a quarter of the
    /// retention, which leaves time for an outage of the log.
    pub(crate) fn snapshot_due(
        &mut self,
        now: Time,
        me: NodeId,
        fold: &ControlFold,
        live: &[NodeId],
    ) -> bool {
        let age = now.since(*self.snapshot_at.get_or_insert(now));
        if fold.since_snapshot() < SNAPSHOT_AFTER_RECORDS && age < self.retention / 4 {
            self.due_since = None;
            return false;
        }
        let since = *self.due_since.get_or_insert(now);
        now >= since + turn_delay(me, live)
    }

    /// Sets the oldest offset of this process's journal that is still needed.
    pub(crate) fn set_low_water_mark(&mut self, from: Offset) {
        self.low_water_mark = Some(from);
    }

    /// The low-water mark to append now.
    ///
    /// The offset covers only owned shards. While a released shard isn't settled elsewhere, its
    /// successor may need older records, so no mark is made.
    pub(crate) fn due_low_water_mark(
        &mut self,
        now: Time,
        me: NodeId,
        state: &ControlState,
        owns: impl Fn(ShardId) -> bool,
    ) -> Option<Offset> {
        let mark = self.low_water_mark.filter(|_| now >= self.next_mark_at)?;
        if mark.0 < state.journal_start(me).0 + MIN_LOW_WATER_MARK_ADVANCE {
            return None;
        }
        let settled_by_me =
            |ownership: &ShardState| ownership.last_settled().is_some_and(|(node, _)| node == me);
        if state.shards().any(|(shard, ownership)| settled_by_me(ownership) && !owns(shard)) {
            return None;
        }
        self.next_mark_at = now + LOW_WATER_MARK_INTERVAL;
        Some(mark)
    }

    /// A process to remove now.
    pub(crate) fn due_prune(
        &mut self,
        now: Time,
        me: NodeId,
        state: &ControlState,
        gossip: &Gossip,
        detector: &FailureDetector,
    ) -> Option<NodeId> {
        let is_gone = |info: &&NodeInfo| {
            info.node != me && detector.is_gone_for(now, info, gossip, gone_after(info.role))
        };
        let Some(gone) = state.members().find(is_gone) else {
            self.gone_since = None;
            return None;
        };
        let since = *self.gone_since.get_or_insert(now);
        (now >= since + turn_delay(me, detector.live())).then_some(gone.node)
    }
}

fn gone_after(role: Role) -> Duration {
    match role {
        Role::Scheduler => SCHEDULER_GONE_AFTER,
        Role::Entry => ENTRY_GONE_AFTER,
    }
}

fn turn_delay(me: NodeId, live: &[NodeId]) -> Duration {
    let place = live.iter().filter(|node| **node < me).count();
    TURN_LENGTH * u32::try_from(place).unwrap_or(u32::MAX)
}
