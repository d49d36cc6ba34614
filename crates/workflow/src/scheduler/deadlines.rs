//! How much time the tasks of a workflow have left until its deadline.

use {
    super::Scheduler,
    crate::{Submission, TaskId},
};

/// A workflow is short of time once it has less of its slack left than one part in this many: the rest is needed for failed
/// runs and for tasks that take longer than estimated.
const SLACK_DIVISOR: u64 = 2;

impl Scheduler {
    /// Whether a task of which `done_percent` is done may make its workflow miss its deadline if it is held back.
    pub(super) fn is_short_of_time(&self, task: TaskId, done_percent: u32) -> bool {
        let Some(active) = self.workflows.get(&task.workflow) else { return false };
        let Submission { accepted_ms, workflow, .. } = &*active.submission;
        let Some(step) = workflow.steps.get(usize::from(task.step)) else { return false };
        let path_ms = active.remaining_ms.get(usize::from(task.step)).copied().unwrap_or(0);
        let done_ms = u64::from(step.estimate_ms) * u64::from(done_percent.min(100)) / 100;
        // Repetitions are due one after the other.
        let begin_ms = active.due_at(task.occurrence).max(*accepted_ms);
        let target_ms = active.due_ms.saturating_sub(*accepted_ms);
        let slack_ms = target_ms.saturating_sub(active.critical_path_ms());
        let needed_ms = path_ms.saturating_sub(done_ms) + slack_ms / SLACK_DIVISOR;
        self.wall_ms.saturating_add(needed_ms) > begin_ms.saturating_add(target_ms)
    }
}
