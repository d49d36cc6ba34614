//! Who owns one shard.

use {
    egretlb_types::{Epoch, NodeId},
    serde::{Deserialize, Serialize},
};

/// How far a shard's succession has come.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum Phase {
    /// Nobody has ever claimed it.
    #[default]
    Unowned,
    /// Its owner waits and recovers; nobody acts for it.
    Claimed,
    /// Its owner acts for it, while it has authority.
    Settled,
    /// Its last owner gave it up.
    Released,
}

/// One shard in the fold.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ShardState {
    epoch: Epoch,
    owner: Option<NodeId>,
    phase: Phase,
    /// The last owner that settled, with its epoch: only its journal holds what was acknowledged.
    settled: Option<(NodeId, Epoch)>,
    /// The last settled owner may still have authority.
    held: bool,
}

impl ShardState {
    /// The epoch of the last valid claim; zero if there was none.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The last claimant, unless it released the shard.
    pub fn owner(&self) -> Option<NodeId> {
        self.owner
    }

    /// How far the succession has come.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The last owner that settled and its epoch: where a successor finds the shard's journal.
    pub fn last_settled(&self) -> Option<(NodeId, Epoch)> {
        self.settled
    }

    /// Whether a successor must wait: the last settled owner hasn't released the shard.
    ///
    /// A claimant that dies or releases before it settled never had authority, so it doesn't
    /// count: the wait is for the last one that had.
    pub fn must_wait(&self) -> bool {
        self.held
    }

    /// The first claim of the next epoch counts; one of any other epoch comes too late or twice.
    pub(super) fn claim(&mut self, owner: NodeId, epoch: Epoch) -> bool {
        let valid = epoch == self.epoch.next();
        if valid {
            self.epoch = epoch;
            self.owner = Some(owner);
            self.phase = Phase::Claimed;
        }
        valid
    }

    pub(super) fn settle(&mut self, owner: NodeId, epoch: Epoch) -> bool {
        let valid = self.is_of(owner, epoch) && self.phase == Phase::Claimed;
        if valid {
            self.phase = Phase::Settled;
            self.settled = Some((owner, epoch));
            self.held = true;
        }
        valid
    }

    pub(super) fn release(&mut self, owner: NodeId, epoch: Epoch) -> bool {
        let valid = self.is_of(owner, epoch);
        if valid {
            self.owner = None;
            self.phase = Phase::Released;
            // Released before it was settled: an earlier owner may still have authority.
            self.held &= self.settled != Some((owner, epoch));
        }
        valid
    }

    fn is_of(&self, owner: NodeId, epoch: Epoch) -> bool {
        self.owner == Some(owner) && self.epoch == epoch
    }
}
