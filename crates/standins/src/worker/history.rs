//! What truly happened at a worker.

use {
    compact_str::CompactString,
    egretlb_types::{
        ClassName, Resources, Time, VmId,
        worker::{TaskEnd, TaskFence},
    },
    serde::{Deserialize, Serialize},
};

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// It would have held more than its capacity.
    NoRoom,
    /// A higher fence was seen for the task.
    Stale,
    /// The worker is leaving, or refuses by a fault.
    Unwilling,
}

/// One thing that happened.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum What {
    /// A task began to run.
    Started {
        /// The task and its fence.
        of: TaskFence,
        /// Its class.
        class: ClassName,
        /// What it was given.
        resources: Resources,
        /// What it resumed from.
        checkpoint: Option<CompactString>,
    },
    /// A start was refused; nothing ran.
    Refused {
        /// The task and its fence.
        of: TaskFence,
        /// Why.
        why: Refusal,
    },
    /// A task ended by itself or by its lease.
    Ended {
        /// The task and its fence.
        of: TaskFence,
        /// How.
        end: TaskEnd,
    },
    /// A task was stopped.
    Stopped {
        /// The task and its fence.
        of: TaskFence,
        /// What it can be resumed from.
        checkpoint: Option<CompactString>,
    },
    /// A request began to run.
    RequestBegan {
        /// The caller's id of it.
        id: CompactString,
        /// Its class.
        class: ClassName,
    },
    /// A request ran to its end.
    RequestDone {
        /// The caller's id of it.
        id: CompactString,
    },
    /// The worker began to say that it is leaving.
    Leaving,
    /// The VM was lost with all that ran on it.
    Died,
}

/// Something that happened at a VM at a time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Happening {
    /// When, by a clock that all stand-ins of a test share.
    pub at: Time,
    /// Where.
    pub vm: VmId,
    /// What.
    #[serde(flatten)]
    pub what: What,
}
