//! State of a caller's request and of an attempt to send it.

use {
    super::{
        class::{ClassIx, QueueKey},
        fairness::OrganisationIx,
        servers::ServerIx,
    },
    crate::{
        ids::{AttemptId, BodyHash, RequestId},
        keys::KeyOutcome,
    },
    egretlb_types::{RequestKey, ShardId, Time},
    smallvec::SmallVec,
    std::time::Duration,
};

/// Phase of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// A permit was requested from the key's owner.
    AwaitsPermit,
    /// It waits for a backend server.
    Queued(QueueKey),
    /// It was sent.
    Open,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) class: ClassIx,
    pub(super) organisation: OrganisationIx,
    pub(super) arrived: Time,
    /// When the caller gets its final answer at the latest.
    pub(super) deadline: Time,
    /// End of the class's latency target, or the caller's deadline if that is earlier.
    pub(super) target_deadline: Time,
    pub(super) idempotent: bool,
    /// The key of a non-idempotent request.
    pub(super) keyed: Option<Box<Keyed>>,
    pub(super) phase: Phase,
    pub(super) attempts: SmallVec<[AttemptId; 2]>,
    /// Number of attempts so far.
    pub(super) send_count: u32,
    /// Whether a final answer is still owed.
    pub(super) caller_waits: bool,
    /// Whether bytes of it may have reached a backend server.
    pub(super) may_have_run: bool,
    pub(super) hedge_at: Option<Time>,
}

/// State of a request with a key.
#[derive(Clone, Debug)]
pub(super) struct Keyed {
    pub(super) shard: ShardId,
    pub(super) key: RequestKey,
    pub(super) body: BodyHash,
    /// The outcome to report, once known.
    pub(super) outcome: Option<KeyOutcome>,
}

/// One attempt to send a request to a backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) class: ClassIx,
    pub(super) organisation: OrganisationIx,
    pub(super) server: ServerIx,
    pub(super) sent_at: Time,
    /// When the runtime must have reported its end.
    pub(super) result_due_at: Time,
    /// Expected duration, as charged to the organisation.
    pub(super) expected: Duration,
}

/// Timers of an entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timer {
    /// A waiting request can't be answered in time any more.
    QueueDeadline(RequestId),
    /// The caller's deadline has passed.
    Deadline(RequestId),
    /// A hedge may be sent.
    Hedge(RequestId),
    /// No permit has arrived.
    PermitTimeout(RequestId),
    /// The runtime hasn't reported the end of an attempt.
    AttemptTimeout(AttemptId),
    /// The shares of a grantor expire.
    SharesExpire(ShardId),
    /// An ejection or a server's own draining notice expires.
    ServerExpiry(ServerIx),
    /// A report is to be resent.
    ResendReport(RequestId),
}
