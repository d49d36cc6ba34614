//! The shards that this process owns or is releasing.

use {
    crate::{
        event::ControlEffect,
        record::{ShardEpoch, ShardEpochs},
        reducer::succession::preferred,
        state::{ControlState, Phase},
    },
    egretlb_types::{Epoch, NodeId, ShardId, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Time between two balancing steps.
const BALANCE_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of shards released in one balancing step. Each has no owner for about a second.
const MAX_MOVES_PER_BALANCE: usize = 4;

#[derive(Clone, Debug)]
pub(crate) struct OwnedShards {
    me: NodeId,
    owned: BTreeMap<ShardId, Epoch>,
    releasing: BTreeMap<ShardId, Epoch>,
    balance_at: Time,
}

impl OwnedShards {
    pub(crate) fn new(me: NodeId) -> Self {
        OwnedShards {
            me,
            owned: BTreeMap::new(),
            releasing: BTreeMap::new(),
            balance_at: Time::ZERO,
        }
    }

    /// Follows the state and reports shards gained and lost.
    ///
    /// Not called while the process has no state because its next records have expired. It keeps
    /// its shards without authority until it finds a snapshot: a shard that was reported lost and
    /// then owned again under the same epoch would be empty.
    pub(crate) fn update(&mut self, state: &ControlState, out: &mut Vec<ControlEffect>) {
        let is_mine = |shard: ShardId, epoch: Epoch| {
            let ownership = state.shard(shard);
            ownership.owner() == Some(self.me) && ownership.epoch() == epoch
        };
        self.releasing.retain(|shard, epoch| is_mine(*shard, *epoch));
        let lost: Vec<ShardId> = self
            .owned
            .iter()
            .filter(|(shard, epoch)| !is_mine(**shard, **epoch))
            .map(|(shard, _)| *shard)
            .collect();
        for shard in lost {
            self.remove(shard, out);
        }
        for (shard, ownership) in state.shards() {
            let settled_here =
                ownership.owner() == Some(self.me) && ownership.phase() == Phase::Settled;
            let is_new = !self.owned.contains_key(&shard) && !self.releasing.contains_key(&shard);
            if settled_here && is_new {
                self.owned.insert(shard, ownership.epoch());
                out.push(ControlEffect::ShardOwned { shard, epoch: ownership.epoch() });
            }
        }
    }

    /// The epoch of the shard if this process owns it and isn't releasing it.
    pub(crate) fn epoch(&self, shard: ShardId) -> Option<Epoch> {
        self.owned.get(&shard).copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.owned.len()
    }

    /// Releases all shards.
    pub(crate) fn release_all(&mut self, state: &ControlState, out: &mut Vec<ControlEffect>) {
        let me = Some(self.me);
        for (shard, ownership) in state.shards().filter(|(_, ownership)| ownership.owner() == me) {
            self.release(shard, ownership.epoch(), out);
        }
    }

    /// Releases a few shards whose preferred owner is another process.
    ///
    /// Only the owner moves a shard, so that the successor needn't wait. The next shards follow
    /// once these are settled elsewhere.
    pub(crate) fn balance(
        &mut self,
        now: Time,
        state: &ControlState,
        candidates: &[NodeId],
        out: &mut Vec<ControlEffect>,
    ) {
        if now < self.balance_at || !self.releasing.is_empty() {
            return;
        }
        if state.shards().any(|(_, ownership)| ownership.phase() != Phase::Settled) {
            return;
        }
        self.balance_at = now + BALANCE_INTERVAL;
        let to_move: Vec<ShardEpoch> = self
            .owned
            .iter()
            .filter(|(shard, _)| preferred(**shard, candidates) != Some(self.me))
            .map(|(shard, epoch)| ShardEpoch { shard: *shard, epoch: *epoch })
            .take(MAX_MOVES_PER_BALANCE)
            .collect();
        for shard in to_move {
            self.release(shard.shard, shard.epoch, out);
        }
    }

    /// The shards whose release isn't in the log yet.
    pub(crate) fn pending_releases(&self) -> ShardEpochs {
        self.releasing
            .iter()
            .map(|(shard, epoch)| ShardEpoch { shard: *shard, epoch: *epoch })
            .collect()
    }

    /// From here on this process doesn't act for the shard, even if the append fails: the successor
    /// doesn't wait, so the release must be true before it can be in the log.
    fn release(&mut self, shard: ShardId, epoch: Epoch, out: &mut Vec<ControlEffect>) {
        self.releasing.insert(shard, epoch);
        self.remove(shard, out);
    }

    fn remove(&mut self, shard: ShardId, out: &mut Vec<ControlEffect>) {
        if let Some(epoch) = self.owned.remove(&shard) {
            out.push(ControlEffect::ShardLost { shard, epoch });
        }
    }
}
