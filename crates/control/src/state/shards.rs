//! Ownership of one shard.

use {
    egretlb_types::{Epoch, NodeId},
    serde::{Deserialize, Serialize},
};

/// The ownership phase of a shard.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum Phase {
    /// It was never claimed.
    #[default]
    Unowned,
    /// The claimant waits and recovers the shard; no process acts for it.
    Claimed,
    /// The owner acts for it while it has authority.
    Settled,
    /// The last owner or claimant released it.
    Released,
}

/// Ownership of one shard.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ShardState {
    epoch: Epoch,
    owner: Option<NodeId>,
    phase: Phase,
    /// The last settled owner and its epoch. Only its journal holds the acknowledged entries.
    settled: Option<(NodeId, Epoch)>,
    /// Whether the last settled owner may still have authority.
    may_have_authority: bool,
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

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The last settled owner and its epoch, whose journal a successor reads.
    pub fn last_settled(&self) -> Option<(NodeId, Epoch)> {
        self.settled
    }

    /// Whether a successor must wait because the last settled owner hasn't released the shard.
    ///
    /// A claimant that never settled never had authority, so its failure or release changes
    /// nothing.
    pub fn must_wait(&self) -> bool {
        self.may_have_authority
    }

    /// Only the first claim of the next epoch is valid; any other is late or repeated.
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
        let valid = self.is_claimed_by(owner, epoch) && self.phase == Phase::Claimed;
        if valid {
            self.phase = Phase::Settled;
            self.settled = Some((owner, epoch));
            self.may_have_authority = true;
        }
        valid
    }

    pub(super) fn release(&mut self, owner: NodeId, epoch: Epoch) -> bool {
        let valid = self.is_claimed_by(owner, epoch);
        if valid {
            self.owner = None;
            self.phase = Phase::Released;
            // If the claimant never settled, an earlier owner may still have authority.
            self.may_have_authority &= self.settled != Some((owner, epoch));
        }
        valid
    }

    fn is_claimed_by(&self, owner: NodeId, epoch: Epoch) -> bool {
        self.owner == Some(owner) && self.epoch == epoch
    }
}
