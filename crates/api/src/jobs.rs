//! Messages to submit, query and cancel jobs.

use {
    compact_str::CompactString,
    egretlb_types::{ClassName, JobId, Resources, RetryAfter},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Maximum number of tasks of a job, so that a submission fits a log record.
pub const MAX_TASKS_PER_JOB: u32 = 10_000;

/// Maximum length of a command, in bytes. It is sent with each start of a task.
pub const MAX_COMMAND_BYTES: usize = 1_024;

/// Submission of a job of one or more tasks.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitJob {
    /// Id chosen by the submitter. Submitting the same job again has no further effect.
    pub job: JobId,
    /// Class; must be a batch class.
    pub class: ClassName,
    /// Number of tasks, from 1 to [`MAX_TASKS_PER_JOB`]; they are numbered from 0.
    pub tasks: u32,
    /// Command of each task, at most [`MAX_COMMAND_BYTES`].
    pub command: CompactString,
    /// Resources of each task, if they differ from those of the class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resources: Option<Resources>,
}

/// Answer to a submission.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum SubmitAnswer {
    /// The job is stored in the log, by this or an earlier submission.
    Accepted,
    /// A job with this id but other contents exists; nothing was changed.
    Conflict,
    /// The class isn't in the configuration in force, or isn't a batch class.
    UnknownClass,
    /// A task is too large for every VM; the job was rejected.
    NeverFits,
    /// The submission exceeds a limit; it was rejected.
    Invalid {
        /// What is wrong and how to fix it.
        message: CompactString,
    },
    /// The job's owner or the log couldn't be reached in time. The job may or may not be in the log;
    /// submit the same job again.
    Unavailable {
        /// When to retry.
        retry_after: RetryAfter,
    },
}

impl SubmitAnswer {
    /// HTTP status code of the answer.
    pub fn status_code(&self) -> u16 {
        match self {
            SubmitAnswer::Accepted => 200,
            SubmitAnswer::Conflict => 409,
            SubmitAnswer::UnknownClass | SubmitAnswer::NeverFits | SubmitAnswer::Invalid { .. } => {
                422
            }
            SubmitAnswer::Unavailable { .. } => 503,
        }
    }
}

/// State of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Some tasks are queued or running.
    Active,
    /// All tasks are done.
    Done,
    /// All tasks have ended, and some failed or are parked.
    Failed,
    /// Cancelled.
    Cancelled,
}

impl fmt::Display for JobState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            JobState::Active => "active",
            JobState::Done => "done",
            JobState::Failed => "failed",
            JobState::Cancelled => "cancelled",
        })
    }
}

/// Number of tasks of a job in each state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskCounts {
    /// Waiting for a VM, evicted ones included.
    pub queued: u32,
    /// Being started, not yet confirmed by the VM.
    pub starting: u32,
    /// Running.
    pub running: u32,
    /// Done.
    pub done: u32,
    /// Failed and not retried any more.
    pub failed: u32,
    /// Parked, since they failed on several healthy VMs or fit no VM.
    pub parked: u32,
    /// Cancelled.
    pub cancelled: u32,
}

impl fmt::Display for TaskCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "queued {}, starting {}, running {}, done {}, failed {}, parked {}, cancelled {}",
            self.queued,
            self.starting,
            self.running,
            self.done,
            self.failed,
            self.parked,
            self.cancelled
        )
    }
}

/// Status of a job, from its owner.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: JobId,
    /// Class of the job.
    pub class: ClassName,
    /// State of the job.
    pub state: JobState,
    /// Numbers of tasks by state.
    pub tasks: TaskCounts,
}

/// Answer to a query for a job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum JobAnswer {
    /// The job exists.
    Found {
        /// Its status.
        job: JobStatus,
    },
    /// The job's owner knows no such job: it was never accepted, or was removed some time after its
    /// end.
    NotFound,
    /// The job's owner couldn't be reached in time.
    Unavailable {
        /// When to retry.
        retry_after: RetryAfter,
    },
}

impl JobAnswer {
    /// HTTP status code of the answer.
    pub fn status_code(&self) -> u16 {
        match self {
            JobAnswer::Found { .. } => 200,
            JobAnswer::NotFound => 404,
            JobAnswer::Unavailable { .. } => 503,
        }
    }
}

/// Answer to a cancellation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum CancelAnswer {
    /// The cancellation is stored in the log: no more tasks start, and running ones are stopped.
    /// Cancelling again gives the same answer.
    Cancelled,
    /// All tasks had ended before.
    Ended,
    /// The job's owner knows no such job.
    NotFound,
    /// The job's owner or the log couldn't be reached in time; cancel again.
    Unavailable {
        /// When to retry.
        retry_after: RetryAfter,
    },
}

impl CancelAnswer {
    /// HTTP status code of the answer.
    pub fn status_code(&self) -> u16 {
        match self {
            CancelAnswer::Cancelled | CancelAnswer::Ended => 200,
            CancelAnswer::NotFound => 404,
            CancelAnswer::Unavailable { .. } => 503,
        }
    }
}
