//! Submitted workflows: steps, their tasks, and the resources of each task.

use {
    compact_str::CompactString,
    egretlb_types::Resources,
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::fmt,
};

/// Maximum size of the payload that is passed to each task. Platform limit.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Maximum number of steps. Step numbers are 16 bits on the wire, and a record of the largest
/// workflow must fit into 256 KiB.
pub const MAX_STEPS: usize = 1_000;

/// Maximum number of tasks per step. Progress takes one bit per task and must fit into a record.
pub const MAX_TASKS_PER_STEP: u32 = 100_000;

/// Maximum number of tasks of all steps. The leader keeps some 250 bytes per task.
pub const MAX_TASKS: u32 = 200_000;

/// Sizes up to which a workflow is taken.
#[derive(Clone, Copy, Debug)]
struct SizeLimits {
    payload_bytes: usize,
    steps: usize,
    tasks_per_step: u32,
    tasks: u64,
}

/// Limits for submissions of clients.
const ACCEPTED: SizeLimits = SizeLimits {
    payload_bytes: MAX_PAYLOAD_BYTES,
    steps: MAX_STEPS,
    tasks_per_step: MAX_TASKS_PER_STEP,
    tasks: MAX_TASKS as u64,
};

/// Limits for stored submissions. They are never lowered: a workflow that an earlier version accepted must stay readable.
const READABLE: SizeLimits =
    SizeLimits { payload_bytes: 4_000, steps: 1_000, tasks_per_step: 100_000, tasks: 1_000_000 };

const _: () = assert!(
    ACCEPTED.payload_bytes <= READABLE.payload_bytes
        && ACCEPTED.steps <= READABLE.steps
        && ACCEPTED.tasks_per_step <= READABLE.tasks_per_step
        && ACCEPTED.tasks <= READABLE.tasks
);

/// A group of identical tasks.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks, at least 1.
    pub count: u32,
    /// Resources of each task.
    pub resources: Resources,
    /// Estimated run time of a task, in milliseconds; 0 if unknown.
    pub estimate_ms: u32,
    /// Earlier steps that must finish first.
    pub after: SmallVec<[u16; 2]>,
    /// Whether tasks save checkpoints and can resume on another worker.
    pub checkpoints: bool,
    /// Whether tasks only make progress while all of them run.
    pub gang: bool,
    /// Whether the gang is slower when it spans racks.
    pub rack_sensitive: bool,
    /// Whether several attempts of a task may run at once; the first to finish counts.
    pub speculative: bool,
    /// Whether tasks run until the workflow is cancelled.
    pub long_running: bool,
    /// Whether tasks only use CPU time that others leave unused; it isn't reserved on the worker.
    pub best_effort: bool,
    /// Label that the worker must have.
    pub label: Option<CompactString>,
    /// Rack that holds the input data; tasks are slower elsewhere.
    pub data_rack: Option<CompactString>,
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    pub per_worker: u32,
    /// Program that the tasks run. Tasks with the same image behave alike.
    pub image: CompactString,
    /// Tail-latency target in milliseconds; 0 if the tasks aren't latency-critical.
    pub target_ms: u32,
    /// Maximum number of a long-running step's tasks that may be down at once through preemption,
    /// migration or maintenance, if the client sets one.
    pub max_unavailable: Option<u32>,
}

/// A schedule of repetitions.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Repeat {
    /// When occurrence 0 is due, in milliseconds since 1970.
    pub first_ms: u64,
    /// Interval between occurrences, in milliseconds.
    pub every_ms: u64,
    /// Number of occurrences.
    pub count: u32,
}

impl Repeat {
    /// Returns when the last occurrence is due, in milliseconds since 1970; `None` if out of range.
    fn last_due_ms(&self) -> Option<u64> {
        let intervals = u64::from(self.count.saturating_sub(1));
        self.first_ms.checked_add(self.every_ms.checked_mul(intervals)?)
    }

    /// Returns when an occurrence is due, in milliseconds since 1970.
    pub(crate) fn due_ms(&self, number: u32) -> u64 {
        self.first_ms.saturating_add(self.every_ms.saturating_mul(u64::from(number)))
    }
}

/// A workflow as it was submitted.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Workflow {
    /// Passed to each task unchanged.
    pub payload: CompactString,
    /// The steps; `after` holds indexes into this list.
    pub steps: Vec<Step>,
    /// The schedule, if the workflow repeats.
    pub repeat: Option<Repeat>,
}

