//! The messages of the platform's worker interface, as JSON over HTTP.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /tasks` | [`StartTask`] | 200 [`StartAnswer`] |
//! | `POST /leases` | [`RenewLeases`] | 200 [`RenewAnswer`] |
//! | `POST /stop` | [`StopTask`] | 200 [`StopAnswer`] |
//! | `POST /throttle` | [`ThrottleTask`] | 200 [`StopAnswer`] |
//! | `GET /report` | none | 200 [`WorkerReport`] |
//! | `* /serve/{class}/{path}` | the caller's | the service's, or the worker's own |
//!
//! The worker answers for what it runs: a task runs there from an accepted start until its end, a
//! confirmed stop, or the lapse of its lease, whichever comes first.
//!
//! A worker that doesn't hand a request on to a service answers 503 or 404 with the header
//! [`DECLINED_HEADER`]. Without that header a 503 is a service's own answer, and may have run.

use {
    crate::{
        ids::{ClassName, Fence, TaskId},
        resources::Resources,
    },
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// On an answer that comes from the worker itself, since it didn't hand the request on to a service:
/// the request certainly didn't run. The value says why.
pub const DECLINED_HEADER: &str = "worker-declined";

/// The value of [`DECLINED_HEADER`] of a worker that is leaving.
pub const DECLINED_LEAVING: &str = "leaving";

/// The value of [`DECLINED_HEADER`] of a worker without a free slot.
pub const DECLINED_BUSY: &str = "busy";

/// The value of [`DECLINED_HEADER`] of a worker where no service of the class runs.
pub const DECLINED_NO_SERVICE: &str = "no-service";

/// Starts a task under a lease.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StartTask {
    /// The task.
    pub task: TaskId,
    /// The fencing token of this start.
    pub fence: Fence,
    /// The class of the task; for a service, the class whose requests it answers.
    pub class: ClassName,
    /// Whether the task answers requests until stopped, rather than running to an end.
    pub service: bool,
    /// What the task may use.
    pub resources: Resources,
    /// How long the task may run without a renewal, in milliseconds from the receipt.
    pub lease_ms: u32,
    /// The checkpoint to resume from.
    pub checkpoint: Option<CompactString>,
    /// What to run; opaque to egretlb.
    pub command: CompactString,
}

/// The worker's answer to [`StartTask`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartAnswer {
    /// It runs now, or already ran under this fence.
    Started,
    /// It ran under this fence and has ended.
    AlreadyEnded,
    /// A higher fence was seen for the task.
    StaleFence,
    /// The worker has no room or is leaving; nothing was started.
    Refused,
}

/// Renews the leases of running tasks.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RenewLeases {
    /// The tasks with the fences they were started under.
    pub tasks: Vec<TaskFence>,
    /// The new length of each lease, in milliseconds from the receipt.
    pub lease_ms: u32,
}

/// A task and the fence of one start of it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct TaskFence {
    /// The task.
    pub task: TaskId,
    /// The fence.
    pub fence: Fence,
}

/// The worker's answer to [`RenewLeases`].
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RenewAnswer {
    /// Those of the tasks that don't run here under their fence.
    pub unknown: Vec<TaskFence>,
}

/// Stops a task, with a checkpoint if asked.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StopTask {
    /// The task and the fence it runs under.
    pub of: TaskFence,
    /// Whether to write a checkpoint first.
    pub checkpoint: bool,
}

/// The worker's answer to [`StopTask`] and [`ThrottleTask`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopAnswer {
    /// It doesn't run any more; the checkpoint if one was asked for and could be written.
    Stopped {
        /// What to resume from.
        checkpoint: Option<CompactString>,
    },
    /// It had ended by itself before.
    Ended {
        /// How it ended.
        end: TaskEnd,
    },
    /// The throttle was set.
    Throttled,
    /// The worker has never run this task under this fence, and never will.
    NeverRan,
}

/// Limits a task's processor time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ThrottleTask {
    /// The task and the fence it runs under.
    pub of: TaskFence,
    /// The share of its processor time that it may use, in thousandths; 1000 lifts the limit.
    pub permille: u16,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEnd {
    /// It did its work.
    Done,
    /// It failed.
    Failed,
    /// Its lease lapsed and the worker ended it.
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
    /// What it may use.
    pub resources: Resources,
    /// What it used over the last report period; lags.
    pub used: Resources,
    /// Slowdown against running alone, in thousandths: 1000 is none. Lags.
    pub slowdown_permille: u32,
}

/// One ended task in a [`WorkerReport`]; kept by the worker for a while.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EndedTask {
    /// The task and its fence.
    pub of: TaskFence,
    /// How it ended.
    pub end: TaskEnd,
    /// How long it ran, in milliseconds.
    pub ran_ms: u64,
    /// The most it used.
    pub peak: Resources,
}

/// What a worker says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Whether the worker itself says that it is leaving.
    pub leaving: bool,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// What ended of late.
    pub ended: Vec<EndedTask>,
}
