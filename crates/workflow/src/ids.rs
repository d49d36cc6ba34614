//! Ids of workflows, tasks, runs and workers.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Digits of a workflow's id as text.
const WORKFLOW_ID_DIGITS: usize = 16;

/// Why a text isn't an id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IdError {
    /// A workflow's id isn't 16 hexadecimal digits.
    Workflow,
    /// A task's id isn't a workflow's id and three numbers, joined by points.
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

/// A workflow, named by the client that submits it, so that submitting it again is idempotent.
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
        let lower = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
        if text.len() != WORKFLOW_ID_DIGITS || !text.bytes().all(lower) {
            return Err(IdError::Workflow);
        }
        u64::from_str_radix(text, 16).map(WorkflowId).map_err(|_| IdError::Workflow)
    }
}

/// One task: the `index`th of a step, in one occurrence of its workflow.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct TaskId {
    /// The workflow that the task belongs to.
    pub workflow: WorkflowId,
    /// Which repetition of the workflow, from 0.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u16,
    /// The task within its step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskId { workflow, occurrence, step, index } = self;
        write!(f, "{workflow}.{occurrence}.{step}.{index}")
    }
}

impl TaskId {
    /// The step that the task belongs to.
    pub fn step_id(self) -> StepId {
        StepId { workflow: self.workflow, occurrence: self.occurrence, step: self.step }
    }
}

/// A step, in one occurrence of its workflow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepId {
    /// The workflow that the step belongs to.
    pub workflow: WorkflowId,
    /// Which repetition of the workflow, from 0.
    pub occurrence: u32,
    /// The step, from 0.
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
        // A step's id is that of any of its tasks without the index.
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

/// The number of a start of a task. A worker rejects a run that isn't higher than one that ended or
/// was stopped there, so the numbers of a task only grow.
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

/// One incarnation of a worker: after a crash the VM's worker has another id.
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
