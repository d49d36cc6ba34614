//! Detects stranded tasks, a fault of the scheduler.
//!
//! A task whose step is open is either queued, with its step among the queued steps, or has runs
//! that are known at their workers, where a reply or the end of a lease decides them. A task in
//! neither state is stranded: it would never be started again.

use {
    super::{
        QueuedStep, Scheduler,
        active_workflow::{ActiveWorkflow, StepState, TaskState},
    },
    crate::{StepId, TaskId},
};

impl Scheduler {
    /// Returns tasks that are due and would never be started again. Not empty only if the scheduler
    /// has a fault.
    pub fn stranded(&self) -> Vec<TaskId> {
        let mut stranded = Vec::new();
        for (id, active) in self.workflows.iter().filter(|(_, active)| active.outcome.is_none()) {
            for (number, occurrence) in &active.occurrences {
                for (step, state) in (0u16..).zip(&occurrence.steps) {
                    let id = StepId { workflow: *id, occurrence: *number, step };
                    let due = state.open || is_due(active, &occurrence.steps, step);
                    // An exhausted workflow ends with the next tick.
                    if due && !self.exhausted.contains(&id.workflow) {
                        stranded.extend(self.stranded_of(active, id, state));
                    }
                }
            }
        }
        stranded
    }

    fn stranded_of<'a>(
        &'a self,
        active: &ActiveWorkflow,
        id: StepId,
        state: &'a StepState,
    ) -> impl Iterator<Item = TaskId> + 'a {
        let key = QueuedStep {
            priority: active.submission.priority,
            long_running: active.submission.workflow.steps[usize::from(id.step)].long_running,
            due_ms: active.due_ms,
            workflow: id.workflow,
            occurrence: id.occurrence,
            step: id.step,
        };
        let step_queued = self.queued_steps.contains(&key);
        let StepId { workflow, occurrence, step } = id;
        (0u32..).zip(&state.tasks).filter_map(move |(index, task)| {
            let id = TaskId { workflow, occurrence, step, index };
            let queued = step_queued && state.queue.contains(&index);
            let tracked = if task.is_pending() {
                queued || self.restarts.contains(id)
            } else {
                task.done || self.are_runs_tracked(id, task)
            };
            (!tracked).then_some(id)
        })
    }

    /// Whether all runs of a task are known at their workers.
    fn are_runs_tracked(&self, id: TaskId, task: &TaskState) -> bool {
        task.attempts.iter().all(|(at, run)| {
            self.workers.get(at).is_some_and(|worker| worker.attempts.contains_key(&(id, *run)))
        })
    }
}

/// Whether all steps before this one are done.
fn is_due(active: &ActiveWorkflow, states: &[StepState], step: u16) -> bool {
    let after = &active.submission.workflow.steps[usize::from(step)].after;
    after.iter().all(|after| states[usize::from(*after)].is_done())
}
