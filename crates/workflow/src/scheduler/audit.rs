//! Whether the scheduler has lost sight of a task.
//!
//! Each task whose turn has come waits in its step's queue, with the step in the order, or is held by runs
//! that are known at workers, where an answer or the end of a lease settles them. A task for which neither
//! holds would never be started again: its workflow stands still while all else looks well.

use {
    super::{
        Ready, Scheduler,
        active_workflow::{ActiveWorkflow, StepState, TaskState},
    },
    crate::{StepId, TaskId},
};

impl Scheduler {
    /// Tasks whose turn has come and that nothing would ever start or settle. There is none unless the
    /// scheduler has a fault.
    pub fn stranded(&self) -> Vec<TaskId> {
        let mut stranded = Vec::new();
        for (id, flow) in self.workflows.iter().filter(|(_, flow)| flow.outcome.is_none()) {
            for (number, occurrence) in &flow.occurrences {
                for (step, state) in (0u16..).zip(&occurrence.steps) {
                    let id = StepId { workflow: *id, occurrence: *number, step };
                    let turn = state.open || has_turn(flow, &occurrence.steps, step);
                    // One that is spent ends with the next tick.
                    if turn && !self.exhausted.contains(&id.workflow) {
                        stranded.extend(self.stranded_of(flow, id, state));
                    }
                }
            }
        }
        stranded
    }

    fn stranded_of<'a>(
        &'a self,
        flow: &ActiveWorkflow,
        id: StepId,
        state: &'a StepState,
    ) -> impl Iterator<Item = TaskId> + 'a {
        let key = Ready {
            priority: flow.submission.priority,
            long_running: flow.submission.workflow.steps[usize::from(id.step)].long_running,
            due_ms: flow.due_ms,
            workflow: id.workflow,
            occurrence: id.occurrence,
            step: id.step,
        };
        let ready = self.ready.contains(&key);
        let StepId { workflow, occurrence, step } = id;
        (0u32..).zip(&state.tasks).filter_map(move |(index, task)| {
            let id = TaskId { workflow, occurrence, step, index };
            let queued = ready && state.queue.contains(&index);
            let settles =
                if task.is_pending() { queued } else { task.done || self.is_held_by(id, task) };
            (!settles).then_some(id)
        })
    }

    /// Whether all runs of a task are known at their workers.
    fn is_held_by(&self, id: TaskId, task: &TaskState) -> bool {
        task.attempts.iter().all(|(at, run)| {
            self.workers.get(at).is_some_and(|worker| worker.attempts.contains_key(&(id, *run)))
        })
    }
}

/// Whether all steps before this one are done.
fn has_turn(flow: &ActiveWorkflow, states: &[StepState], step: u16) -> bool {
    let after = &flow.submission.workflow.steps[usize::from(step)].after;
    after.iter().all(|after| states[usize::from(*after)].is_done())
}
