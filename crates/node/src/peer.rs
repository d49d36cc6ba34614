//! Messages between the processes of the system.

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

/// Encoding version of [`PeerMessage`], the first byte of each encoded message. Messages of another
/// version, sent during a rolling update, are dropped.
const ENCODING_VERSION: u8 = 1;

/// A message between processes. Messages may be lost, repeated, delayed or reordered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Shows that the sender is alive, and reports its last contact with the schedulers.
    Heartbeat(Heartbeat),
    /// Requests the configuration in force.
    ConfigRequest,
    /// The configuration in force at the sender.
    Config {
        /// Its version.
        version: ConfigVersion,
        /// Its document.
        document: String,
    },
    /// Requests a permit from the key's owner. Sent by an entry.
    PermitRequest(PermitRequest),
    /// The answer to [`PeerMessage::PermitRequest`].
    Permit {
        /// The request id, as in the permit request.
        request: RequestId,
        /// The permit.
        permit: Permit,
    },
    /// Reports the outcome of a permitted request. Sent by an entry.
    Outcome(OutcomeReport),
    /// The owner has journalled the outcome.
    OutcomeRecorded {
        /// The request id, as in the report.
        request: RequestId,
    },
    /// Requests shares of a rack's backend servers from the rack's owner. Sent by an entry.
    ShareRequest(ShareRequest),
    /// The answer to [`PeerMessage::ShareRequest`].
    Shares(ShareGrant),
    /// Tells an entry that other entries lack shares, so that it requests its shares again soon and
    /// can be granted fewer. Sent by the rack's owner.
    RecallShares {
        /// The rack's shard.
        shard: ShardId,
    },
    /// An entry's load measurements of a service class, for the owner of the class's shard.
    Load {
        /// The class.
        class: ClassName,
        /// The measurements.
        load: ClassLoad,
    },
    /// A message to a scheduler that doesn't concern one of its shards.
    ToNode(NodeMsg),
    /// A message to the owner of a rack's shard.
    ToRack {
        /// The shard.
        shard: ShardId,
        /// The message.
        msg: RackMsg,
    },
    /// A message to the owner of a job's shard.
    ToJob {
        /// The shard.
        shard: ShardId,
        /// The message.
        msg: JobMsg,
    },
    /// An operator's call, forwarded to the job's owner.
    JobCall {
        /// The caller's id for the call, returned with the answer.
        call: CallId,
        /// The call.
        request: JobRequest,
    },
    /// The answer to [`PeerMessage::JobCall`].
    JobReply {
        /// The caller's id for the call.
        call: CallId,
        /// The answer.
        reply: JobReply,
    },
}

/// An operator's call about one job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobRequest {
    /// Submit the job.
    Submit(JobSpec),
    /// Cancel the job.
    Cancel(JobId),
    /// Return the job's status.
    Status(JobId),
}

impl JobRequest {
    /// The id of the job.
    pub fn job(&self) -> &JobId {
        match self {
            JobRequest::Submit(spec) => &spec.job,
            JobRequest::Cancel(job) | JobRequest::Status(job) => job,
        }
    }
}

impl PeerMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // Can't fail: the length of every sequence and map is known.
        postcard::to_extend(self, vec![ENCODING_VERSION]).unwrap_or_default()
    }

    /// Decodes a message; `None` if it is invalid or has another encoding version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (version, rest) = bytes.split_first()?;
        (*version == ENCODING_VERSION).then(|| postcard::from_bytes(rest).ok())?
    }
}
