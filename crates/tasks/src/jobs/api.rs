//! Events, effects and replies of a [`JobTable`](super::JobTable).

use {
    super::record::{JobEntry, JobSpec},
    crate::msg::{JobMsg, NodeMsg, RackMsg},
    egretlb_types::{
        ClassLoad, ClassName, ConfigDocument, Epoch, JobId, NodeId, RetryAfter, ShardId, TaskId,
        Ticket, VmId,
    },
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// Matches a reply to its call; assigned by the runtime.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// Input of a job table.
#[derive(Clone, Debug)]
pub enum JobEvent {
    /// This node owns the shard: its journal is replayed and its snapshot acknowledged.
    Owned {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
    },
    /// This node no longer owns the shard.
    Lost {
        /// The shard.
        shard: ShardId,
    },
    /// A new configuration is in force.
    Config {
        /// The configuration.
        document: Arc<ConfigDocument>,
    },
    /// Periodic timer.
    Tick,
    /// The live nodes, from the control stream.
    Nodes {
        /// The nodes, including this one.
        nodes: Vec<NodeId>,
    },
    /// Submit a job; idempotent by job id.
    Submit {
        /// The call.
        call: CallId,
        /// The job.
        spec: JobSpec,
    },
    /// Cancel a job; idempotent.
    Cancel {
        /// The call.
        call: CallId,
        /// The job.
        job: JobId,
    },
    /// Query a job's status.
    Status {
        /// The call.
        call: CallId,
        /// The job.
        job: JobId,
    },
    /// A journal entry is acknowledged.
    Journaled {
        /// The entry's ticket.
        ticket: Ticket,
    },
    /// A message from a rack table.
    Message {
        /// The sending node.
        from: NodeId,
        /// The message.
        msg: JobMsg,
    },
    /// Load of a service class, measured by an entry.
    Load {
        /// The entry.
        from: NodeId,
        /// The class.
        class: ClassName,
        /// The measurements.
        load: ClassLoad,
    },
}

/// Output of a job table, performed by the runtime.
#[derive(Clone, Debug, PartialEq)]
pub enum JobEffect {
    /// Append the entry to the node's journal.
    Journal {
        /// The shard.
        shard: ShardId,
        /// The entry.
        entry: JobEntry,
        /// Returned by [`JobEvent::Journaled`] on acknowledgement.
        ticket: Ticket,
    },
    /// Answer a call.
    Reply {
        /// The call.
        call: CallId,
        /// The answer.
        reply: JobReply,
    },
    /// Send a message to a node's rack table.
    SendToNode {
        /// The node.
        node: NodeId,
        /// The message.
        msg: NodeMsg,
    },
    /// Send a message to the owner of a rack's shard.
    SendToRack {
        /// The shard.
        shard: ShardId,
        /// The message.
        msg: RackMsg,
    },
    /// Notify the operators.
    Alarm(JobAlarm),
}

/// Reply to a call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobReply {
    /// The job is journalled and will reach a final state.
    Accepted {
        /// The job.
        job: JobId,
    },
    /// The cancellation is journalled.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// The job's status.
    Status(JobStatus),
    /// The call was refused and changed nothing.
    Refused(JobRefusal),
    /// The outcome is unknown. Calls are idempotent, so the caller may retry.
    AskAgain {
        /// When.
        after: RetryAfter,
    },
}

/// Why a call was refused.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobRefusal {
    /// The class isn't in the configuration.
    UnknownClass,
    /// The class is a service class.
    NotBatch,
    /// The number of tasks is out of bounds.
    BadCount {
        /// Maximum number of tasks.
        max: u32,
    },
    /// The id belongs to another job.
    OtherSpec,
    /// The id is reserved for services.
    ReservedName,
    /// No VM is large enough for one of its tasks.
    NeverFits,
    /// The job doesn't exist.
    NoSuchJob,
    /// The shard holds the maximum number of jobs.
    Full {
        /// When to retry.
        after: RetryAfter,
    },
    /// This node doesn't own the job's shard now.
    NotOwner {
        /// When to retry.
        after: RetryAfter,
    },
    /// No configuration is known yet.
    NoConfig {
        /// When to retry.
        after: RetryAfter,
    },
}

