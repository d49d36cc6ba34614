//! One caller's request, and one sending of it.

use {
    super::{
        class::{ClassIx, QueueKey},
        fairness::MemberIx,
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

/// Where a request stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The key's owner was asked for a permit.
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
    pub(super) member: MemberIx,
    pub(super) arrived: Time,
    /// When the caller gets its answer at the latest.
    pub(super) deadline: Time,
    /// When it should have its answer: by the class's target, or earlier if the caller says so.
    pub(super) answer_by: Time,
    pub(super) idempotent: bool,
    /// The key of a non-idempotent request.
    pub(super) keyed: Option<Box<Keyed>>,
    pub(super) phase: Phase,
    pub(super) attempts: SmallVec<[AttemptId; 2]>,
    /// How often it was sent.
    pub(super) sends: u32,
    /// Whether a final answer is still owed.
    pub(super) caller_waits: bool,
    /// Whether bytes of it may have reached a backend server.
    pub(super) may_have_run: bool,
    pub(super) hedge_at: Option<Time>,
}

/// What belongs to a request with a key.
#[derive(Clone, Debug)]
pub(super) struct Keyed {
    pub(super) shard: ShardId,
    pub(super) key: RequestKey,
    pub(super) body: BodyHash,
    /// What is to be reported, once it is known.
    pub(super) outcome: Option<KeyOutcome>,
}

/// One sending of a request to a backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) class: ClassIx,
    pub(super) member: MemberIx,
    pub(super) server: ServerIx,
    pub(super) sent_at: Time,
    /// When the runtime must have told its end.
    pub(super) ends_at: Time,
    /// What it was expected to take, as charged to the member.
    pub(super) expected: Duration,
}

/// What is due at a time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timer {
    /// A waiting request can't be answered in time any more.
    GiveUp(RequestId),
    /// The caller's last moment.
    Deadline(RequestId),
    /// A second sending might help.
    Hedge(RequestId),
    /// No permit came.
    PermitWait(RequestId),
    /// The runtime owed the end of an attempt.
    AttemptEnd(AttemptId),
    /// Shares lapse.
    Lapse(ShardId),
    /// Something about a server runs out.
    Server(ServerIx),
    /// A report is to be sent again.
    Report(RequestId),
}
