//! An entry's state of the grantors of shares, one for each rack shard.

use {
    super::servers::ServerIx,
    crate::limits::SHARE_LEASE,
    egretlb_types::{Epoch, NodeId, ShardId, Time},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How often shares are requested while nothing changes. Three requests may be lost before a lease
/// expires.
const REQUEST_PERIOD: Duration = Duration::from_secs(3);

/// After this time an unanswered request counts as lost.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum time between two requests because of demand; doubled while requests gain no shares.
const MIN_DEMAND_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time between two requests because of demand.
const MAX_DEMAND_INTERVAL: Duration = Duration::from_secs(2);

/// Demand has grown when it exceeds the last requested need by more than this fraction (1/n).
const GROWTH_DIVISOR: usize = 4;

/// Current need for shares.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    /// Whether more shares would help.
    pub(super) needs_shares: bool,
    /// Number of open and waiting requests.
    pub(super) need: usize,
}

/// State of one grantor.
#[derive(Clone, Debug, Default)]
pub(super) struct Grantor {
    pub(super) owner: Option<(NodeId, Epoch)>,
    pub(super) seq: u64,
    /// When the last request was sent.
    pub(super) requested_at: Option<Time>,
    /// Whether the answer to the last request is outstanding.
    pub(super) awaiting_grant: bool,
    /// When the lease of the held shares ends.
    pub(super) shares_expire_at: Time,
    pub(super) known_version: u64,
    pub(super) servers: BTreeSet<ServerIx>,
    /// Sum of the shares in the last answer.
    pub(super) granted: u32,
    /// Total need when the last request was sent.
    pub(super) requested_need: usize,
    /// Whether a request is due as soon as the last one is answered or lost.
    pub(super) urgent: bool,
    demand_interval: Duration,
}

impl Grantor {
    /// Whether a request is due.
    pub(super) fn is_due(&self, now: Time, demand: Demand) -> bool {
        if self.owner.is_none() {
            return false;
        }
        let Some(requested_at) = self.requested_at else { return true };
        let age = now.since(requested_at);
        if self.awaiting_grant {
            return age >= REQUEST_TIMEOUT;
        }
        // The grantor's figures are out of date, so another request can gain shares.
        let grown = demand.need > self.requested_need + self.requested_need / GROWTH_DIVISOR;
        let demand_interval =
            if grown { MIN_DEMAND_INTERVAL } else { self.demand_interval.max(MIN_DEMAND_INTERVAL) };
        age >= REQUEST_PERIOD || self.urgent || (demand.needs_shares && age >= demand_interval)
    }

    /// Records an answer that grants `granted` shares in total.
    pub(super) fn record_grant(&mut self, granted: u32) {
        self.awaiting_grant = false;
        let gained = granted > self.granted;
        self.granted = granted;
        self.demand_interval = if gained {
            MIN_DEMAND_INTERVAL
        } else {
            (self.demand_interval * 2).clamp(MIN_DEMAND_INTERVAL, MAX_DEMAND_INTERVAL)
        };
    }

    /// End of a lease requested at `requested_at`. Limited to [`SHARE_LEASE`], which a new grantor
    /// waits for.
    pub(super) fn lease_end(requested_at: Time, lease: Duration) -> Time {
        requested_at + lease.min(SHARE_LEASE)
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

    /// Shards whose grantors are due for a request.
    pub(super) fn due(&self, now: Time, demand: Demand) -> Vec<ShardId> {
        let due = self.shards.iter().filter(|(_, grantor)| grantor.is_due(now, demand));
        due.map(|(shard, _)| *shard).collect()
    }

    pub(super) fn shards(&self) -> Vec<ShardId> {
        self.shards.keys().copied().collect()
    }
}
