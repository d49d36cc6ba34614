//! The RPC service between processes.

use egretlb_types::NodeId;

/// A received message, not yet decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Received {
    /// The node that claims to have sent it.
    pub from: NodeId,
    /// The encoded message.
    pub body: Vec<u8>,
}

/// Receives messages; a return confirms that the message was received, not that it was handled.
#[tarpc::service]
pub trait Peer {
    /// Delivers one encoded message.
    async fn deliver(from: NodeId, body: Vec<u8>);
}
