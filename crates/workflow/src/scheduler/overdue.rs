//! Long-running tasks that were at work and have waited for too long.
//!
//! They come first wherever capacity is freed. So while they find no room, stopping another long-running task helps nobody:
//! they take its place, and it waits in turn.

use {
    super::{Attempt, QueuedStep, Scheduler, Worker, placement::count_siblings},
    crate::{RunId, Step, Submission, TaskId, WorkerId, Workflow},
    compact_str::CompactString,
    egretlb_types::Resources,
};

/// Demand of a long-running task that was at work and finds no room.
#[derive(Debug)]
pub(super) struct OverdueDemand {
    service: CompactString,
    resources: Resources,
    label: Option<CompactString>,
    /// A task of the step, and how many of its tasks a worker may run; 0 for any number.
    task: TaskId,
    per_worker: usize,
}

impl OverdueDemand {
    /// Whether a task of the step fits nowhere else.
    fn covers(&self, service: &CompactString, step: &Step) -> bool {
        self.service == *service
            && self.resources.fits(&step.resources)
            && self.per_worker == 0
            && (self.label.is_none() || self.label == step.label)
    }

    /// Whether the waiting task fits a worker once a run there is stopped.
    fn fits_without(&self, worker: &Worker, stopped: &Attempt) -> bool {
        worker.info.service == self.service
            && self.label.as_ref().is_none_or(|label| worker.info.has_label(label))
            && self.resources.fits(&worker.free().plus(&stopped.reserved))
            && (self.per_worker == 0 || count_siblings(worker, self.task) < self.per_worker)
    }
}

impl Scheduler {
    /// Collects what long-running tasks demand that were at work and have waited for too long; of equal or larger demands
    /// of a service one suffices. Those that wait for a ticket, or for their gang, take no room.
    pub(super) fn collect_overdue_demands(&mut self, overdue: &[QueuedStep]) {
        let mut demands: Vec<OverdueDemand> = Vec::new();
        for key in overdue {
            let Some(workflow) = self.workflows.get(&key.workflow) else { continue };
            let Submission { service, workflow: Workflow { steps, .. }, .. } =
                &*workflow.submission;
            let Some(step) = steps.get(usize::from(key.step)) else { continue };
            let task = key.task(0);
            let needs_room = !step.best_effort && !step.gang;
            let needs_ticket = self.advice_terms(task.step_id()).is_some();
            if needs_room
                && !needs_ticket
                && !demands.iter().any(|demand| demand.covers(service, step))
            {
                let Step { resources, label, .. } = step;
                demands.push(OverdueDemand {
                    service: service.clone(),
                    resources: *resources,
                    label: label.clone(),
                    task,
                    per_worker: step.per_worker as usize,
                });
            }
        }
        self.overdue_demands = demands;
    }

    /// Whether a waiting task would take the place of a run that is stopped.
    pub(super) fn overdue_would_take(&self, worker: &Worker, stopped: &Attempt) -> bool {
        self.overdue_demands.iter().any(|demand| demand.fits_without(worker, stopped))
    }

    /// Like [`Scheduler::overdue_would_take`], by the run.
    pub(super) fn overdue_would_take_run(&self, id: &WorkerId, task: TaskId, run: RunId) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| {
            let attempt = worker.attempts.get(&(task, run));
            attempt.is_some_and(|attempt| self.overdue_would_take(worker, attempt))
        })
    }
}
