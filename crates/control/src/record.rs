//! The records of the control stream.

use {
    compact_str::CompactString,
    egretlb_types::{DataCentre, Epoch, NodeId, Offset, ShardId},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::{fmt, num::ParseIntError, str::FromStr},
};

/// The layout of [`ControlRecord`]. A process skips records of a layout that it doesn't know, and
/// raises an alarm: processes of two layouts would disagree on what holds.
const LAYOUT: u8 = 1;

/// What a process does.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum Role {
    /// Takes callers' requests; follows the control stream, owns nothing.
    Entry,
    /// Owns shards.
    Scheduler,
}

/// Who a process is and where it is reached.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// The process's incarnation.
    pub node: NodeId,
    /// What it does.
    pub role: Role,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Where its peers call it, as `ip:port`.
    pub peer_addr: CompactString,
    /// Where it answers HTTP, as `ip:port`.
    pub http_addr: CompactString,
}

/// A shard and an epoch of it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ShardEpoch {
    /// The shard.
    pub shard: ShardId,
    /// The epoch.
    pub epoch: Epoch,
}

/// Some shards with an epoch of each.
pub type ShardEpochs = SmallVec<[ShardEpoch; 4]>;

/// The version of a configuration: one more than the offset of the proposal that was accepted.
/// Zero stands for no configuration at all. Offsets grow, so versions do.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// No configuration was accepted yet; the base of the first proposal.
    pub const NONE: ConfigVersion = ConfigVersion(0);

    /// The version that a proposal at `offset` gets if it is accepted.
    pub fn of_offset(offset: Offset) -> Self {
        ConfigVersion(offset.0 + 1)
    }
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for ConfigVersion {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(ConfigVersion)
    }
}

/// One proposal, drawn at random by whoever makes it; the same when it is appended again.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProposalId(pub u64);

impl fmt::Display for ProposalId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A record of the control stream. Every record may be appended twice, and late, without harm:
/// each names the state that it applies to, and is void on any other.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ControlRecord {
    /// A process takes part, or answers a [`ControlRecord::LivenessCheck`] by joining again.
    Join(NodeInfo),
    /// A process has gone, by its own word or after a long silence.
    Leave {
        /// The process that has gone.
        node: NodeId,
    },
    /// A process claims shards, each for the epoch after the current one.
    Claim {
        /// The claimant.
        owner: NodeId,
        /// The shards with the epochs claimed.
        shards: ShardEpochs,
    },
    /// The claimant's journal holds a snapshot of each shard: it may act from here on.
    Settled {
        /// The claimant.
        owner: NodeId,
        /// The shards with the epochs claimed.
        shards: ShardEpochs,
    },
    /// The owner will not act for the shards any more; its successor need not wait.
    Release {
        /// The owner.
        owner: NodeId,
        /// The shards with the owner's epochs.
        shards: ShardEpochs,
    },
    /// A process that hears few others asks through the log whether these are still there.
    LivenessCheck {
        /// The process that asks.
        by: NodeId,
        /// The processes that it doesn't hear.
        of: SmallVec<[NodeId; 4]>,
    },
    /// A whole new configuration.
    Propose {
        /// Names the proposal to whoever made it.
        id: ProposalId,
        /// The version that it changes; on any other it is void.
        base: ConfigVersion,
        /// Who proposes, for people.
        by: CompactString,
        /// The whole document.
        document: String,
    },
    /// The fold of all records before `next`, so that earlier ones may expire.
    Snapshot {
        /// The first offset that isn't part of the fold.
        next: Offset,
        /// The encoded [`crate::ControlState`].
        state: Vec<u8>,
    },
    /// A successor of `owner` needs nothing of its journal before `from`.
    LowWaterMark {
        /// The owner of the journal.
        owner: NodeId,
        /// The oldest record of it that is needed.
        from: Offset,
    },
}

impl ControlRecord {
    /// The record as bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Writing to a growing buffer can't fail for types without maps of unknown length.
        postcard::to_extend(self, vec![LAYOUT]).unwrap_or_default()
    }

    /// Reads a record; `None` for one of another layout or a broken one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (layout, rest) = bytes.split_first()?;
        (*layout == LAYOUT).then(|| postcard::from_bytes(rest).ok())?
    }

    /// The process that wrote the record and so was there a moment ago, if the record says it.
    pub fn author(&self) -> Option<NodeId> {
        match self {
            ControlRecord::Join(info) => Some(info.node),
            ControlRecord::Claim { owner, .. }
            | ControlRecord::Settled { owner, .. }
            | ControlRecord::Release { owner, .. } => Some(*owner),
            ControlRecord::LivenessCheck { by, .. } => Some(*by),
            ControlRecord::LowWaterMark { owner, .. } => Some(*owner),
            ControlRecord::Leave { .. }
            | ControlRecord::Propose { .. }
            | ControlRecord::Snapshot { .. } => None,
        }
    }
}
