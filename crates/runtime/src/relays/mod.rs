//! Relays: followers that forward the leader's calls to workers.
//!
//! A leader may run on a fraction of a core with a narrow link. Thousands of HTTP calls a second to hundreds of
//! workers would exceed both and delay starts by seconds.
//!
//! Each follower connects to a new leader and offers to be a relay ([`offer()`]). The leader uses as many relays as the
//! number of its workers requires, and routes each call through a relay or makes it directly ([`Relays`]). Only the
//! leader makes decisions. It checks its authority, and that a start is still wanted, right before it passes a call
//! on. A relay doesn't make calls that arrive late. Calls pending at a lost relay count as unanswered.

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

/// Path for relay offers.
pub(crate) const PATH: &str = "/relay";

/// Path with the query by which a VM says that its CPU share is too low for a leader.
const LOW_CPU_PATH: &str = "/relay?low-cpu=1";

/// The query of [`LOW_CPU_PATH`].
pub(crate) const LOW_CPU_QUERY: &str = "low-cpu=1";

/// Protocol name of the HTTP upgrade.
const PROTOCOL: &str = "egretlb-relay";

/// Minimum interval between frames, during which calls and reports are batched.
const FRAME_GAP: Duration = Duration::from_millis(4);

/// Maximum interval between frames of a relay in use; an empty frame is a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// How long a relay in use may send no frame before it is removed.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(500);

/// A connection with length-prefixed frames.
type Frames = Framed<Duplex, LengthDelimitedCodec>;

fn frames(stream: Duplex) -> Frames {
    Framed::new(stream, LengthDelimitedCodec::new())
}