impl fmt::Display for JobRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JobRefusal::UnknownClass => {
                write!(f, "unknown class; check its name with `egretlb config show`")
            }
            JobRefusal::NotBatch => {
                write!(f, "the class is a service class; submit jobs to a batch class")
            }
            JobRefusal::BadCount { max } => {
                write!(f, "a job has 1 to {max} tasks; split larger ones into several jobs")
            }
            JobRefusal::OtherSpec => {
                write!(f, "the job id was used for another job; choose a new id")
            }
            JobRefusal::ReservedName => {
                write!(f, "job ids that start with 'service.' are reserved; choose another id")
            }
            JobRefusal::NeverFits => {
                write!(f, "no VM is large enough for a task of this size; request fewer resources")
            }
            JobRefusal::NoSuchJob => {
                write!(f, "no such job; check the id, jobs are kept for a day after their end")
            }
            JobRefusal::Full { after } => {
                write!(f, "the shard holds too many jobs; retry after {after} s")
            }
            JobRefusal::NotOwner { after } => {
                write!(f, "this node doesn't own the job now; retry after {after} s")
            }
            JobRefusal::NoConfig { after } => {
                write!(f, "no configuration is known yet; retry after {after} s")
            }
        }
    }
}

impl std::error::Error for JobRefusal {}

/// Number of a job's tasks in each state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobCounts {
    /// Waiting for placement.
    pub queued: u32,
    /// Journalled, but not known to run.
    pub starting: u32,
    /// Running.
    pub running: u32,
    /// Started without an answer; the outcome is being resolved.
    pub unconfirmed: u32,
    /// Being stopped.
    pub stopping: u32,
    /// Completed.
    pub done: u32,
    /// Parked after too many failures.
    pub parked: u32,
    /// Too large for any VM.
    pub never_fits: u32,
    /// Cancelled.
    pub cancelled: u32,
}

/// Status of a job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The submission.
    pub spec: JobSpec,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Whether all tasks have ended.
    pub over: bool,
    /// Number of tasks in each state.
    pub counts: JobCounts,
    /// Number of starts, including restarts.
    pub attempts: u64,
    /// Longest current wait for placement, in whole seconds.
    pub waiting_secs: u64,
}

/// Conditions reported to operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobAlarm {
    /// A task failed on several healthy VMs and isn't retried.
    TaskParked {
        /// The task.
        task: TaskId,
        /// Where it failed.
        vms: Vec<VmId>,
    },
    /// No VM is large enough for a job's tasks.
    JobNeverFits {
        /// The job.
        job: JobId,
    },
    /// An attempt was lost with its VM.
    AttemptLost {
        /// The task.
        task: TaskId,
        /// The VM.
        vm: VmId,
    },
    /// A service has fewer replicas than its target needs, for lack of free capacity.
    ServiceShort {
        /// The class.
        class: ClassName,
        /// Replicas that run or start.
        has: u32,
        /// Replicas needed.
        needs: u32,
    },
    /// A service can't run because its class name is too long for a job id.
    ServiceNameTooLong {
        /// The class.
        class: ClassName,
    },
}

impl fmt::Display for JobAlarm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JobAlarm::TaskParked { task, vms } => {
                write!(f, "event=task_parked task={task} vms={}", vms.len())
            }
            JobAlarm::JobNeverFits { job } => write!(f, "event=job_never_fits job={job}"),
            JobAlarm::AttemptLost { task, vm } => {
                write!(f, "event=attempt_lost task={task} vm={vm}")
            }
            JobAlarm::ServiceShort { class, has, needs } => {
                write!(f, "event=service_short class={class} has={has} needs={needs}")
            }
            JobAlarm::ServiceNameTooLong { class } => {
                write!(f, "event=service_name_too_long class={class}")
            }
        }
    }
}
