//! Messages on their way out, those to this very process among them.

use {
    super::event::NodeEffect,
    crate::peer::PeerMessage,
    egretlb_control::Control,
    egretlb_types::{NodeId, ShardId},
    std::collections::VecDeque,
};

/// Collects a step's effects and the messages that this process sends to itself.
///
/// A process is often the owner that it looks for. Its own messages are taken up within the same
/// step, so that no path treats itself differently from a peer.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub(crate) effects: Vec<NodeEffect>,
    to_self: VecDeque<PeerMessage>,
}

impl Outbox {
    /// Sends to a node; drops the message if the control stream doesn't know it (any more).
    pub(crate) fn send(&mut self, control: &Control, to: NodeId, message: PeerMessage) {
        if to == control.info().node {
            self.to_self.push_back(message);
            return;
        }
        let Some(info) = control.state().and_then(|state| state.member(to)) else { return };
        let addr = info.peer_addr.clone();
        self.effects.push(NodeEffect::Send { addr, message: Box::new(message) });
    }

    /// Sends to a shard's owner; drops the message if there is none. Whoever needs an answer sends
    /// again.
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

    /// The next message that this process sent to itself.
    pub(crate) fn take_own(&mut self) -> Option<PeerMessage> {
        self.to_self.pop_front()
    }
}
