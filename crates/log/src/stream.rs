//! Names of streams.

use {
    compact_str::{CompactString, format_compact},
    egretlb_types::NodeId,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// The name of a stream of the log service.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamName(CompactString);

impl StreamName {
    /// The stream that every process reads: nodes, shard owners, configuration.
    pub fn control() -> Self {
        StreamName(CompactString::const_new("control"))
    }

    /// The journal of `node`, its only writer.
    pub fn journal(node: NodeId) -> Self {
        StreamName(format_compact!("journal-{node}"))
    }

    /// The name as text: lower-case letters, digits and `-`.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for StreamName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
