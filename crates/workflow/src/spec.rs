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
            SpecError::After { step, after } => write!(
                f,
                "step {step} waits for step {after}, which isn't an earlier one; order the steps so \
                 that each waits only for earlier ones"
            ),
            SpecError::Repeat => {
                write!(f, "the interval is zero; give milliseconds between occurrences")
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
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(SpecError::PayloadTooLong);
        }
        if self.steps.is_empty() {
            return Err(SpecError::NoSteps);
        }
        if self.steps.len() > MAX_STEPS {
            return Err(SpecError::TooManySteps);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_TASKS_PER_STEP {
                return Err(SpecError::TaskCount { step: number });
            }
            if let Some(after) = step.after.iter().find(|after| usize::from(**after) >= number) {
                return Err(SpecError::After { step: number, after: *after });
            }
        }
        match self.repeat {
            Some(repeat) if repeat.every_ms == 0 && repeat.count > 1 => Err(SpecError::Repeat),
            _ => Ok(()),
        }
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
            u64::from(step.count) * cpu * u64::from(step.estimate_ms) / 1_000
        };
        self.steps.iter().map(core_ms).sum()
    }
}
