//! What goes into a [`JobTable`](super::JobBook) and comes out of it.

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

/// Ties a call to its reply; chosen by the runtime.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// What happens to a job book.
#[derive(Clone, Debug)]
pub enum JobEvent {
    /// The shard is this node's: its journal was read and its snapshot is acknowledged.
    Owned {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
    },
    /// The shard is no longer this node's.
    Lost {
        /// The shard.
        shard: ShardId,
    },
    /// A configuration came into force.
    Config {
        /// The configuration.
        document: Arc<ConfigDocument>,
    },
    /// Some time passed.
    Tick,
    /// The nodes that take part, by the control stream.
    Nodes {
        /// The nodes, this one among them.
        nodes: Vec<NodeId>,
    },
    /// A submission, idempotent by its job id.
    Submit {
        /// The call.
        call: CallId,
        /// The job.
        spec: JobSpec,
    },
    /// A cancellation, idempotent.
    Cancel {
        /// The call.
        call: CallId,
        /// The job.
        job: JobId,
    },
    /// A question for a job's status.
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
    /// A message of another book.
    Message {
        /// The node that sent it.
        from: NodeId,
        /// The message.
        msg: JobMsg,
    },
    /// An entry's measurements of a service class.
    Load {
        /// The entry.
        from: NodeId,
        /// The class.
        class: ClassName,
        /// The measurements.
        load: ClassLoad,
    },
}

/// What a job book asks its runtime to do.
#[derive(Clone, Debug, PartialEq)]
pub enum JobEffect {
    /// Append the entry to the node's journal and tell when it is acknowledged.
    Journal {
        /// The shard.
        shard: ShardId,
        /// The entry.
        entry: JobEntry,
        /// To be told with [`JobEvent::Journaled`].
        ticket: Ticket,
    },
    /// Answer a call.
    Reply {
        /// The call.
        call: CallId,
        /// The answer.
        reply: JobReply,
    },
    /// Send a message to a node's rack book.
    SendToNode {
        /// The node.
        node: NodeId,
        /// The message.
        msg: NodeMsg,
    },
    /// Send a message to whoever owns a rack's shard.
    SendToRack {
        /// The shard.
        shard: ShardId,
        /// The message.
        msg: RackMsg,
    },
    /// Tell the operators.
    Alarm(JobAlarm),
}

/// An answer to a call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobReply {
    /// The job is in the journal and will end with a final state.
    Accepted {
        /// The job.
        job: JobId,
    },
    /// The cancellation is in the journal.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// Where the job stands.
    Status(JobStatus),
    /// Nothing was changed.
    Refused(JobRefusal),
    /// It isn't known whether the call took effect. Calling again is safe, since it is idempotent.
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
    /// The class answers requests.
    NotBatch,
    /// The number of tasks is out of bounds.
    BadCount {
        /// The most tasks.
        max: u32,
    },
    /// The id belongs to another job.
    OtherSpec,
    /// The id is kept for services.
    ReservedName,
    /// No VM can ever hold one of its tasks.
    NeverFits,
    /// The job isn't known.
    NoSuchJob,
    /// The shard holds as many jobs as it may.
    Full {
        /// When to come back.
        after: RetryAfter,
    },
    /// This node may not act for the job now.
    NotOwner {
        /// When to come back.
        after: RetryAfter,
    },
    /// No configuration is known yet.
    NoConfig {
        /// When to come back.
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
                write!(f, "the class answers requests; submit jobs to a batch class")
            }
            JobRefusal::BadCount { max } => {
                write!(f, "a job has 1 to {max} tasks; split larger ones into several jobs")
            }
            JobRefusal::OtherSpec => {
                write!(f, "the job id was used for another job; choose a new id")
            }
            JobRefusal::ReservedName => {
                write!(f, "job ids that start with 'service.' are kept; choose another id")
            }
            JobRefusal::NeverFits => {
                write!(f, "no VM can ever hold a task of this size; ask for less")
            }
            JobRefusal::NoSuchJob => {
                write!(f, "no such job; check the id, jobs are kept for a day after their end")
            }
            JobRefusal::Full { after } => {
                write!(f, "too many jobs are kept; come back after {after} s")
            }
            JobRefusal::NotOwner { after } => {
                write!(f, "this node can't act for the job now; come back after {after} s")
            }
            JobRefusal::NoConfig { after } => {
                write!(f, "no configuration is known yet; come back after {after} s")
            }
        }
    }
}

impl std::error::Error for JobRefusal {}

/// How many tasks of a job stand where.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobCounts {
    /// Waiting for room.
    pub queued: u32,
    /// Journalled, but not known to run.
    pub starting: u32,
    /// Running.
    pub running: u32,
    /// The answer to a start was lost; being asked about.
    pub in_doubt: u32,
    /// Being stopped.
    pub stopping: u32,
    /// Did their work.
    pub done: u32,
    /// Failed too often.
    pub parked: u32,
    /// Fit no VM.
    pub never_fits: u32,
    /// Cancelled.
    pub cancelled: u32,
}

/// Where a job stands.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// What was submitted.
    pub spec: JobSpec,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Whether all tasks are over.
    pub over: bool,
    /// How many tasks stand where.
    pub counts: JobCounts,
    /// Starts so far, first ones and repeated ones.
    pub attempts: u64,
    /// The longest that tasks have waited for room, in whole seconds, if any wait.
    pub waiting_secs: u64,
}

/// What operators should know of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobAlarm {
    /// A task failed on several healthy VMs and isn't tried again.
    TaskParked {
        /// The task.
        task: TaskId,
        /// Where it failed.
        vms: Vec<VmId>,
    },
    /// No VM can hold a job's tasks.
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
    /// A service has fewer replicas than its target needs, for want of room.
    ServiceShort {
        /// The class.
        class: ClassName,
        /// Replicas that run or start.
        has: u32,
        /// Replicas needed.
        needs: u32,
    },
    /// A service can't be run because its class's name is too long for a job id.
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
