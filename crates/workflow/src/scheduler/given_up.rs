//! Workflows that fail because a task crashes its workers.

use {
    super::{ActiveWorkflow, Effect, Scheduler, active_workflow::TaskState},
    crate::{Crash, CrashEvidence, Outcome, TaskId, WorkerId, WorkflowId, crash::is_given_up},
    egretlb_types::Time,
    std::collections::BTreeSet,
};

/// The workers that a task certainly crashed; none if its own last start wasn't the only suspect.
fn crashed_workers(crashes: &[Crash]) -> impl Iterator<Item = WorkerId> {
    let proven = crashes.last().is_some_and(|crash| crash.evidence == CrashEvidence::Alone);
    let certain = move |crash: &&Crash| proven && crash.evidence >= CrashEvidence::Shared;
    crashes.iter().filter(certain).map(|crash| crash.worker.clone())
}

impl ActiveWorkflow {
    /// Whether a task without a run has no attempts left and meets `predicate`, which is also told whether the task belongs
    /// to a gang.
    fn any_exhausted(&self, predicate: impl Fn(&TaskState, bool) -> bool) -> bool {
        let steps = &self.submission.workflow.steps;
        let max_attempts = self.submission.max_attempts;
        self.occurrences.values().flat_map(|occurrence| steps.iter().zip(&occurrence.steps)).any(
            |(step, state)| {
                state.tasks.iter().any(|task| {
                    task.is_pending()
                        && task.is_exhausted(max_attempts)
                        && predicate(task, step.gang)
                })
            },
        )
    }
}

impl Scheduler {
    /// Ends the workflows with a task that has no attempts left. Giving up one task may clear a crash from another one, so
    /// disputed tasks come last, and each workflow is checked again.
    pub(super) fn end_exhausted_workflows(&mut self, now: Time, out: &mut Vec<Effect>) {
        let exhausted = std::mem::take(&mut self.exhausted);
        let has_failed = |id: &WorkflowId| {
            self.workflows.get(id).is_some_and(|workflow| {
                let max_attempts = workflow.submission.max_attempts;
                workflow.any_exhausted(|task, gang| task.has_failed(max_attempts, gang))
            })
        };
        let (failed, disputed): (BTreeSet<WorkflowId>, BTreeSet<WorkflowId>) =
            exhausted.into_iter().partition(has_failed);
        for id in failed.into_iter().chain(disputed) {
            let workflow = self.workflows.get(&id);
            if workflow.is_some_and(|workflow| workflow.any_exhausted(|_, _| true)) {
                self.give_up_crashing_tasks(now, id);
                self.end_workflow(now, id, Outcome::Failed, out);
            } else {
                self.enqueue_pending(now, id);
            }
        }
    }

    /// Queues all tasks of a workflow that are neither done nor running. A task that had no attempts left wasn't queued.
    fn enqueue_pending(&mut self, now: Time, id: WorkflowId) {
        let Some(workflow) = self.workflows.get(&id) else { return };
        let mut pending: Vec<TaskId> = Vec::new();
        for (occurrence, state) in &workflow.occurrences {
            for (step, state) in (0u16..).zip(&state.steps) {
                let tasks = (0u32..).zip(&state.tasks).filter(|(_, task)| task.is_pending());
                let id = |(index, _)| TaskId { workflow: id, occurrence: *occurrence, step, index };
                pending.extend(tasks.map(id));
            }
        }
        pending.into_iter().for_each(|task| self.enqueue(now, task));
    }

    /// Logs and counts the tasks of a workflow that are given up because they crash their workers, and clears the
    /// crashes that they explain from other tasks.
    fn give_up_crashing_tasks(&mut self, now: Time, id: WorkflowId) {
        let Some(workflow) = self.workflows.get(&id).filter(|workflow| workflow.outcome.is_none())
        else {
            return;
        };
        let mut explained: Vec<WorkerId> = Vec::new();
        for (occurrence_number, occurrence) in &workflow.occurrences {
            for (step, state) in (0u16..).zip(&occurrence.steps) {
                let tasks = (0u32..).zip(&state.tasks);
                for (index, state) in tasks.filter(|(_, task)| is_given_up(&task.crashes)) {
                    let task = TaskId { workflow: id, occurrence: *occurrence_number, step, index };
                    let crashes = state.crashes.len();
                    log::warn!(task:%, crashes; "task_given_up");
                    self.stats.given_up += 1;
                    explained.extend(crashed_workers(&state.crashes));
                }
            }
        }
        if !explained.is_empty() {
            self.clear_explained_crashes(now, id, &explained);
        }
    }

    /// Clears the crashes of the given workers from the tasks of all other workflows, also of those that had run there for
    /// a while. Some of these have attempts left again, and are queued.
    fn clear_explained_crashes(&mut self, now: Time, given_up: WorkflowId, workers: &[WorkerId]) {
        let mut cleared: Vec<TaskId> = Vec::new();
        for (id, workflow) in self.workflows.iter_mut().filter(|(id, _)| **id != given_up) {
            for (occurrence, state) in &mut workflow.occurrences {
                for (step, state) in (0u16..).zip(&mut state.steps) {
                    for (index, task) in (0u32..).zip(&mut state.tasks) {
                        let crashes = task.crashes.len();
                        task.crashes.retain(|crash| {
                            crash.evidence == CrashEvidence::Alone
                                || !workers.contains(&crash.worker)
                        });
                        if task.crashes.len() != crashes {
                            let (workflow, occurrence) = (*id, *occurrence);
                            cleared.push(TaskId { workflow, occurrence, step, index });
                        }
                    }
                }
            }
        }
        for task in cleared {
            self.dirty.insert(task.workflow);
            self.enqueue(now, task);
        }
    }
}
