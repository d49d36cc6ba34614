//! The shards that this process owns, and those that it is giving up.

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

/// Time between two steps of balancing.
const BALANCE_EVERY: Duration = Duration::from_secs(2);

/// Shards given up in one step of balancing. Each is without an owner for about a second, and
/// when ten processes are replaced together nearly every shard moves.
const BALANCE_AT_ONCE: usize = 4;

#[derive(Clone, Debug)]
pub(crate) struct Holdings {
    me: NodeId,
    owned: BTreeMap<ShardId, Epoch>,
    releasing: BTreeMap<ShardId, Epoch>,
    balance_at: Time,
}

impl Holdings {
    pub(crate) fn new(me: NodeId) -> Self {
        Holdings { me, owned: BTreeMap::new(), releasing: BTreeMap::new(), balance_at: Time::ZERO }
    }

    /// Follows the state: says which shards became this process's, and which are lost.
    ///
    /// A process that has given up its state, since the records it wanted next have expired, asks
    /// for nothing here until it has found a snapshot. It keeps its shards without authority: a
    /// shard that was lost and then owned again under the same epoch would be empty.
    pub(crate) fn follow(&mut self, state: &ControlState, out: &mut Vec<ControlEffect>) {
        let is_mine = |shard: ShardId, epoch: Epoch| {
            let of = state.shard(shard);
            of.owner() == Some(self.me) && of.epoch() == epoch
        };
        self.releasing.retain(|shard, epoch| is_mine(*shard, *epoch));
        let lost: Vec<ShardId> = self
            .owned
            .iter()
            .filter(|(shard, epoch)| !is_mine(**shard, **epoch))
            .map(|(shard, _)| *shard)
            .collect();
        for shard in lost {
            self.lose(shard, out);
        }
        for (shard, of) in state.shards() {
            let mine = of.owner() == Some(self.me) && of.phase() == Phase::Settled;
            let new = !self.owned.contains_key(&shard) && !self.releasing.contains_key(&shard);
            if mine && new {
                self.owned.insert(shard, of.epoch());
                out.push(ControlEffect::ShardOwned { shard, epoch: of.epoch() });
            }
        }
    }

    /// The epoch of the shard if this process owns it and isn't giving it up.
    pub(crate) fn epoch(&self, shard: ShardId) -> Option<Epoch> {
        self.owned.get(&shard).copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.owned.len()
    }

    /// Gives up everything.
    pub(crate) fn release_all(&mut self, state: &ControlState, out: &mut Vec<ControlEffect>) {
        let me = Some(self.me);
        for (shard, of) in state.shards().filter(|(_, of)| of.owner() == me) {
            self.release(shard, of.epoch(), out);
        }
    }

    /// Gives up a few shards that prefer another process.
    ///
    /// Only the owner moves a shard away from itself, so that the successor need not wait; and
    /// only a few at a time, the next ones once these are settled elsewhere.
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
        if state.shards().any(|(_, of)| of.phase() != Phase::Settled) {
            return;
        }
        self.balance_at = now + BALANCE_EVERY;
        let moving: Vec<ShardEpoch> = self
            .owned
            .iter()
            .filter(|(shard, _)| preferred(**shard, candidates) != Some(self.me))
            .map(|(shard, epoch)| ShardEpoch { shard: *shard, epoch: *epoch })
            .take(BALANCE_AT_ONCE)
            .collect();
        for of in moving {
            self.release(of.shard, of.epoch, out);
        }
    }

    /// The shards whose release must get into the log.
    pub(crate) fn to_release(&self) -> ShardEpochs {
        self.releasing
            .iter()
            .map(|(shard, epoch)| ShardEpoch { shard: *shard, epoch: *epoch })
            .collect()
    }

    /// From here on this process doesn't act for the shard, whatever becomes of the append: the
    /// successor doesn't wait, so the release must be true before it can be in the log.
    fn release(&mut self, shard: ShardId, epoch: Epoch, out: &mut Vec<ControlEffect>) {
        self.releasing.insert(shard, epoch);
        self.lose(shard, out);
    }

    fn lose(&mut self, shard: ShardId, out: &mut Vec<ControlEffect>) {
        if let Some(epoch) = self.owned.remove(&shard) {
            out.push(ControlEffect::ShardLost { shard, epoch });
        }
    }
}
