//! Identifiers of workflows, steps, tasks, runs and workers.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Number of hexadecimal digits in a workflow ID.
const WORKFLOW_ID_DIGITS: usize = 16;

/// Why a text can't be parsed as an ID.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IdError {
    /// A workflow ID must be 16 hexadecimal digits, letters in lower case.
    Workflow,
    /// A task ID must be a workflow ID and three numbers, separated by dots.
    Task,
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdError::Workflow => write!(f, "not a workflow's id; give 16 hexadecimal digits"),
            IdError::Task => {
                write!(f, "not a task's id; write it as WORKFLOW.OCCURRENCE.STEP.INDEX")
            }
        }
    }
}

impl std::error::Error for IdError {}

/// A workflow ID, chosen by the client so that resubmission is idempotent.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct WorkflowId(pub u64);

impl fmt::Display for WorkflowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for WorkflowId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let is_lower_hex = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
        if text.len() != WORKFLOW_ID_DIGITS || !text.bytes().all(is_lower_hex) {
            return Err(IdError::Workflow);
        }
        u64::from_str_radix(text, 16).map(WorkflowId).map_err(|_| IdError::Workflow)
    }
}

/// A task: the `index`th of a step in one occurrence of its workflow.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct TaskId {
    /// The workflow.
    pub workflow: WorkflowId,
    /// Occurrence number of the workflow, from 0.
    pub occurrence: u32,
    /// Step number, from 0.
    pub step: u16,
    /// Index within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskId { workflow, occurrence, step, index } = self;
        write!(f, "{workflow}.{occurrence}.{step}.{index}")
    }
}

impl TaskId {
    /// Returns the task's step.
    pub fn step_id(self) -> StepId {
        StepId { workflow: self.workflow, occurrence: self.occurrence, step: self.step }
    }
}

/// A step in one occurrence of its workflow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepId {
    /// The workflow.
    pub workflow: WorkflowId,
    /// Occurrence number of the workflow, from 0.
    pub occurrence: u32,
    /// Step number, from 0.
    pub step: u16,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StepId { workflow, occurrence, step } = self;
        write!(f, "{workflow}.{occurrence}.{step}")
    }
}

impl FromStr for StepId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        // A step ID is a task ID without the index.
        let task: TaskId = format!("{text}.0").parse()?;
        Ok(task.step_id())
    }
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(IdError::Task);
        let workflow = next()?.parse().map_err(|_| IdError::Task)?;
        let occurrence = next()?.parse().map_err(|_| IdError::Task)?;
        let step = next()?.parse().map_err(|_| IdError::Task)?;
        let index = next()?.parse().map_err(|_| IdError::Task)?;
        match parts.next() {
            Some(_) => Err(IdError::Task),
            None => Ok(TaskId { workflow, occurrence, step, index }),
        }
    }
}

/// A run of a task. Run numbers of a task only increase: a worker rejects a run that isn't higher
/// than the last one that ended or was stopped there.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct RunId(pub u64);

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RunId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(RunId)
    }
}

/// One incarnation of a worker: a restarted worker has a new name, or the same name and a later start time.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct WorkerId {
    /// The worker's name.
    pub name: CompactString,
    /// When the worker started, in milliseconds since 1970; `None` if it doesn't say.
    pub started_ms: Option<u64>,
}

/// Separates name and start time in the text form of a [`WorkerId`].
const START_SEPARATOR: char = '@';

impl WorkerId {
    /// A worker that doesn't say when it started.
    pub fn new(name: impl Into<CompactString>) -> WorkerId {
        WorkerId { name: name.into(), started_ms: None }
    }

    /// A worker that started at `started_ms`, in milliseconds since 1970.
    pub fn started_at(name: impl Into<CompactString>, started_ms: u64) -> WorkerId {
        WorkerId { name: name.into(), started_ms: Some(started_ms) }
    }

    /// Whether this is a later incarnation of the worker of `other`.
    pub fn is_restart_of(&self, other: &WorkerId) -> bool {
        self.name == other.name && self.started_ms > other.started_ms
    }
}

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_ms {
            Some(started_ms) => write!(f, "{}{START_SEPARATOR}{started_ms}", self.name),
            None => f.write_str(&self.name),
        }
    }
}

impl FromStr for WorkerId {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let split = text.rsplit_once(START_SEPARATOR);
        let parsed = split.and_then(|(name, start)| Some((name, start.parse().ok()?)));
        Ok(match parsed {
            Some((name, started_ms)) => WorkerId::started_at(name, started_ms),
            None => WorkerId::new(text),
        })
    }
}
