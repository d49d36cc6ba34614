//! The control state: a pure fold over the records of the control stream.

mod config;
mod shards;

pub use crate::state::{
    config::{AcceptedConfig, ConfigState, Decision, Validator},
    shards::{Phase, ShardState},
};

use {
    crate::record::{ConfigVersion, ControlRecord, NodeInfo, ProposalId, Role, ShardEpoch},
    egretlb_types::{Epoch, NodeId, Offset, SHARD_COUNT, ShardId},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::collections::BTreeMap,
};

/// A change made by a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A process joined, or joined again.
    Joined(NodeId),
    /// A process was removed.
    Left(NodeId),
    /// A shard has a new claimant.
    Claimed(NodeId, ShardEpoch),
    /// A shard's claimant became its owner.
    Settled(NodeId, ShardEpoch),
    /// A shard's owner released it.
    Released(NodeId, ShardEpoch),
    /// Some processes must confirm that they are alive.
    LivenessCheck {
        /// The process that asks.
        by: NodeId,
        /// The processes that must confirm.
        nodes: SmallVec<[NodeId; 4]>,
    },
    /// A configuration was accepted.
    ConfigAccepted(ConfigVersion),
    /// A proposal was decided.
    ProposalDecided(ProposalId, Decision),
}

/// The changes made by one record, usually one.
pub type Changes = SmallVec<[Change; 2]>;

/// The control state up to some offset. Processes that folded the same records hold equal states.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    members: BTreeMap<NodeId, NodeInfo>,
    shards: Vec<ShardState>,
    config: ConfigState,
    low_water_marks: BTreeMap<NodeId, Offset>,
}

impl Default for ControlState {
    fn default() -> Self {
        ControlState {
            members: BTreeMap::new(),
            shards: vec![ShardState::default(); usize::from(SHARD_COUNT)],
            config: ConfigState::default(),
            low_water_marks: BTreeMap::new(),
        }
    }
}

impl ControlState {
    /// Applies the record at `offset`. Void records change nothing.
    pub fn apply(
        &mut self,
        offset: Offset,
        record: &ControlRecord,
        validator: &Validator,
    ) -> Changes {
        match record {
            ControlRecord::Join(info) => self.join(info),
            ControlRecord::Leave { node } => self.leave(*node),
            ControlRecord::Claim { owner, shards } => self.claim(*owner, shards),
            ControlRecord::Settled { owner, shards } => self.settle(*owner, shards),
            ControlRecord::Release { owner, shards } => {
                self.update_shards(shards, |state, epoch| {
                    state.release(*owner, epoch.epoch).then_some(Change::Released(*owner, epoch))
                })
            }
            ControlRecord::LivenessCheck { by, nodes } => {
                SmallVec::from_iter([Change::LivenessCheck { by: *by, nodes: nodes.clone() }])
            }
            ControlRecord::Propose { id, base, by, document } => {
                let accepted = AcceptedConfig {
                    version: ConfigVersion::of_offset(offset),
                    by: by.clone(),
                    text: document.clone(),
                };
                self.config.propose(*id, *base, accepted, validator)
            }
            ControlRecord::LowWaterMark { owner, from } => {
                self.raise_low_water_mark(*owner, *from);
                Changes::new()
            }
            // A snapshot holds nothing that this state doesn't.
            ControlRecord::Snapshot { .. } => Changes::new(),
        }
    }

    /// All members, by id.
    pub fn members(&self) -> impl Iterator<Item = &NodeInfo> {
        self.members.values()
    }

    /// The members that may own shards, by id.
    pub fn schedulers(&self) -> impl Iterator<Item = &NodeInfo> {
        self.members().filter(|info| info.role == Role::Scheduler)
    }

    /// The member with this id.
    pub fn member(&self, node: NodeId) -> Option<&NodeInfo> {
        self.members.get(&node)
    }

    /// The state of a shard.
    pub fn shard(&self, shard: ShardId) -> &ShardState {
        &self.shards[usize::from(shard.0 % SHARD_COUNT)]
    }

    /// All shards, by id.
    pub fn shards(&self) -> impl Iterator<Item = (ShardId, &ShardState)> {
        (0..).map(ShardId).zip(&self.shards)
    }

    /// The process that acts for the shard: its settled owner, if it is still a member.
    pub fn owner_of(&self, shard: ShardId) -> Option<&NodeInfo> {
        let state = self.shard(shard);
        if state.phase() != Phase::Settled {
            return None;
        }
        self.member(state.owner()?)
    }

    /// The offset from which to read a predecessor's journal.
    pub fn journal_start(&self, node: NodeId) -> Offset {
        self.low_water_marks.get(&node).copied().unwrap_or_default()
    }

    /// The configuration.
    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    /// Accepts proposals on any base. Only for tests of the checker.
    #[doc(hidden)]
    pub fn without_base_check(&mut self) {
        self.config.skip_base_check = true;
    }

    /// Encodes the state as the body of a [`ControlRecord::Snapshot`].
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, Vec::new()).unwrap_or_default()
    }

    /// Decodes the body of a [`ControlRecord::Snapshot`]; `None` if it is invalid.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let state: ControlState = postcard::from_bytes(bytes).ok()?;
        (state.shards.len() == usize::from(SHARD_COUNT)).then_some(state)
    }

    fn join(&mut self, info: &NodeInfo) -> Changes {
        self.members.insert(info.node, info.clone());
        SmallVec::from_iter([Change::Joined(info.node)])
    }

    fn leave(&mut self, node: NodeId) -> Changes {
        self.members.remove(&node).map(|info| Change::Left(info.node)).into_iter().collect()
    }

    /// A claim by a process that isn't a member is void, since its address is unknown.
    fn claim(&mut self, owner: NodeId, shards: &[ShardEpoch]) -> Changes {
        if self.member(owner).is_none_or(|info| info.role != Role::Scheduler) {
            return Changes::new();
        }
        self.update_shards(shards, |state, epoch| {
            state.claim(owner, epoch.epoch).then_some(Change::Claimed(owner, epoch))
        })
    }

    fn settle(&mut self, owner: NodeId, shards: &[ShardEpoch]) -> Changes {
        let changes = self.update_shards(shards, |state, epoch| {
            state.settle(owner, epoch.epoch).then_some(Change::Settled(owner, epoch))
        });
        // A low-water mark is kept while the journal holds the last entries of a shard.
        let shards = &self.shards;
        let is_needed = |node: &NodeId| {
            let settled_by_node = |ownership: &ShardState| {
                ownership.last_settled().is_some_and(|(last, _)| last == *node)
            };
            shards.iter().any(settled_by_node)
        };
        self.low_water_marks.retain(|node, _| is_needed(node));
        changes
    }

    /// An earlier mark that arrives late changes nothing.
    fn raise_low_water_mark(&mut self, owner: NodeId, from: Offset) {
        let mark = self.low_water_marks.entry(owner).or_default();
        *mark = from.max(*mark);
    }

    fn update_shards(
        &mut self,
        shards: &[ShardEpoch],
        mut change: impl FnMut(&mut ShardState, ShardEpoch) -> Option<Change>,
    ) -> Changes {
        let mut changes = Changes::new();
        for epoch in shards {
            if let Some(state) = self.shards.get_mut(usize::from(epoch.shard.0)) {
                changes.extend(change(state, *epoch));
            }
        }
        changes
    }
}

impl ControlState {
    /// The epoch that the next claim of the shard must name.
    pub fn next_epoch(&self, shard: ShardId) -> Epoch {
        self.shard(shard).epoch().next()
    }
}
