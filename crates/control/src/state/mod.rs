//! What the control stream says: a pure fold over its records.

mod config;
mod shards;

pub use crate::state::{
    config::{Accepted, ConfigState, Decision, Validator},
    shards::{Phase, ShardState},
};

use {
    crate::record::{ConfigVersion, ControlRecord, NodeInfo, ProposalId, Role, ShardEpoch},
    egretlb_types::{Epoch, NodeId, Offset, SHARD_COUNT, ShardId},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::collections::BTreeMap,
};

/// What a record changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A process was added, or joined again.
    Joined(NodeId),
    /// A process was removed.
    Left(NodeId),
    /// A shard has a new claimant.
    Claimed(NodeId, ShardEpoch),
    /// A shard's claimant may act.
    Settled(NodeId, ShardEpoch),
    /// A shard's owner gave it up.
    Released(NodeId, ShardEpoch),
    /// Some processes are asked to show that they are there.
    LivenessCheck {
        /// Who asks.
        by: NodeId,
        /// Who is asked.
        of: SmallVec<[NodeId; 4]>,
    },
    /// A configuration was accepted.
    Accepted(ConfigVersion),
    /// A proposal was decided.
    Decided(ProposalId, Decision),
}

/// What one record changed, mostly one thing.
pub type Changes = SmallVec<[Change; 2]>;

/// The fold of the control stream up to some offset. Two processes that folded the same records
/// hold equal states.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    members: BTreeMap<NodeId, NodeInfo>,
    shards: Vec<ShardState>,
    config: ConfigState,
    marks: BTreeMap<NodeId, Offset>,
}

impl Default for ControlState {
    fn default() -> Self {
        ControlState {
            members: BTreeMap::new(),
            shards: vec![ShardState::default(); usize::from(SHARD_COUNT)],
            config: ConfigState::default(),
            marks: BTreeMap::new(),
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
            ControlRecord::Release { owner, shards } => self.each(shards, |state, epoch| {
                state.release(*owner, epoch.epoch).then_some(Change::Released(*owner, epoch))
            }),
            ControlRecord::LivenessCheck { by, of } => {
                SmallVec::from_iter([Change::LivenessCheck { by: *by, of: of.clone() }])
            }
            ControlRecord::Propose { id, base, by, document } => {
                let accepted = Accepted {
                    version: ConfigVersion::of_offset(offset),
                    by: by.clone(),
                    text: document.clone(),
                };
                self.config.propose(*id, *base, accepted, validator)
            }
            ControlRecord::LowWaterMark { owner, from } => {
                self.mark(*owner, *from);
                Changes::new()
            }
            // Readers that hold the state need no snapshot of it.
            ControlRecord::Snapshot { .. } => Changes::new(),
        }
    }

    /// The processes that take part, by id.
    pub fn members(&self) -> impl Iterator<Item = &NodeInfo> {
        self.members.values()
    }

    /// The processes that may own shards, by id.
    pub fn schedulers(&self) -> impl Iterator<Item = &NodeInfo> {
        self.members().filter(|info| info.role == Role::Scheduler)
    }

    /// The process of the id, if it takes part.
    pub fn member(&self, node: NodeId) -> Option<&NodeInfo> {
        self.members.get(&node)
    }

    /// One shard.
    pub fn shard(&self, shard: ShardId) -> &ShardState {
        &self.shards[usize::from(shard.0 % SHARD_COUNT)]
    }

    /// All shards, by id.
    pub fn shards(&self) -> impl Iterator<Item = (ShardId, &ShardState)> {
        (0..).map(ShardId).zip(&self.shards)
    }

    /// The process that acts for the shard: its settled owner, if that still takes part.
    pub fn owner_of(&self, shard: ShardId) -> Option<&NodeInfo> {
        let state = self.shard(shard);
        if state.phase() != Phase::Settled {
            return None;
        }
        self.member(state.owner()?)
    }

    /// Where to begin in the journal of a predecessor.
    pub fn journal_start(&self, node: NodeId) -> Offset {
        self.marks.get(&node).copied().unwrap_or_default()
    }

    /// The configuration.
    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    /// For tests of the checker only: accepts proposals on any base.
    #[doc(hidden)]
    pub fn without_base_check(&mut self) {
        self.config.skip_base_check = true;
    }

    /// The state as the body of a [`ControlRecord::Snapshot`].
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, Vec::new()).unwrap_or_default()
    }

    /// Reads the body of a [`ControlRecord::Snapshot`]; `None` for a broken one.
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

    /// A claim by a process that doesn't take part is void: nobody would know where to reach it.
    fn claim(&mut self, owner: NodeId, shards: &[ShardEpoch]) -> Changes {
        if self.member(owner).is_none_or(|info| info.role != Role::Scheduler) {
            return Changes::new();
        }
        self.each(shards, |state, epoch| {
            state.claim(owner, epoch.epoch).then_some(Change::Claimed(owner, epoch))
        })
    }

    fn settle(&mut self, owner: NodeId, shards: &[ShardEpoch]) -> Changes {
        let changes = self.each(shards, |state, epoch| {
            state.settle(owner, epoch.epoch).then_some(Change::Settled(owner, epoch))
        });
        // A mark is needed for as long as a shard's last entries are in that journal.
        let shards = &self.shards;
        let is_needed = |node: &NodeId| {
            let of_node =
                |of: &ShardState| of.last_settled().is_some_and(|(last, _)| last == *node);
            shards.iter().any(of_node)
        };
        self.marks.retain(|node, _| is_needed(node));
        changes
    }

    /// A late copy of an earlier mark changes nothing.
    fn mark(&mut self, owner: NodeId, from: Offset) {
        let mark = self.marks.entry(owner).or_default();
        *mark = from.max(*mark);
    }

    fn each(
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
