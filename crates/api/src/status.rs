//! Status of the nodes, and the error message.

use {
    compact_str::CompactString,
    egretlb_types::{DataCentre, NodeId, Offset, RetryAfter},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Role of a node.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts callers' requests.
    Entry,
    /// Owns shards.
    Scheduler,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Role::Entry => "entry",
            Role::Scheduler => "scheduler",
        })
    }
}

/// Status of a node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Id of the node.
    pub node: NodeId,
    /// Name in its settings.
    pub name: CompactString,
    /// Role of the node.
    pub role: Role,
    /// Data centre of the node.
    pub data_centre: DataCentre,
    /// Number of shards it owns.
    pub shards_owned: u32,
    /// Version of the configuration in force there, as last reported; `None` if it has none or hasn't
    /// reported.
    pub config_version: Option<Offset>,
    /// Time since the last contact, in milliseconds; 0 for the queried node itself, `None` if the node
    /// is only known from the log.
    pub heard_ms_ago: Option<u64>,
}

/// Status of all nodes known to the queried node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Id of the queried node.
    pub asked: NodeId,
    /// Version of the accepted configuration, as the queried node read it from the log.
    pub config_version: Option<Offset>,
    /// Time since the queried node sent its last answered read of the control stream, in milliseconds;
    /// `None` if no read was answered. Beyond the duration of its authority the node makes no
    /// decisions that need authority.
    pub control_read_ms_ago: Option<u64>,
    /// All known nodes.
    pub nodes: Vec<NodeStatus>,
}

/// Answer to a call that reached no handler or was invalid.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ApiError {
    /// What is wrong and how to fix it.
    pub error: CompactString,
    /// When to retry, if that may help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<RetryAfter>,
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.error)?;
        match self.retry_after {
            Some(secs) => write!(f, "; retry in {secs} s"),
            None => Ok(()),
        }
    }
}
