//! Outgoing messages, including those to this process.

use {
    super::event::NodeEffect,
    crate::peer::PeerMessage,
    egretlb_control::Control,
    egretlb_types::{NodeId, ShardId},
    std::collections::VecDeque,
};

/// Collects a step's effects and the messages that this process sends to itself.
///
/// Messages to itself are handled within the same step, by the same code as those of peers.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub(crate) effects: Vec<NodeEffect>,
    to_self: VecDeque<PeerMessage>,
}

impl Outbox {
    /// Sends to a node; drops the message if the node isn't a member.
    pub(crate) fn send(&mut self, control: &Control, to: NodeId, message: PeerMessage) {
        if to == control.info().node {
            self.to_self.push_back(message);
            return;
        }
        let Some(info) = control.state().and_then(|state| state.member(to)) else { return };
        let addr = info.peer_addr.clone();
        self.effects.push(NodeEffect::Send { addr, message: Box::new(message) });
    }

    /// Sends to a shard's owner. Returns `false` and drops the message if there is none; senders
    /// that need an answer retry.
    pub(crate) fn send_to_owner(
        &mut self,
        control: &Control,
        shard: ShardId,
        message: PeerMessage,
    ) -> bool {
        let Some(owner) = control.owner_of(shard).map(|info| info.node) else { return false };
        self.send(control, owner, message);
        true
    }

    /// The next message to this process.
    pub(crate) fn take_to_self(&mut self) -> Option<PeerMessage> {
        self.to_self.pop_front()
    }
}
