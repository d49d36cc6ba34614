//! Events and effects of an entry.

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
    /// Id of the request, unique.
    pub request: RequestId,
    /// Class named by the caller.
    pub class: ClassName,
    /// Time until the caller's deadline, if it sent one.
    pub deadline: Option<Duration>,
    /// Idempotency key, if the caller sent one.
    pub key: Option<RequestKey>,
    /// Hash of the request.
    pub body: BodyHash,
    /// Size of the body, in bytes; the runtime holds it.
    pub body_size: u64,
}

/// Result of one attempt to send a request to a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// A complete answer.
    Complete {
        /// HTTP status.
        status: u16,
        /// For a request with a key, the answer's body if it has at most
        /// [`crate::MAX_RECORDED_BODY_BYTES`] bytes.
        recorded_body: Option<Vec<u8>>,
    },
    /// The connection couldn't be opened; no byte of the request was sent.
    NotSent,
    /// Bytes may have been sent, and no answer came: a reset, a timeout or a cancelled attempt.
    Failed,
    /// The answer ended early.
    Truncated,
    /// The backend server states that it didn't run the request.
    Declined {
        /// Whether it declined because it is draining, not because it is full.
        draining: bool,
    },
}

/// Owner of a shard, from the control stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardOwner {
    /// The shard.
    pub shard: ShardId,
    /// Node that owns it.
    pub node: NodeId,
    /// Epoch of the ownership.
    pub epoch: Epoch,
}

/// Input of an [`crate::Entry`].
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A request arrived with its whole body.
    Arrived(Arrival),
    /// The caller closed its connection before it had its complete answer.
    CallerGone {
        /// The request.
        request: RequestId,
    },
    /// A configuration came into force.
    Config {
        /// The configuration.
        document: Arc<ConfigDocument>,
    },
    /// Changed owners; shards not listed keep theirs.
    Owners {
        /// The owners.
        owners: Vec<ShardOwner>,
    },
    /// The platform's complete list of VMs, which lags.
    Vms {
        /// The VMs.
        vms: Vec<VmRecord>,
    },
    /// A grantor answered a share request.
    SharesGranted {
        /// The grant.
        grant: ShareGrant,
    },
    /// A grantor needs shares for others: a new request is due.
    SharesRecalled {
        /// The shard.
        shard: ShardId,
    },
    /// A key's owner answered a permit request, or couldn't be reached.
    PermitAnswer {
        /// The request that the permit is for.
        request: RequestId,
        /// The answer; [`Permit::Unavailable`] if the request certainly never reached the owner.
        permit: Permit,
    },
    /// An attempt ended. Reported exactly once for each [`EntryEffect::Send`], also after
    /// [`EntryEffect::CancelAttempt`].
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// Its result.
        result: AttemptResult,
    },
    /// The key's owner has recorded the outcome.
    ReportConfirmed {
        /// The request whose outcome was reported.
        request: RequestId,
    },
    /// Time passed. Expected about ten times a second, and at [`crate::Entry::wake_at`].
    Tick,
    /// Shut down gracefully: refuse new requests and finish those in progress.
    Shutdown,
}

/// Why a request that may have run has no answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ErrorReason {
    /// No answer by the caller's deadline or within [`crate::MAX_ATTEMPT_DURATION`].
    TimedOut,
    /// The connection to the backend server broke, or its answer was truncated.
    Broken,
    /// An earlier request with this key may have run.
    KeyInDoubt,
}

/// The final answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Forward the attempt's complete answer; the request ran.
    Forward {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Return the answer recorded for the key; the earlier request ran.
    Recorded(RecordedAnswer),
    /// Refuse the request; it didn't run.
    Refuse {
        /// Reason of the refusal.
        reason: NotRunReason,
        /// When the caller may try again.
        retry_after: RetryAfter,
    },
    /// The request was sent and has no complete answer.
    Error {
        /// Reason of the error.
        reason: ErrorReason,
        /// What is known about whether it ran.
        ran: Ran,
        /// When the caller may try again, if the request may be sent again.
        retry_after: RetryAfter,
    },
}

impl Verdict {
    /// Value of the `Egretlb-Ran` header.
    pub fn ran(&self) -> Ran {
        match self {
            Verdict::Forward { .. } | Verdict::Recorded(_) => Ran::Yes,
            Verdict::Refuse { .. } => Ran::No,
            Verdict::Error { ran, .. } => *ran,
        }
    }
}

/// Output of an [`crate::Entry`], performed by the runtime.
#[derive(Clone, Debug)]
pub enum EntryEffect {
    /// Send the request to the backend server, over a connection that no other exchange uses.
    Send {
        /// The request.
        request: RequestId,
        /// Id of the attempt.
        attempt: AttemptId,
        /// The backend server's VM.
        vm: VmId,
        /// Address of the server, as `ip:port`.
        addr: CompactString,
        /// Timeout of the attempt. May be later than the caller's deadline: until then an answer
        /// shows that the server's slot is free.
        timeout: Duration,
        /// Time until the caller's deadline, forwarded to the backend server.
        deadline: Duration,
        /// To be checked just before the first byte is sent: after this time the share may have
        /// expired, and the attempt ends with [`AttemptResult::NotSent`].
        send_by: Time,
    },
    /// Close the attempt's connection and never reuse it.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Send the caller its final answer; each request gets exactly one.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        verdict: Verdict,
    },
    /// The caller has disconnected and the request's body isn't needed any more.
    Forget {
        /// The request.
        request: RequestId,
    },
    /// Request a permit from a key's owner.
    RequestPermit {
        /// The owner.
        node: NodeId,
        /// The request.
        request: PermitRequest,
    },
    /// Report the outcome of a request with a permit to its key's owner; repeated until
    /// [`EntryEvent::ReportConfirmed`].
    ReportOutcome {
        /// The owner.
        node: NodeId,
        /// The report.
        report: OutcomeReport,
    },
    /// Request shares from a rack shard's owner; an empty request returns them.
    RequestShares {
        /// The owner.
        node: NodeId,
        /// The request.
        request: ShareRequest,
    },
    /// Report the measured load to the owner of the class's shard.
    ReportLoad {
        /// The class.
        class: ClassName,
        /// The measurements.
        load: ClassLoad,
    },
    /// After [`EntryEvent::Shutdown`]: nothing is in progress and no report is pending.
    Drained,
}
