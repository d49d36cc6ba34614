//! What a client submits: steps, their tasks, and what each task takes.

use {
    compact_str::CompactString,
    egretlb_types::Resources,
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::fmt,
};

/// The most bytes of the text that is handed to each task. The platform's limit.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// The most steps of a workflow: a step's number travels as 16 bits, and a record of the largest
/// workflow must fit into the store's 256 KiB.
pub const MAX_STEPS: usize = 1_000;

/// The most tasks of one step. Progress is a bit for each task, so a step of this size still fits
/// into a record many times over.
pub const MAX_TASKS_PER_STEP: u32 = 100_000;

/// A step: tasks of one kind.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// How many tasks the step has, at least one.
    pub count: u32,
    /// What each task takes.
    pub resources: Resources,
    /// A rough estimate of a task's run time, in milliseconds; 0 if unknown.
    pub estimate_ms: u32,
    /// Earlier steps that must be done first.
    pub after: SmallVec<[u16; 2]>,
    /// Tasks save their progress and can resume elsewhere.
    pub checkpoints: bool,
    /// Tasks only work while all of them are present.
    pub gang: bool,
    /// A gang that is slower when it spans racks.
    pub rack_sensitive: bool,
    /// Copies of a task may run beside each other; the first to finish counts.
    pub speculative: bool,
    /// Tasks run until the workflow is cancelled.
    pub long_running: bool,
    /// The step's processor time isn't counted against a worker; its tasks get what is left over.
    pub best_effort: bool,
    /// A label that the worker must have.
    pub label: Option<CompactString>,
    /// The rack where the data is; elsewhere tasks take longer.
    pub data_rack: Option<CompactString>,
    /// At most so many tasks of the step on one worker; 0 for no limit.
    pub per_worker: u32,
    /// What the tasks run; tasks of one image behave alike.
    pub image: CompactString,
    /// The latency target of a task that serves, in milliseconds; 0 if it serves nobody.
    pub target_ms: u32,
    /// So many tasks of a lasting step may be away at one time by our own doing, if the client says.
    pub max_unavailable: Option<u32>,
}

/// Repetitions by the clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Repeat {
    /// When occurrence 0 is due, in milliseconds since 1970.
    pub first_ms: u64,
    /// The time between occurrences, in milliseconds.
    pub every_ms: u64,
    /// How many there are.
    pub count: u32,
}

/// A workflow as it was submitted.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Workflow {
    /// Handed to each task as it is.
    pub payload: CompactString,
    /// The steps; `after` refers to their places in this list.
    pub steps: Vec<Step>,
    /// Repetitions, if there are any.
    pub repeat: Option<Repeat>,
}

/// Why a workflow isn't taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SpecError {
    /// The body can't be read.
    Unreadable {
        /// What the reader said.
        detail: CompactString,
    },
    /// It has no step.
    NoSteps,
    /// It has more than [`MAX_STEPS`] steps.
    TooManySteps,
    /// The payload is longer than [`MAX_PAYLOAD_BYTES`].
    PayloadTooLong,
    /// A step has no task, or more than [`MAX_TASKS_PER_STEP`].
    TaskCount {
        /// The step.
        step: usize,
    },
    /// A step waits for itself, a later one or one that isn't there. Steps may only wait for earlier
    /// ones, which rules out cycles.
    After {
        /// The step.
        step: usize,
        /// What it waits for.
        after: u16,
    },
    /// Repetitions without a time between them.
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
    /// Checks the limits of each part and that steps wait only for earlier ones.
    ///
    /// # Errors
    ///
    /// The first fault found.
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

    /// How many times the steps run.
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count.max(1))
    }

    /// Whether a step runs until the workflow is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// The longest chain of estimated run times, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step.after.iter().map(|after| ends[usize::from(*after)]).max();
            ends.push(begin.unwrap_or(0) + u64::from(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Estimated work of one occurrence, in core-milliseconds.
    pub fn work(&self) -> u64 {
        let of = |step: &Step| {
            let cpu =
                u64::from(step.resources.cpu.0) + 8_000 * u64::from(step.resources.accelerators.0);
            u64::from(step.count) * cpu * u64::from(step.estimate_ms) / 1_000
        };
        self.steps.iter().map(of).sum()
    }
}
