//! The messages between egretlb's processes.

use {
    egretlb_control::{ConfigVersion, Heartbeat},
    egretlb_requests::{
        RequestId,
        keys::{OutcomeReport, Permit, PermitRequest},
        shares::{ShareGrant, ShareRequest},
    },
    egretlb_tasks::{
        CallId, JobReply, JobSpec,
        msg::{JobMsg, NodeMsg, RackMsg},
    },
    egretlb_types::{ClassLoad, ClassName, JobId, ShardId},
    serde::{Deserialize, Serialize},
};

/// The layout of [`PeerMessage`], the first byte of each encoded message. During a rolling update
/// two layouts are in use; a message of another layout is dropped, as if it had been lost.
const LAYOUT: u8 = 1;

/// What one process tells another. Every message may be lost, doubled, late or out of order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Who was heard when.
    Heartbeat(Heartbeat),
    /// Asks for the configuration in force.
    ConfigRequest,
    /// The configuration in force at the sender.
    Config {
        /// Its version.
        version: ConfigVersion,
        /// Its document.
        document: String,
    },
    /// An entry asks a key's owner for a permit.
    PermitRequest(PermitRequest),
    /// The answer.
    Permit {
        /// The entry's request.
        request: RequestId,
        /// The answer.
        permit: Permit,
    },
    /// An entry reports what became of a permitted request.
    Outcome(OutcomeReport),
    /// The report is in the log.
    OutcomeRecorded {
        /// The entry's request.
        request: RequestId,
    },
    /// An entry asks a rack's owner for shares of its backend servers.
    ShareRequest(ShareRequest),
    /// The answer.
    Shares(ShareGrant),
    /// Others go short: ask again soon.
    RecallShares {
        /// The rack shard.
        shard: ShardId,
    },
    /// An entry's measurements of a service class, to its shard's owner.
    Load {
        /// The class.
        class: ClassName,
        /// The measurements.
        load: ClassLoad,
    },
    /// To a scheduler, whatever it owns.
    ToNode(NodeMsg),
    /// To the owner of a rack's shard.
    ToRack {
        /// The shard.
        shard: ShardId,
        /// The message.
        msg: RackMsg,
    },
    /// To the owner of a job's shard.
    ToJob {
        /// The shard.
        shard: ShardId,
        /// The message.
        msg: JobMsg,
    },
    /// An operator's call, passed on to the job's owner.
    JobCall {
        /// The sender's number of the call.
        call: CallId,
        /// The call.
        request: JobRequest,
    },
    /// The answer.
    JobReply {
        /// The receiver's number of the call.
        call: CallId,
        /// The answer.
        reply: JobReply,
    },
}

/// An operator's call about one job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobRequest {
    /// Submit it.
    Submit(JobSpec),
    /// Cancel it.
    Cancel(JobId),
    /// Say where it stands.
    Status(JobId),
}

impl JobRequest {
    /// The job.
    pub fn job(&self) -> &JobId {
        match self {
            JobRequest::Submit(spec) => &spec.job,
            JobRequest::Cancel(job) | JobRequest::Status(job) => job,
        }
    }
}

impl PeerMessage {
    /// The message as bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Writing to a growing buffer can't fail for types without maps of unknown length.
        postcard::to_extend(self, vec![LAYOUT]).unwrap_or_default()
    }

    /// Reads a message; `None` for one of another layout or a broken one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (layout, rest) = bytes.split_first()?;
        (*layout == LAYOUT).then(|| postcard::from_bytes(rest).ok())?
    }
}
