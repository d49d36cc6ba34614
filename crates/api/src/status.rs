//! The nodes as one of them knows them, and the answer to calls that go wrong.

use {
    compact_str::CompactString,
    egretlb_types::{DataCentre, NodeId, Offset, RetryAfter},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// What a node is.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It takes callers' requests.
    Entry,
    /// It owns shards.
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

/// One node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node.
    pub node: NodeId,
    /// The name in its settings.
    pub name: CompactString,
    /// What it is.
    pub role: Role,
    /// Where it is.
    pub data_centre: DataCentre,
    /// How many shards it owns.
    pub shards_owned: u32,
    /// The version of the configuration in force there, when it last said so; none if it has none
    /// or hasn't been heard of.
    pub config_version: Option<Offset>,
    /// How long ago it was last heard of, in milliseconds; 0 for the asked node itself, none if it
    /// is only known from the log.
    pub heard_ms_ago: Option<u64>,
}

/// All nodes that the asked one knows.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The asked node.
    pub asked: NodeId,
    /// The version of the configuration that is accepted, as the asked node read it from the log.
    pub config_version: Option<Offset>,
    /// How long ago the asked node sent its last read of the control stream that was answered, in
    /// milliseconds; none if there was none. When it grows past the authority's length, the node
    /// can't decide anything unsafe.
    pub control_read_ms_ago: Option<u64>,
    /// The nodes.
    pub nodes: Vec<NodeStatus>,
}

/// The answer to a call that reached no handler or couldn't be read.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ApiError {
    /// What is wrong and what to do.
    pub error: CompactString,
    /// When to come back, if that helps.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<RetryAfter>,
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.error)?;
        match self.retry_after {
            Some(secs) => write!(f, "; come back in {secs} s"),
            None => Ok(()),
        }
    }
}
