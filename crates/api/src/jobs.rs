//! Jobs: submission, status, cancellation.

use {
    compact_str::CompactString,
    egretlb_types::{ClassName, JobId, Resources, RetryAfter},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// The most tasks of one job. A larger batch is several jobs, so that one submission fits a record
/// of the log.
pub const MAX_TASKS_PER_JOB: u32 = 10_000;

/// The longest command, in bytes. It is part of each start; what is longer belongs into a file that
/// the command names.
pub const MAX_COMMAND_BYTES: usize = 1_024;

/// Submits a job of one or more tasks.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitJob {
    /// The submitter's name for the job. Submitting the same job again has no further effect.
    pub job: JobId,
    /// The class, which must be a batch class.
    pub class: ClassName,
    /// How many tasks the job has, from 1 to [`MAX_TASKS_PER_JOB`]; they are numbered from 0.
    pub tasks: u32,
    /// What each task runs, at most [`MAX_COMMAND_BYTES`].
    pub command: CompactString,
    /// What each task takes, if it differs from what the class declares.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resources: Option<Resources>,
}

/// What became of a submission.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum SubmitAnswer {
    /// The job is in the log: it outlives every process. The same answer is given when the same job
    /// is submitted again.
    Accepted,
    /// A job of this id with other contents was submitted before; nothing has changed.
    Conflict,
    /// The class isn't in the configuration in force, or isn't a batch class.
    UnknownClass,
    /// No VM could ever hold one of its tasks; it wasn't taken.
    NeverFits,
    /// The submission breaks a limit; it wasn't taken.
    Invalid {
        /// What is wrong and what to do.
        message: CompactString,
    },
    /// The job's owner or the log couldn't be reached in time. The job may or may not be in the
    /// log: submit the same one again.
    Unavailable {
        /// When to submit it again.
        retry_after: RetryAfter,
    },
}

impl SubmitAnswer {
    /// The HTTP status that the answer is sent with.
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

/// How far a job is.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Some of its tasks wait or run.
    Active,
    /// All of its tasks are done.
    Done,
    /// All of its tasks have ended, and some of them failed or are parked.
    Failed,
    /// It was cancelled.
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

/// How many tasks of a job are in which state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskCounts {
    /// Waiting for a VM, evicted ones included.
    pub queued: u32,
    /// Being started; the VM's answer isn't known yet.
    pub starting: u32,
    /// Running.
    pub running: u32,
    /// Done.
    pub done: u32,
    /// Failed and given up on.
    pub failed: u32,
    /// Set aside, since they failed on several healthy VMs or can never fit.
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

/// One job as its owner knows it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: JobId,
    /// Its class.
    pub class: ClassName,
    /// How far it is.
    pub state: JobState,
    /// Its tasks by state.
    pub tasks: TaskCounts,
}

/// The answer to a question after a job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum JobAnswer {
    /// The job.
    Found {
        /// Its status.
        job: JobStatus,
    },
    /// The job's owner knows no such job: it was never accepted, or ended so long ago that it is
    /// forgotten.
    NotFound,
    /// The job's owner couldn't be reached in time.
    Unavailable {
        /// When to ask again.
        retry_after: RetryAfter,
    },
}

impl JobAnswer {
    /// The HTTP status that the answer is sent with.
    pub fn status_code(&self) -> u16 {
        match self {
            JobAnswer::Found { .. } => 200,
            JobAnswer::NotFound => 404,
            JobAnswer::Unavailable { .. } => 503,
        }
    }
}

/// What became of a cancellation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum CancelAnswer {
    /// The cancellation is in the log: nothing further of the job starts, and what runs is stopped.
    /// Cancelling again is answered in the same way.
    Cancelled,
    /// All its tasks had ended before.
    Ended,
    /// The job's owner knows no such job.
    NotFound,
    /// The job's owner or the log couldn't be reached in time; cancel it again.
    Unavailable {
        /// When to cancel it again.
        retry_after: RetryAfter,
    },
}

impl CancelAnswer {
    /// The HTTP status that the answer is sent with.
    pub fn status_code(&self) -> u16 {
        match self {
            CancelAnswer::Cancelled | CancelAnswer::Ended => 200,
            CancelAnswer::NotFound => 404,
            CancelAnswer::Unavailable { .. } => 503,
        }
    }
}
