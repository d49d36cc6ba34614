//! Relays: followers that carry the leader's calls to workers.
//!
//! Load: hundreds of workers, thousands of starts and polls a second, and one leader on a VM with a fraction of a
//! core and a thin link. Called one by one, each over HTTP, they take more than that VM has; starts that are
//! decided then wait for seconds, and work is left undone while workers stand idle.
//!
//! Each follower that reads of a new leader connects to it and offers itself ([`offer`]). The leader uses as many as
//! its workers ask for, and routes each call by way of one of them or makes it itself ([`Relays`]). It alone
//! decides, and it asks for its own authority and for what is still wanted right before it hands a call over. What
//! arrives late at a relay isn't carried out, and what a dead one had in hand counts as unanswered.

mod leader;
mod offer;

use {
    egretlb_http::Duplex,
    std::time::Duration,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

pub(crate) use self::{
    leader::{Relays, UsedRelay},
    offer::offer,
};

/// Where the leader takes offers.
pub(crate) const PATH: &str = "/relay";

/// What is spoken on the connection then.
const PROTOCOL: &str = "egretlb-relay";

/// Calls and reports are gathered for this long after a frame was sent; the first one after a pause goes at once.
const FRAME_GAP: Duration = Duration::from_millis(4);

/// A relay that is in use says at least this often that it lives.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// One that says nothing for so long is given up: it is frozen, or cut off.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(500);

/// A frame at a time, each after its length.
type Frames = Framed<Duplex, LengthDelimitedCodec>;

fn frames(stream: Duplex) -> Frames {
    Framed::new(stream, LengthDelimitedCodec::new())
}
