//! What entries and the grantors of shares tell each other.

use {
    compact_str::CompactString,
    egretlb_types::{ClassName, DataCentre, Epoch, NodeId, ShardId, VmId, VmState},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::time::Duration,
};

/// An entry's ask for shares of the backend servers of one rack shard.
///
/// It says what the entry holds at most from now on until it takes the answer to this very ask, so
/// the grantor knows what is in use whatever became of earlier answers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// The rack shard.
    pub shard: ShardId,
    /// The owner's epoch that the ask is meant for.
    pub epoch: Epoch,
    /// The entry.
    pub entry: NodeId,
    /// Grows with each ask of this entry to this shard; an ask overtaken by a later one is void.
    pub seq: u64,
    /// The version of the servers' descriptions that the entry has, 0 for none.
    pub known_version: u64,
    /// What the entry holds and wants; servers not named are neither held nor wanted.
    pub servers: Vec<ServerDemand>,
}

/// One backend server in a [`ShareRequest`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServerDemand {
    /// The server's VM.
    pub vm: VmId,
    /// The most requests that the entry has or will have open there before the answer.
    pub holding: u16,
    /// How many it would use now, for what is open and waiting.
    pub need: u16,
    /// How many it would like to hold, with some room for growth; at least `need`.
    pub want: u16,
}

/// A grantor's answer to a [`ShareRequest`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The rack shard.
    pub shard: ShardId,
    /// The grantor's epoch.
    pub epoch: Epoch,
    /// The number of the ask that this answers.
    pub seq: u64,
    /// How long the shares last, counted by the entry from its sending of the ask.
    pub lease: Duration,
    /// The shares; servers not named are granted nothing.
    pub servers: Vec<ServerGrant>,
    /// The version of the descriptions.
    pub version: u64,
    /// All the servers of the shard, if the entry has another version; else empty.
    pub descriptions: Vec<ServerInfo>,
}

/// The share of one backend server in a [`ShareGrant`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServerGrant {
    /// The server's VM.
    pub vm: VmId,
    /// How many requests the entry may have open there. Each takes a slot and a connection.
    pub max_open: u16,
}

/// What an entry needs to know of a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServerInfo {
    /// The server's VM.
    pub vm: VmId,
    /// Where it listens, as `ip:port`.
    pub addr: CompactString,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it takes new work.
    pub state: VmState,
    /// The classes whose service runs there.
    pub classes: SmallVec<[ClassName; 4]>,
}
