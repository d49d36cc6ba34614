//! Life cycle of workflows: their occurrences, their open steps and the queues of tasks.

use {
    super::{
        Effect, QueuedStep, Scheduler,
        active_workflow::{ActiveWorkflow, StepState, TaskState},
        waits::StopReason,
    },
    crate::{Entry, Outcome, RunId, Step, TaskId, WorkerId, WorkflowId},
    egretlb_types::Time,
};

impl Scheduler {
    /// Adds a workflow from its records, with its due occurrences. Ignores one that is known already.
    pub(super) fn add_workflow(
        &mut self,
        now: Time,
        id: WorkflowId,
        entry: &Entry,
        inherited: bool,
    ) {
        if entry.progress.outcome.is_some() {
            self.ended.push((now, id));
            return;
        }
        if self.workflows.contains_key(&id) {
            return;
        }
        let Some(mut active) = ActiveWorkflow::new(entry, inherited) else { return };
        if entry.cancelled {
            // No task is started; runs that are found are stopped.
            active.outcome = Some(Outcome::Cancelled);
            active.occurrences.clear();
            self.dirty.insert(id);
        }
        let occurrences: Vec<u32> = active.occurrences.keys().copied().collect();
        self.workflows.insert(id, active);
        for number in occurrences {
            self.open_steps(now, id, number);
        }
        self.mark_inherited_down(now, id);
        self.begin_occurrences(now, id);
    }

    /// Counts the inherited long-running tasks of a workflow as down from now on, until they are found. Which of them were at
    /// work isn't recorded, and those that have lost their worker would wait behind all batch tasks.
    fn mark_inherited_down(&mut self, now: Time, id: WorkflowId) {
        let Some(active) = self.workflows.get_mut(&id) else { return };
        if !active.inherited || !active.started {
            return;
        }
        let specs = &active.submission.workflow.steps;
        for occurrence in active.occurrences.values_mut() {
            for (state, _) in
                occurrence.steps.iter_mut().zip(specs).filter(|(_, spec)| spec.long_running)
            {
                let pending = state.tasks.iter_mut().filter(|task| state.open && task.is_pending());
                pending.for_each(|task| task.down_since = Some(now));
            }
        }
    }

    /// Begins the due occurrences of all workflows.
    pub(super) fn begin_due_occurrences(&mut self, now: Time) {
        let due = |active: &ActiveWorkflow| {
            active.next_occurrence < active.submission.workflow.occurrences()
        };
        let ids: Vec<WorkflowId> =
            self.workflows.iter().filter(|(_, active)| due(active)).map(|(id, _)| *id).collect();
        for id in ids {
            self.begin_occurrences(now, id);
        }
    }

    /// Begins the occurrences of a workflow that are due by wall-clock time.
    pub(super) fn begin_occurrences(&mut self, now: Time, id: WorkflowId) {
        while let Some(active) = self.workflows.get_mut(&id) {
            let number = active.next_occurrence;
            let more = number < active.submission.workflow.occurrences();
            if active.outcome.is_some() || !more || active.due_at(number) > self.wall_ms {
                return;
            }
            if active.has_begun(number) {
                active.next_occurrence += 1;
                continue;
            }
            if !active.may_begin_another() {
                return;
            }
            active.next_occurrence += 1;
            let occurrence = active.new_occurrence(None);
            active.occurrences.insert(number, occurrence);
            self.open_steps(now, id, number);
        }
    }

    /// Begins the occurrence of a task that an earlier leader has started, if it isn't known here. That leader hasn't recorded that
    /// it began, and here it isn't due by the clock, or too many others are unfinished.
    pub(super) fn begin_found_occurrence(&mut self, now: Time, task: TaskId) {
        let TaskId { workflow: id, occurrence: number, .. } = task;
        let Some(active) = self.workflows.get_mut(&id).filter(|a| a.shows_unrecorded_begin(task))
        else {
            return;
        };
        let occurrence = active.new_occurrence(None);
        active.occurrences.insert(number, occurrence);
        let due_in_ms = active.due_at(number).saturating_sub(self.wall_ms);
        log::info!(workflow:% = id, occurrence = number, due_in_ms; "occurrence_found");
        self.open_steps(now, id, number);
    }

