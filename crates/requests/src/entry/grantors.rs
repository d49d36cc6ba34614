//! The grantors of shares, one for each rack shard, as one entry sees them.

use {
    super::servers::ServerIx,
    crate::limits::SHARE_LEASE,
    egretlb_types::{Epoch, NodeId, ShardId, Time},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How often shares are asked for while nothing changes. Three asks may be lost before a lease
/// lapses.
const ASK_PERIOD: Duration = Duration::from_secs(3);

/// After so long an ask counts as lost.
const ASK_LOST: Duration = Duration::from_millis(500);

/// The least time between two asks because of demand; doubled while asking brings nothing, so that
/// a long overload costs few messages.
const DEMAND_GAP: Duration = Duration::from_millis(50);

/// The longest time between two asks because of demand.
const DEMAND_GAP_MAX: Duration = Duration::from_secs(2);

/// Demand has grown when it is by one in so many above what was last said.
const GROWTH_ONE_IN: usize = 4;

/// The need for shares as it is now.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    /// Whether more shares would help.
    pub(super) short: bool,
    /// Requests open and waiting.
    pub(super) need: usize,
}

/// One grantor.
#[derive(Clone, Debug, Default)]
pub(super) struct Grantor {
    pub(super) owner: Option<(NodeId, Epoch)>,
    pub(super) seq: u64,
    /// When the last ask was sent.
    pub(super) asked_at: Option<Time>,
    /// Whether its answer is still to come.
    pub(super) waiting: bool,
    /// When the shares held lapse.
    pub(super) lapses: Time,
    pub(super) known_version: u64,
    pub(super) servers: BTreeSet<ServerIx>,
    pub(super) granted: u32,
    /// What was needed in all when the last ask was sent.
    pub(super) asked_need: usize,
    /// Ask as soon as the gap allows.
    pub(super) hurry: bool,
    gap: Duration,
}

impl Grantor {
    /// Whether it is time to ask.
    pub(super) fn is_due(&self, now: Time, demand: Demand) -> bool {
        if self.owner.is_none() {
            return false;
        }
        let Some(asked_at) = self.asked_at else { return true };
        let age = now.since(asked_at);
        if self.waiting {
            return age >= ASK_LOST;
        }
        // What the grantor was told is out of date; otherwise asking again only repeats it.
        let grown = demand.need > self.asked_need + self.asked_need / GROWTH_ONE_IN;
        let gap = if grown { DEMAND_GAP } else { self.gap.max(DEMAND_GAP) };
        age >= ASK_PERIOD || self.hurry || (demand.short && age >= gap)
    }

    /// Takes down what an answer brought, `granted` in all.
    pub(super) fn answered(&mut self, granted: u32) {
        self.waiting = false;
        let gained = granted > self.granted;
        self.granted = granted;
        self.gap =
            if gained { DEMAND_GAP } else { (self.gap * 2).clamp(DEMAND_GAP, DEMAND_GAP_MAX) };
    }

    /// The end of a lease that was asked for at `asked_at`, whatever length the grantor names:
    /// never longer than what successors wait out.
    pub(super) fn lease_end(asked_at: Time, lease: Duration) -> Time {
        asked_at + lease.min(SHARE_LEASE)
    }
}

/// All grantors.
#[derive(Debug, Default)]
pub(super) struct Grantors {
    shards: BTreeMap<ShardId, Grantor>,
}

impl Grantors {
    pub(super) fn get(&self, shard: ShardId) -> Option<&Grantor> {
        self.shards.get(&shard)
    }

    pub(super) fn get_mut(&mut self, shard: ShardId) -> Option<&mut Grantor> {
        self.shards.get_mut(&shard)
    }

    pub(super) fn find_or_add(&mut self, shard: ShardId) -> &mut Grantor {
        self.shards.entry(shard).or_default()
    }

    /// The shards whose grantors are to be asked now.
    pub(super) fn due(&self, now: Time, demand: Demand) -> Vec<ShardId> {
        let due = self.shards.iter().filter(|(_, grantor)| grantor.is_due(now, demand));
        due.map(|(shard, _)| *shard).collect()
    }

    pub(super) fn shards(&self) -> Vec<ShardId> {
        self.shards.keys().copied().collect()
    }
}
