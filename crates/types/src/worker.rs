//! Messages of the platform's worker interface, as JSON over HTTP.
//!
//! | call | body | response |
//! |---|---|---|
//! | `POST /tasks` | [`StartTask`] | 200 [`StartAnswer`] |
//! | `POST /leases` | [`RenewLeases`] | 200 [`RenewAnswer`] |
//! | `POST /stop` | [`StopTask`] | 200 [`StopAnswer`] |
//! | `POST /throttle` | [`ThrottleTask`] | 200 [`StopAnswer`] |
//! | `GET /report` | none | 200 [`WorkerReport`] |
//! | `* /serve/{class}/{path}` | the caller's | the service's, or the worker's own |
//!
//! A task runs on a worker from an accepted start until its end, a confirmed stop, or the expiry
//! of its lease, whichever comes first.
//!
//! A worker that declines a request responds with 503 or 404 and the header [`DECLINED_HEADER`].
//! A 503 without that header comes from the service: the request may have run.

use {
    crate::{
        ids::{ClassName, Fence, TaskId},
        resources::Resources,
    },
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// Header of a response with which the worker declines a request: the request didn't run. The
/// value is the reason.
pub const DECLINED_HEADER: &str = "worker-declined";

/// Value of [`DECLINED_HEADER`]: the worker is draining.
pub const DECLINED_LEAVING: &str = "leaving";

/// Value of [`DECLINED_HEADER`]: the worker has no free slot.
pub const DECLINED_BUSY: &str = "busy";

/// Value of [`DECLINED_HEADER`]: the worker runs no service of the class.
pub const DECLINED_NO_SERVICE: &str = "no-service";

/// Starts a task under a lease.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StartTask {
    /// The task.
    pub task: TaskId,
    /// The fencing token of this start.
    pub fence: Fence,
    /// The class of the task; for a service, the class of its requests.
    pub class: ClassName,
    /// Whether the task serves requests until it is stopped.
    pub service: bool,
    /// Resource limits of the task.
    pub resources: Resources,
    /// Length of the lease, in milliseconds from the receipt.
    pub lease_ms: u32,
    /// The checkpoint to resume from.
    pub checkpoint: Option<CompactString>,
    /// The command to run; opaque to egretlb.
    pub command: CompactString,
}

/// The worker's response to [`StartTask`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartAnswer {
    /// The task runs under this fence.
    Started,
    /// The task ran under this fence and has ended.
    AlreadyEnded,
    /// The worker has received a higher fence for the task.
    StaleFence,
    /// The worker lacks capacity or is draining; nothing was started.
    Refused,
}

/// Renews the leases of running tasks.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RenewLeases {
    /// The tasks with their fences.
    pub tasks: Vec<TaskFence>,
    /// The new length of each lease, in milliseconds from the receipt.
    pub lease_ms: u32,
}

/// A task and the fence of one of its attempts.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct TaskFence {
    /// The task.
    pub task: TaskId,
    /// The fence.
    pub fence: Fence,
}

/// The worker's response to [`RenewLeases`].
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RenewAnswer {
    /// Tasks that don't run on the worker under the given fence.
    pub unknown: Vec<TaskFence>,
}

/// Stops a task, optionally with a checkpoint.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StopTask {
    /// The task and the fence it runs under.
    pub of: TaskFence,
    /// Whether to write a checkpoint first.
    pub checkpoint: bool,
}

/// The worker's response to [`StopTask`] and [`ThrottleTask`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopAnswer {
    /// The task was stopped.
    Stopped {
        /// The checkpoint, if one was requested and could be written.
        checkpoint: Option<CompactString>,
    },
    /// The task had already ended.
    Ended {
        /// How it ended.
        end: TaskEnd,
    },
    /// The throttle was set.
    Throttled,
    /// The worker has not run this task under this fence, and will not.
    NeverRan,
}

/// Limits a task's CPU time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ThrottleTask {
    /// The task and the fence it runs under.
    pub of: TaskFence,
    /// Maximum share of its CPU time, in thousandths; 1000 removes the limit.
    pub permille: u16,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEnd {
    /// It succeeded.
    Done,
    /// It failed.
    Failed,
    /// Its lease expired and the worker ended it.
    LeaseLapsed,
}

/// One running task in a [`WorkerReport`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The task and its fence.
    pub of: TaskFence,
    /// Its class.
    pub class: ClassName,
    /// Whether it is a service.
    pub service: bool,
    /// Its resource limits.
    pub resources: Resources,
    /// Resources used over the last report period; lags.
    pub used: Resources,
    /// Slowdown compared with running alone, in thousandths: 1000 is none. Lags.
    pub slowdown_permille: u32,
}

/// One recently ended task in a [`WorkerReport`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EndedTask {
    /// The task and its fence.
    pub of: TaskFence,
    /// How it ended.
    pub end: TaskEnd,
    /// Its run time in milliseconds.
    pub ran_ms: u64,
    /// Its peak resource usage.
    pub peak: Resources,
}

/// A worker's report of its state.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Whether the worker is draining.
    pub leaving: bool,
    /// Running tasks.
    pub running: Vec<RunningTask>,
    /// Recently ended tasks.
    pub ended: Vec<EndedTask>,
}
