//! What an entry is told and what it asks its runtime to do.

use {
    crate::{
        ids::{AttemptId, BodyHash, RequestId},
        keys::{OutcomeReport, Permit, PermitRequest, RecordedAnswer},
        shares::{ShareGrant, ShareRequest},
    },
    compact_str::CompactString,
    egretlb_types::{
        ClassLoad, ClassName, ConfigDocument, Epoch, NodeId, NotRunReason, Ran, RequestKey,
        RetryAfter, ShardId, Time, VmId, VmRecord,
    },
    std::{sync::Arc, time::Duration},
};

/// A caller's request, without its body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// The request's number, new for each request.
    pub request: RequestId,
    /// The class that the caller named.
    pub class: ClassName,
    /// How long the caller will still wait, if it said so.
    pub deadline: Option<Duration>,
    /// The caller's idempotency key, if it sent one.
    pub key: Option<RequestKey>,
    /// The hash of what is to be run.
    pub body: BodyHash,
    /// The size of the body that the runtime holds, in bytes.
    pub body_size: u64,
}

/// What became of one sending to a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// The answer came whole, to the last byte that its headers promised.
    Complete {
        /// The HTTP status.
        status: u16,
        /// For a request with a key, the answer's body if it has at most
        /// [`crate::MAX_RECORDED_BODY_BYTES`] bytes.
        recorded_body: Option<Vec<u8>>,
    },
    /// No byte of the request left this process: the connection couldn't be opened.
    NotSent,
    /// Bytes may have left, and no answer came: a reset, a timeout, a cancelled attempt.
    Failed,
    /// Part of an answer came.
    Truncated,
    /// The backend server says that it didn't run the request.
    Declined {
        /// Whether it declined because it is leaving, rather than for want of room.
        draining: bool,
    },
}

/// Who owns a shard, as the control stream has it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardOwner {
    /// The shard.
    pub shard: ShardId,
    /// Its owner.
    pub node: NodeId,
    /// The owner's epoch.
    pub epoch: Epoch,
}

/// What the entry is told.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A request arrived with its whole body.
    Arrived(Arrival),
    /// The caller closed its connection before its answer was whole.
    CallerGone {
        /// The request.
        request: RequestId,
    },
    /// A configuration came into force.
    Config {
        /// The whole configuration.
        document: Arc<ConfigDocument>,
    },
    /// Owners of shards as they now are; shards not named are unchanged.
    Owners {
        /// The owners.
        owners: Vec<ShardOwner>,
    },
    /// The platform's list of VMs, whole; it lags.
    Vms {
        /// The VMs.
        vms: Vec<VmRecord>,
    },
    /// A grantor answered an ask for shares.
    SharesGranted {
        /// The grant.
        grant: ShareGrant,
    },
    /// A grantor would like to have shares back for others: ask again soon.
    SharesRecalled {
        /// The shard.
        shard: ShardId,
    },
    /// A key's owner answered the ask for a permit, or couldn't be reached.
    PermitAnswer {
        /// The request that the permit is for.
        request: RequestId,
        /// The answer; [`Permit::Unavailable`] if the owner certainly never got the ask.
        permit: Permit,
    },
    /// An attempt ended. The runtime tells this exactly once for each [`EntryEffect::Send`], also
    /// after [`EntryEffect::CancelAttempt`].
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        result: AttemptResult,
    },
    /// The key's owner has the outcome.
    ReportConfirmed {
        /// The request whose outcome was reported.
        request: RequestId,
    },
    /// Time passed. Some ten times a second, and at [`crate::Entry::wake_at`].
    Tick,
    /// Shut down gracefully: take nothing new, finish what is in progress.
    Shutdown,
}

/// Why a request that may have run has no answer of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ErrorReason {
    /// No answer came by the caller's deadline or within [`crate::MAX_ATTEMPT_DURATION`].
    TimedOut,
    /// The connection to the backend server broke, or its answer was cut off.
    Broken,
    /// An earlier request with this key may have run, and nobody can tell.
    KeyInDoubt,
}

/// The final answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Pass on the whole answer of the attempt; it ran.
    Forward {
        /// The attempt whose answer it is.
        attempt: AttemptId,
    },
    /// The answer recorded for the key; it ran before, and not again.
    Recorded(RecordedAnswer),
    /// Refused: it certainly didn't run.
    Refuse {
        /// Why.
        reason: NotRunReason,
        /// When to come back.
        retry_after: RetryAfter,
    },
    /// It was sent and no whole answer came.
    Error {
        /// Why.
        reason: ErrorReason,
        /// What is known about its having run.
        ran: Ran,
        /// When asking again makes sense, for a request that may be sent again.
        retry_after: RetryAfter,
    },
}

impl Verdict {
    /// What the caller is told in `Egretlb-Ran`.
    pub fn ran(&self) -> Ran {
        match self {
            Verdict::Forward { .. } | Verdict::Recorded(_) => Ran::Yes,
            Verdict::Refuse { .. } => Ran::No,
            Verdict::Error { ran, .. } => *ran,
        }
    }
}

/// What the entry asks its runtime to do.
#[derive(Clone, Debug)]
pub enum EntryEffect {
    /// Send the request to the backend server, over a connection that no other exchange uses.
    Send {
        /// The request.
        request: RequestId,
        /// The number of this sending.
        attempt: AttemptId,
        /// The backend server's VM.
        vm: VmId,
        /// Its address, as `ip:port`.
        addr: CompactString,
        /// After this the attempt has failed, though the caller's deadline may be earlier: until
        /// then its answer still tells that the server's slot is free.
        timeout: Duration,
        /// What is left of the caller's deadline, to be passed on to the backend server.
        deadline: Duration,
        /// Asked again just before the first byte leaves: if it is later, the share may have
        /// lapsed meanwhile, and the attempt ends with [`AttemptResult::NotSent`].
        send_by: Time,
    },
    /// Close the attempt's connection; never use it again.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Give the caller its final answer now. Each request gets exactly one.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        verdict: Verdict,
    },
    /// The caller has gone and nothing of the request is needed any more: drop its body.
    Forget {
        /// The request.
        request: RequestId,
    },
    /// Ask a key's owner for a permit.
    RequestPermit {
        /// The owner.
        node: NodeId,
        /// The ask.
        request: PermitRequest,
    },
    /// Tell a key's owner what became of a permitted request; sent again until
    /// [`EntryEvent::ReportConfirmed`].
    ReportOutcome {
        /// The owner.
        node: NodeId,
        /// The report.
        report: OutcomeReport,
    },
    /// Ask a rack shard's owner for shares; an ask that wants nothing gives them back.
    RequestShares {
        /// The owner.
        node: NodeId,
        /// The ask.
        request: ShareRequest,
    },
    /// Tell the owner of the class's shard what load was measured.
    ReportLoad {
        /// The class.
        class: ClassName,
        /// The measurements.
        load: ClassLoad,
    },
    /// After [`EntryEvent::Shutdown`]: nothing is in progress and no report is outstanding.
    Drained,
}
