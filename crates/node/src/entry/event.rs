//! What happens to an entry, and what it wants done.

use {
    crate::node::{NodeEffect, NodeEvent},
    compact_str::CompactString,
    egretlb_control::NodeInfo,
    egretlb_requests::{
        AttemptId, BodyHash, RequestId,
        entry::{AttemptResult, Verdict},
    },
    egretlb_types::ClassName,
    smallvec::SmallVec,
    std::time::Duration,
};

/// What an entry is told at its start.
#[derive(Clone, Debug)]
pub struct EntryNodeOptions {
    /// The process.
    pub info: NodeInfo,
    /// Spreads what different processes do at random.
    pub seed: u64,
    /// Peers to ask for a configuration while the log is out of reach, as `ip:port`.
    pub seeds: SmallVec<[CompactString; 4]>,
}

/// A caller's request, without its body, which the runtime keeps.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerArrival {
    /// The request's number, new for each request.
    pub request: RequestId,
    /// The class that the caller named.
    pub class: ClassName,
    /// How long the caller will still wait, if it said so.
    pub deadline: Option<Duration>,
    /// The text of the caller's idempotency key, checked.
    pub key: Option<CompactString>,
    /// The hash of what is to be run.
    pub body: BodyHash,
    /// The size of the body in bytes.
    pub body_size: u64,
}

/// What happens to an entry.
#[derive(Clone, Debug)]
pub enum EntryNodeEvent {
    /// What may happen to any daemon.
    Node(NodeEvent),
    /// A request arrived with its whole body.
    Arrived(CallerArrival),
    /// The caller closed its connection.
    CallerGone {
        /// Its request.
        request: RequestId,
    },
    /// A sending to a backend server ended; told once for each [`RequestEffect::Send`].
    AttemptEnded {
        /// Which.
        attempt: AttemptId,
        /// How.
        result: AttemptResult,
    },
}

/// What an entry wants done.
#[derive(Clone, Debug)]
pub enum EntryNodeEffect {
    /// What any daemon may want.
    Node(NodeEffect),
    /// About one request.
    Request(RequestEffect),
}

/// What is to be done about one request.
#[derive(Clone, Debug)]
pub enum RequestEffect {
    /// Send it to a backend server, over a connection that no other exchange uses.
    Send {
        /// The request.
        request: RequestId,
        /// The number of this sending.
        attempt: AttemptId,
        /// The backend server's address, as `ip:port`.
        addr: CompactString,
        /// After this the sending has failed.
        timeout: Duration,
    },
    /// Close the sending's connection and never use it again.
    CancelAttempt {
        /// Which.
        attempt: AttemptId,
    },
    /// Give the caller its final answer now.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        verdict: Verdict,
    },
    /// Drop the request's body.
    Forget {
        /// The request.
        request: RequestId,
    },
}

impl From<NodeEvent> for EntryNodeEvent {
    fn from(event: NodeEvent) -> Self {
        EntryNodeEvent::Node(event)
    }
}
