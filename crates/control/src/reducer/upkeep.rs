//! Keeping the control stream short and alive: snapshots, and the removal of the long gone.

use {
    crate::{
        fold::ControlFold,
        gossip::Gossip,
        record::{NodeInfo, Role},
        reducer::suspicion::Suspicion,
        state::{ControlState, ShardState},
    },
    egretlb_types::{NodeId, Offset, ShardId, Time},
    std::time::Duration,
};

/// A snapshot is due after this many records, so that a new process reads no more than these.
const SNAPSHOT_AFTER_RECORDS: u64 = 2_000;

/// Each scheduler in turn has this long to write what is due before the next one does.
const TURN: Duration = Duration::from_secs(10);

/// A scheduler that is silent for this long is removed; its shards went to others long before.
const SCHEDULER_GONE_AFTER: Duration = Duration::from_secs(60);

/// An entry is heard directly only, by each scheduler every 17 s on average at 17 + 17 processes.
const ENTRY_GONE_AFTER: Duration = Duration::from_secs(600);

/// Time between two marks of a process's own journal.
const MARK_EVERY: Duration = Duration::from_secs(60);

/// A mark is worth a record if it saves a successor this many records.
const MARK_AHEAD: u64 = 256;

#[derive(Clone, Debug)]
pub(crate) struct StreamUpkeep {
    mark: Option<Offset>,
    mark_at: Time,
    retention: Duration,
    snapshot_at: Option<Time>,
    due_since: Option<Time>,
    gone_since: Option<Time>,
}

impl StreamUpkeep {
    pub(crate) fn new(retention: Duration) -> Self {
        StreamUpkeep {
            mark: None,
            mark_at: Time::ZERO,
            retention,
            snapshot_at: None,
            due_since: None,
            gone_since: None,
        }
    }

    /// A snapshot was read, or this process began to read.
    pub(crate) fn saw_snapshot(&mut self, now: Time) {
        self.snapshot_at = Some(now);
    }

    /// Whether this process should write a snapshot now. Due after a quarter of the retention:
    /// the rest is left for an outage of the log.
    pub(crate) fn wants_snapshot(
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
        now >= since + turn(me, live)
    }

    /// The journal's writer says from where on its journal is needed.
    pub(crate) fn journal_live(&mut self, from: Offset) {
        self.mark = Some(from);
    }

    /// The mark to append now.
    ///
    /// The writer knows only the shards that are owned. Of one that was given up and isn't settled
    /// elsewhere yet, the successor still needs what may lie before the mark: while there is one,
    /// none is made.
    pub(crate) fn due_mark(
        &mut self,
        now: Time,
        me: NodeId,
        state: &ControlState,
        owns: impl Fn(ShardId) -> bool,
    ) -> Option<Offset> {
        let mark = self.mark.filter(|_| now >= self.mark_at)?;
        if mark.0 < state.journal_start(me).0 + MARK_AHEAD {
            return None;
        }
        let mine = |of: &ShardState| of.last_settled().is_some_and(|(node, _)| node == me);
        if state.shards().any(|(shard, of)| mine(of) && !owns(shard)) {
            return None;
        }
        self.mark_at = now + MARK_EVERY;
        Some(mark)
    }

    /// A process to be removed now.
    pub(crate) fn due_prune(
        &mut self,
        now: Time,
        me: NodeId,
        state: &ControlState,
        gossip: &Gossip,
        suspicion: &Suspicion,
    ) -> Option<NodeId> {
        let gone = |info: &&NodeInfo| {
            info.node != me && suspicion.is_gone_for(now, info, gossip, gone_after(info.role))
        };
        let Some(gone) = state.members().find(gone) else {
            self.gone_since = None;
            return None;
        };
        let since = *self.gone_since.get_or_insert(now);
        (now >= since + turn(me, suspicion.live())).then_some(gone.node)
    }
}

fn gone_after(role: Role) -> Duration {
    match role {
        Role::Scheduler => SCHEDULER_GONE_AFTER,
        Role::Entry => ENTRY_GONE_AFTER,
    }
}

fn turn(me: NodeId, live: &[NodeId]) -> Duration {
    let place = live.iter().filter(|node| **node < me).count();
    TURN * u32::try_from(place).unwrap_or(u32::MAX)
}
