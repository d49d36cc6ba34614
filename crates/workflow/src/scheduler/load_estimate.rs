//! Records the estimated load, by which other processes admit submissions.

use {
    super::{
        Scheduler,
        active_workflow::{ActiveWorkflow, StepState},
    },
    crate::{LoadEstimate, LoadEstimator, Record, ServiceCapacity, Step, TaskId, WaitingWork},
    compact_str::CompactString,
    egretlb_types::{Resources, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Minimum interval between two estimates; every process that follows the records reads them.
const INTERVAL: Duration = Duration::from_millis(500);

/// Run time from which a task doesn't count as more work, in milliseconds. A task takes its cores from the others for no longer than
/// the delays that matter: an hour on one core delays nobody by a second of 3,600 cores.
const MAX_TASK_MS: u32 = 10_000;

/// The estimator, and what was last recorded.
#[derive(Debug, Default)]
pub(super) struct LoadRecorder {
    estimator: LoadEstimator,
    estimated_at: Option<Time>,
    /// The last record names a backlog.
    backlog_recorded: bool,
}

/// Whether a step's tasks are counted as work. Long-running tasks take no place in the queue that ends by itself, and best-effort
/// tasks only use CPU time that others leave. What only some workers may run may wait although the others have free
/// capacity.
fn is_counted(step: &Step) -> bool {
    !step.long_running && !step.best_effort && step.label.is_none() && step.per_worker == 0
}

/// Estimated work of tasks of a step, in core-milliseconds.
fn core_ms(step: &Step, tasks: usize) -> u64 {
    let time_ms = u64::from(step.estimate_ms.min(MAX_TASK_MS));
    let each = u64::from(step.resources.cpu.0) * time_ms / 1_000;
    each.saturating_mul(tasks as u64)
}

/// Number of a step's tasks that haven't been started.
fn waiting_tasks(state: &StepState) -> usize {
    if state.open { state.queue.len() } else { state.tasks.len() - state.done as usize }
}

/// The work of a workflow that hasn't been started; tasks larger than `max` fit no worker and aren't counted.
fn waiting_work<'a>(active: &'a ActiveWorkflow, max: &Resources) -> WaitingWork<'a> {
    let submission = &active.submission;
    let mut work = WaitingWork {
        service: &submission.service,
        route: &submission.route,
        priority: submission.priority,
        accepted_ms: submission.accepted_ms,
        due_ms: active.due_ms,
        remaining_ms: 0,
        core_ms: 0,
    };
    if active.outcome.is_some() {
        return work;
    }
    let steps = &submission.workflow.steps;
    for occurrence in active.occurrences.values() {
        for (step, state) in steps.iter().zip(&occurrence.steps) {
            let waiting = waiting_tasks(state);
            if waiting > 0 && is_counted(step) && step.resources.fits(max) {
                work.core_ms = work.core_ms.saturating_add(core_ms(step, waiting));
                work.remaining_ms = work.remaining_ms.max(u64::from(step.estimate_ms));
            }
        }
    }
    work
}

impl Scheduler {
    /// Notes that a task completed.
    pub(super) fn note_work_done(&mut self, now: Time, task: TaskId) {
        if !self.limits.policies.admission {
            return;
        }
        let Some(active) = self.workflows.get(&task.workflow) else { return };
        let submission = &active.submission;
        let Some(step) = submission.workflow.steps.get(usize::from(task.step)) else { return };
        if is_counted(step) {
            self.load.estimator.note_done(now, &submission.service, core_ms(step, 1));
        }
    }

    /// Adds an estimate of the load while there is a backlog, and one without entries when the backlog is over.
    pub(super) fn record_load(&mut self, now: Time, records: &mut Vec<Record>) {
        let is_due = self.load.estimated_at.is_none_or(|at| now.since(at) >= INTERVAL);
        if !self.limits.policies.admission || !is_due {
            return;
        }
        self.load.estimated_at = Some(now);
        let estimate = self.estimate_load(now);
        let has_backlog = !estimate.services.is_empty();
        if !has_backlog && !self.load.backlog_recorded {
            return;
        }
        if has_backlog != self.load.backlog_recorded {
            let max_delay_ms = estimate.max_delay_ms();
            log::info!(backlog = has_backlog, max_delay_ms; "load_estimate_changed");
        }
        self.load.backlog_recorded = has_backlog;
        let Some(record) = estimate.to_record() else { return };
        self.stats.load_estimates += 1;
        records.push(record);
    }

    fn estimate_load(&mut self, now: Time) -> LoadEstimate {
        let (capacity, largest) = self.service_capacity(now);
        let no_capacity = Resources::default();
        let work: Vec<WaitingWork<'_>> = self
            .workflows
            .values()
            .map(|active| {
                let max = largest.get(&active.submission.service).unwrap_or(&no_capacity);
                waiting_work(active, max)
            })
            .filter(|work| work.core_ms > 0)
            .collect();
        let by_feasibility = self.limits.policies.feasibility_order;
        let made = (self.epoch, self.wall_ms);
        self.load.estimator.estimate(now, made, by_feasibility, &work, capacity)
    }

    /// Free capacity and CPU at work of each service, and the most that a worker of it can offer.
    fn service_capacity(
        &self,
        now: Time,
    ) -> (BTreeMap<CompactString, ServiceCapacity>, BTreeMap<CompactString, Resources>) {
        let mut capacity: BTreeMap<CompactString, ServiceCapacity> = BTreeMap::new();
        let mut largest: BTreeMap<CompactString, Resources> = BTreeMap::new();
        for worker in self.workers.values().filter(|w| w.is_eligible(now, &self.limits)) {
            let service = &worker.info.service;
            let of_service = capacity.entry(service.clone()).or_default();
            if worker.accepts_work(now, &self.limits) {
                of_service.free.add(worker.free());
            }
            let batch = worker.attempts.values().filter(|run| !run.long_running);
            of_service.at_work += batch.map(|run| u64::from(run.reserved.cpu.0)).sum::<u64>();
            let max = largest.entry(service.clone()).or_default();
            *max = max.max(&worker.info.capacity);
        }
        (capacity, largest)
    }
}
