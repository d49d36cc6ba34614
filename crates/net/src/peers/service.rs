//! The one call between processes.

use egretlb_types::NodeId;

/// A message as it arrived, still encoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Received {
    /// The node that sent it, by its own word.
    pub from: NodeId,
    /// The encoded message.
    pub body: Vec<u8>,
}

/// Takes a message; its return says that the process has it, not that it acted on it.
#[tarpc::service]
pub trait Peer {
    /// Hands over one encoded message.
    async fn deliver(from: NodeId, body: Vec<u8>);
}
