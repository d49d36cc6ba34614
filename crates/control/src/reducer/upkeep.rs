//! Keeping the control stream short and alive: snapshots, and the removal of the long gone.

use {
    crate::{
        fold::ControlFold,
        gossip::Gossip,
        record::{NodeInfo, Role},
        reducer::suspicion::Suspicion,
        state::ControlState,
    },
    egretlb_types::{NodeId, Time},
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

#[derive(Clone, Debug)]
pub(crate) struct StreamUpkeep {
    retention: Duration,
    snapshot_at: Option<Time>,
    due_since: Option<Time>,
    gone_since: Option<Time>,
}

impl StreamUpkeep {
    pub(crate) fn new(retention: Duration) -> Self {
        StreamUpkeep { retention, snapshot_at: None, due_since: None, gone_since: None }
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
