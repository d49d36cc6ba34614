//! Events at a worker.

use {
    compact_str::CompactString,
    egretlb_types::{
        ClassName, Resources, Time, VmId,
        worker::{TaskEnd, TaskFence},
    },
    serde::{Deserialize, Serialize},
};

/// Reason for refusing a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The task would exceed the capacity.
    NoRoom,
    /// A higher fence was seen for the task.
    Stale,
    /// The worker drains, or an injected fault refuses starts.
    Unwilling,
}

/// Kind of an event at a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum WorkerEventKind {
    /// A task began to run.
    Started {
        /// The task and its fence.
        of: TaskFence,
        /// Its class.
        class: ClassName,
        /// Its resources.
        resources: Resources,
        /// The checkpoint it resumed from.
        checkpoint: Option<CompactString>,
    },
    /// A start was refused; nothing ran.
    Refused {
        /// The task and its fence.
        of: TaskFence,
        /// The reason.
        why: Refusal,
    },
    /// A task ended by itself or because its lease expired.
    Ended {
        /// The task and its fence.
        of: TaskFence,
        /// How the task ended.
        end: TaskEnd,
    },
    /// A task was stopped.
    Stopped {
        /// The task and its fence.
        of: TaskFence,
        /// The checkpoint to resume from.
        checkpoint: Option<CompactString>,
    },
    /// A request began to run.
    RequestBegan {
        /// The request's id.
        id: CompactString,
        /// Its class.
        class: ClassName,
    },
    /// A request ran to its end.
    RequestDone {
        /// The request's id.
        id: CompactString,
    },
    /// The worker started to drain.
    Leaving,
    /// The VM was lost with all its tasks.
    Died,
}

/// An event at a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerEvent {
    /// Time of the event, by a clock that all stand-ins of a test share.
    pub at: Time,
    /// The VM.
    pub vm: VmId,
    /// Kind of the event.
    #[serde(flatten)]
    pub kind: WorkerEventKind,
}
