//! The records of the control stream.

use {
    compact_str::CompactString,
    egretlb_types::{DataCentre, Epoch, NodeId, Offset, ShardId},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::{fmt, num::ParseIntError, str::FromStr},
};

/// Encoding version of [`ControlRecord`]. A process skips records of an unknown version and raises
/// an alarm, since its state may differ from that of other processes.
const LAYOUT: u8 = 1;

/// The role of a process.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum Role {
    /// Handles callers' requests; follows the control stream and owns nothing.
    Entry,
    /// Owns shards.
    Scheduler,
}

/// Identity and addresses of a process.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Id of this incarnation of the process.
    pub node: NodeId,
    /// Its role.
    pub role: Role,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// Address for peers, as `ip:port`.
    pub peer_addr: CompactString,
    /// Address of its HTTP server, as `ip:port`.
    pub http_addr: CompactString,
}

/// A shard and one of its epochs.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ShardEpoch {
    /// The shard.
    pub shard: ShardId,
    /// The epoch.
    pub epoch: Epoch,
}

/// Shards with an epoch of each.
pub type ShardEpochs = SmallVec<[ShardEpoch; 4]>;

/// The version of a configuration: the offset of the accepted proposal plus one, or zero for no
/// configuration. Offsets grow, so versions do too.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// No configuration; the base of the first proposal.
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

/// Random id of a proposal; unchanged when the proposal is appended again.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProposalId(pub u64);

impl fmt::Display for ProposalId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A record of the control stream. Records are idempotent and may be appended twice or late: each
/// names the state that it applies to, and is void on any other.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ControlRecord {
    /// A process joins, or joins again to answer a [`ControlRecord::LivenessCheck`].
    Join(NodeInfo),
    /// A process is removed, at its own request or because it was unresponsive for long.
    Leave {
        /// The removed process.
        node: NodeId,
    },
    /// A process claims shards, each under the epoch after the current one.
    Claim {
        /// The claimant.
        owner: NodeId,
        /// The shards with the epochs claimed.
        shards: ShardEpochs,
    },
    /// The claimant's journal holds a snapshot of each shard, so the claimant may act for them.
    Settled {
        /// The claimant.
        owner: NodeId,
        /// The shards with the epochs claimed.
        shards: ShardEpochs,
    },
    /// The owner no longer acts for the shards, so a successor need not wait.
    Release {
        /// The owner.
        owner: NodeId,
        /// The shards with the owner's epochs.
        shards: ShardEpochs,
    },
    /// A process with contact to few others asks these processes to confirm in the log that they
    /// are alive.
    LivenessCheck {
        /// The process that asks.
        by: NodeId,
        /// The processes that must confirm.
        nodes: SmallVec<[NodeId; 4]>,
    },
    /// A complete new configuration.
    Propose {
        /// Id of the proposal.
        id: ProposalId,
        /// The version that it changes; void if this isn't the current version.
        base: ConfigVersion,
        /// Name of the operator.
        by: CompactString,
        /// The whole document.
        document: String,
    },
    /// The state after all records before `next`, so that these may expire.
    Snapshot {
        /// The first offset that isn't included.
        next: Offset,
        /// The encoded [`crate::ControlState`].
        state: Vec<u8>,
    },
    /// A successor of `owner` needs no record of its journal before `from`.
    LowWaterMark {
        /// The owner of the journal.
        owner: NodeId,
        /// The oldest record needed.
        from: Offset,
    },
}

impl ControlRecord {
    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        // Can't fail: no type here holds a map of unknown length.
        postcard::to_extend(self, vec![LAYOUT]).unwrap_or_default()
    }

    /// Decodes a record; `None` if it is invalid or has another encoding version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (layout, rest) = bytes.split_first()?;
        (*layout == LAYOUT).then(|| postcard::from_bytes(rest).ok())?
    }

    /// The process that wrote the record, and so was alive a moment ago, if the record names it.
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