/// Why a workflow is rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SpecError {
    /// The body can't be parsed.
    Unreadable {
        /// The parser's message.
        detail: CompactString,
    },
    /// There are no steps.
    NoSteps,
    /// There are more than [`MAX_STEPS`] steps.
    TooManySteps,
    /// The payload is longer than [`MAX_PAYLOAD_BYTES`].
    PayloadTooLong,
    /// A step has no tasks, or more than [`MAX_TASKS_PER_STEP`].
    TaskCount {
        /// The step's index.
        step: usize,
    },
    /// All steps together have more than [`MAX_TASKS`].
    TooManyTasks,
    /// A step depends on one that isn't earlier. Only earlier steps are allowed, which rules out
    /// cycles.
    After {
        /// The step's index.
        step: usize,
        /// The step it depends on.
        after: u16,
    },
    /// The workflow repeats more than once with an interval of zero.
    Repeat,
    /// The last occurrence is due beyond the range of times.
    RepeatRange,
}

impl fmt::Display for SpecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SpecError::Unreadable { detail } => {
                write!(f, "the body can't be read: {detail}; send a JSON object with steps")
            }
            SpecError::NoSteps => write!(f, "there are no steps; give at least one"),
            SpecError::TooManySteps => write!(f, "too many steps; give at most {MAX_STEPS}"),
            SpecError::PayloadTooLong => {
                write!(f, "the payload is too long; use at most {MAX_PAYLOAD_BYTES} bytes")
            }
            SpecError::TaskCount { step } => write!(
                f,
                "step {step} has no tasks or too many; give from 1 to {MAX_TASKS_PER_STEP}"
            ),
            SpecError::TooManyTasks => {
                write!(f, "too many tasks; give at most {MAX_TASKS} in all steps together")
            }
            SpecError::After { step, after } => write!(
                f,
                "step {step} waits for step {after}, which isn't an earlier one; order the steps so \
                 that each waits only for earlier ones"
            ),
            SpecError::Repeat => {
                write!(f, "the interval is zero; give milliseconds between occurrences")
            }
            SpecError::RepeatRange => {
                write!(f, "the last occurrence is due too late; give fewer or shorter intervals")
            }
        }
    }
}

impl std::error::Error for SpecError {}

impl Workflow {
    /// Checks the sizes and the schedule, and that steps depend only on earlier ones.
    ///
    /// # Errors
    ///
    /// The first violation.
    pub fn check(&self) -> Result<(), SpecError> {
        self.check_sizes(&ACCEPTED)?;
        match self.repeat {
            Some(repeat) if repeat.every_ms == 0 && repeat.count > 1 => Err(SpecError::Repeat),
            Some(repeat) if repeat.last_due_ms().is_none() => Err(SpecError::RepeatRange),
            _ => Ok(()),
        }
    }

    /// Checks the sizes of a stored workflow, and that steps depend only on earlier ones.
    ///
    /// # Errors
    ///
    /// The first violation. No version of this crate has accepted such a workflow, or could run it.
    pub(crate) fn check_readable(&self) -> Result<(), SpecError> {
        self.check_sizes(&READABLE)
    }

    fn check_sizes(&self, limits: &SizeLimits) -> Result<(), SpecError> {
        if self.payload.len() > limits.payload_bytes {
            return Err(SpecError::PayloadTooLong);
        }
        if self.steps.is_empty() {
            return Err(SpecError::NoSteps);
        }
        if self.steps.len() > limits.steps {
            return Err(SpecError::TooManySteps);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > limits.tasks_per_step {
                return Err(SpecError::TaskCount { step: number });
            }
            if let Some(after) = step.after.iter().find(|after| usize::from(**after) >= number) {
                return Err(SpecError::After { step: number, after: *after });
            }
        }
        if self.task_count() > limits.tasks {
            return Err(SpecError::TooManyTasks);
        }
        Ok(())
    }

    /// Returns the number of tasks of one occurrence.
    pub(crate) fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Returns how many times the steps run.
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count.max(1))
    }

    /// Returns whether any step runs until the workflow is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns the estimated duration of the critical path, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin_ms = step.after.iter().map(|after| ends_ms[usize::from(*after)]).max();
            ends_ms.push(begin_ms.unwrap_or(0) + u64::from(step.estimate_ms));
        }
        ends_ms.into_iter().max().unwrap_or(0)
    }

    /// Returns the estimated work of one occurrence in core-milliseconds, counting an accelerator
    /// as eight cores.
    pub fn work(&self) -> u64 {
        let core_ms = |step: &Step| {
            let cpu =
                u64::from(step.resources.cpu.0) + 8_000 * u64::from(step.resources.accelerators.0);
            u64::from(step.count).saturating_mul(cpu).saturating_mul(u64::from(step.estimate_ms))
                / 1_000
        };
        self.steps.iter().map(core_ms).fold(0, u64::saturating_add)
    }
}
