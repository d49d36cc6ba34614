//! Inputs and outputs of an entry.

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

/// Options of an entry.
#[derive(Clone, Debug)]
pub struct EntryNodeOptions {
    /// Identity and addresses of the process.
    pub info: NodeInfo,
    /// Seed of the random choices, different for each process.
    pub seed: u64,
    /// Peers to request a configuration from while the log is unavailable, as `ip:port`.
    pub seeds: SmallVec<[CompactString; 4]>,
}

/// A caller's request without its body, which the runtime keeps.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerArrival {
    /// Unique id of the request.
    pub request: RequestId,
    /// The class named by the caller.
    pub class: ClassName,
    /// How long the caller waits, if it said so.
    pub deadline: Option<Duration>,
    /// The caller's validated idempotency key.
    pub key: Option<CompactString>,
    /// The hash of the body.
    pub body: BodyHash,
    /// The size of the body in bytes.
    pub body_size: u64,
}

/// An input of an entry.
#[derive(Clone, Debug)]
pub enum EntryNodeEvent {
    /// An input that any daemon handles.
    Node(NodeEvent),
    /// A request arrived with its complete body.
    Arrived(CallerArrival),
    /// The caller closed its connection.
    CallerGone {
        /// The request of the caller.
        request: RequestId,
    },
    /// An attempt ended; sent once for each [`RequestEffect::Send`].
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// Its result.
        result: AttemptResult,
    },
}

/// An output of an entry.
#[derive(Clone, Debug)]
pub enum EntryNodeEffect {
    /// An output that any daemon has.
    Node(NodeEffect),
    /// An action for a request.
    Request(RequestEffect),
}

/// An action for a request.
#[derive(Clone, Debug)]
pub enum RequestEffect {
    /// Send the request to a backend server, on a connection without other requests in flight.
    Send {
        /// The request.
        request: RequestId,
        /// The id of this attempt.
        attempt: AttemptId,
        /// The backend server's address, as `ip:port`.
        addr: CompactString,
        /// The attempt fails after this time.
        timeout: Duration,
    },
    /// Cancel the attempt by closing its connection.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Send the final answer to the caller.
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
