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

/// One incarnation of a worker: a restarted worker gets a new ID.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct WorkerId(pub CompactString);

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for WorkerId {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(WorkerId(CompactString::new(text)))
    }
}
