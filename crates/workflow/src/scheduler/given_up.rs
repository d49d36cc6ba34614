//! Workflows that fail because a task crashes its workers.

use {
    super::Scheduler,
    crate::{Crash, CrashEvidence, TaskId, WorkerId, WorkflowId, crash::is_given_up},
};

/// The workers that a task certainly crashed; none if its own last start wasn't the only suspect.
fn crashed_workers(crashes: &[Crash]) -> impl Iterator<Item = WorkerId> {
    let proven = crashes.last().is_some_and(|crash| crash.evidence == CrashEvidence::Alone);
    let certain = move |crash: &&Crash| proven && crash.evidence >= CrashEvidence::Shared;
    crashes.iter().filter(certain).map(|crash| crash.worker.clone())
}

impl Scheduler {
    /// Logs and counts the tasks of a workflow that are given up because they crash their workers, and clears the
    /// crashes that they explain from other tasks.
    pub(super) fn give_up_crashing_tasks(&mut self, id: WorkflowId) {
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
            self.clear_shared_crashes(id, &explained);
        }
    }

    /// Clears the shared crashes of the given workers from the tasks of all other workflows.
    fn clear_shared_crashes(&mut self, given_up: WorkflowId, workers: &[WorkerId]) {
        let others = self.workflows.iter_mut().filter(|(id, _)| **id != given_up);
        for (id, workflow) in others {
            let steps = workflow.occurrences.values_mut().flat_map(|state| &mut state.steps);
            for task in steps.flat_map(|step| &mut step.tasks) {
                let crashes = task.crashes.len();
                task.crashes.retain(|crash| {
                    crash.evidence != CrashEvidence::Shared || !workers.contains(&crash.worker)
                });
                if task.crashes.len() != crashes {
                    self.dirty.insert(*id);
                }
            }
        }
    }
}
