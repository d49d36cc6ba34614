//! Messages between entries and the grantors of shares.

use {
    compact_str::CompactString,
    egretlb_types::{ClassName, DataCentre, Epoch, NodeId, ShardId, VmId, VmState},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::time::Duration,
};

/// An entry's request for shares of the backend servers of one rack shard.
///
/// States the maximum that the entry holds until it receives the answer to this request, so the
/// grantor knows what is in use even if earlier answers were lost.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// The rack shard.
    pub shard: ShardId,
    /// Epoch of the owner that the request is addressed to.
    pub epoch: Epoch,
    /// The entry.
    pub entry: NodeId,
    /// Increases with each request of this entry to this shard; a lower one is ignored.
    pub seq: u64,
    /// Version of the server descriptions that the entry has, 0 for none.
    pub known_version: u64,
    /// Held and requested shares; servers not listed are neither held nor requested.
    pub servers: Vec<ServerDemand>,
}

/// One backend server in a [`ShareRequest`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServerDemand {
    /// The server's VM.
    pub vm: VmId,
    /// Maximum number of requests that the entry has or will have open there before the answer.
    pub holding: u16,
    /// Number that it would use now, for open and waiting requests.
    pub need: u16,
    /// Number that it requests including headroom for growth; at least `need`.
    pub want: u16,
}

/// A grantor's answer to a [`ShareRequest`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The rack shard.
    pub shard: ShardId,
    /// The grantor's epoch.
    pub epoch: Epoch,
    /// Sequence number of the request that this answers.
    pub seq: u64,
    /// Lease of the shares, counted by the entry from the sending of its request.
    pub lease: Duration,
    /// Granted shares; servers not listed are granted nothing.
    pub servers: Vec<ServerGrant>,
    /// Version of the server descriptions.
    pub version: u64,
    /// All servers of the shard if the entry has another version, else empty.
    pub descriptions: Vec<ServerInfo>,
}

/// The share of one backend server in a [`ShareGrant`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServerGrant {
    /// The server's VM.
    pub vm: VmId,
    /// Maximum number of requests that the entry may have open there. Each takes a slot and a
    /// connection.
    pub max_open: u16,
}

/// Description of a backend server for entries.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServerInfo {
    /// The server's VM.
    pub vm: VmId,
    /// Address of the server, as `ip:port`.
    pub addr: CompactString,
    /// Data centre of the server.
    pub data_centre: DataCentre,
    /// Whether it accepts new requests.
    pub state: VmState,
    /// Classes whose service runs there.
    pub classes: SmallVec<[ClassName; 4]>,
}