    /// Opens the steps of an occurrence whose predecessors are all done, and queues their tasks.
    pub(super) fn open_steps(&mut self, now: Time, id: WorkflowId, number: u32) {
        let Some(active) = self.workflows.get_mut(&id) else { return };
        let steps = &active.submission.workflow.steps;
        let (priority, due_ms) = (active.submission.priority, active.due_ms);
        let max_attempts = active.submission.max_attempts;
        let Some(occurrence) = active.occurrences.get_mut(&number) else { return };
        let done: Vec<bool> = occurrence.steps.iter().map(StepState::is_done).collect();
        let mut queued = Vec::new();
        for (step_no, state) in (0u16..).zip(&mut occurrence.steps) {
            let blocked =
                steps[usize::from(step_no)].after.iter().any(|after| !done[usize::from(*after)]);
            if state.open || blocked {
                continue;
            }
            state.open = true;
            let gang = steps[usize::from(step_no)].gang;
            let has_failed = |task: &TaskState| task.has_failed(max_attempts, gang);
            if state.tasks.iter().any(|task| task.is_pending() && has_failed(task)) {
                self.exhausted.insert(id);
            }
            let pending = (0u32..).zip(&state.tasks).filter(|(_, task)| task.is_pending());
            state.queue = pending.map(|(index, _)| index).collect();
            if !state.queue.is_empty() {
                let long_running = steps[usize::from(step_no)].long_running;
                state.queue_since = now;
                queued.push(QueuedStep {
                    priority,
                    long_running,
                    due_ms,
                    workflow: id,
                    occurrence: number,
                    step: step_no,
                });
            }
        }
        queued.into_iter().for_each(|key| self.queue_step(key));
    }

    pub(super) fn cancel(&mut self, now: Time, id: WorkflowId, out: &mut Vec<Effect>) {
        self.end_workflow(now, id, Outcome::Cancelled, out);
    }

    /// Ends a workflow: stops its runs and schedules the recording of its outcome.
    pub(super) fn end_workflow(
        &mut self,
        now: Time,
        id: WorkflowId,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(active) = self.workflows.get_mut(&id) else { return };
        if active.outcome.is_some() {
            return;
        }
        active.outcome = Some(outcome);
        self.dirty.insert(id);
        self.queued_steps.retain(|queued| queued.workflow != id);
        let tasks = active.occurrences.values().flat_map(|occurrence| &occurrence.steps);
        let attempts: Vec<(WorkerId, RunId)> =
            tasks.flat_map(|step| &step.tasks).flat_map(|task| task.attempts.clone()).collect();
        active.occurrences.clear();
        self.colocation.forget(id);
        self.remove_advice(id);
        log::info!(workflow:% = id, outcome:? = outcome, copies = attempts.len(); "workflow_ended");
        for (worker, run) in attempts {
            self.stop_runs(now, &worker, StopReason::WorkflowEnded, out, |task, other_run| {
                task.workflow == id && other_run == run
            });
        }
    }

    pub(super) fn step(&self, task: TaskId) -> Option<&Step> {
        let active = self.workflows.get(&task.workflow)?;
        active.submission.workflow.steps.get(usize::from(task.step))
    }

    pub(super) fn task(&self, task: TaskId) -> Option<&TaskState> {
        let occurrence = self.workflows.get(&task.workflow)?.occurrences.get(&task.occurrence)?;
        occurrence.steps.get(usize::from(task.step))?.tasks.get(task.index as usize)
    }

    pub(super) fn task_mut(&mut self, task: TaskId) -> Option<&mut TaskState> {
        let active = self.workflows.get_mut(&task.workflow)?;
        let occurrence = active.occurrences.get_mut(&task.occurrence)?;
        let step = occurrence.steps.get_mut(usize::from(task.step))?;
        step.tasks.get_mut(task.index as usize)
    }

    /// Queues a task that is neither done nor running.
    pub(super) fn enqueue(&mut self, now: Time, task: TaskId) {
        let Some(active) = self.workflows.get_mut(&task.workflow) else { return };
        if active.outcome.is_some() {
            return;
        }
        let (priority, due_ms) = (active.submission.priority, active.due_ms);
        let Some(occurrence) = active.occurrences.get_mut(&task.occurrence) else { return };
        let Some(step) = occurrence.steps.get_mut(usize::from(task.step)) else { return };
        let Some(state) = step.tasks.get(task.index as usize) else { return };
        if !step.open || !state.is_pending() {
            return;
        }
        let max_attempts = active.submission.max_attempts;
        let gang = active.submission.workflow.steps[usize::from(task.step)].gang;
        // A disputed task waits in the queue until it is decided, see `choose_isolated`.
        if state.has_failed(max_attempts, gang) {
            self.exhausted.insert(task.workflow);
            return;
        }
        if step.queue.contains(&task.index) {
            return;
        }
        if step.queue.is_empty() {
            step.queue_since = now;
        }
        step.queue.push_front(task.index);
        let long_running = active.submission.workflow.steps[usize::from(task.step)].long_running;
        self.queue_step(QueuedStep {
            priority,
            long_running,
            due_ms,
            workflow: task.workflow,
            occurrence: task.occurrence,
            step: task.step,
        });
    }
}
