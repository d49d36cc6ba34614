//! Queued tasks, and why the first of a step isn't running.

use {
    super::{
        super::{QueuedStep, Requirements, Scheduler, Worker, placement::meets_requirements},
        Cause, MAX_NAMED, MAX_NAMED_WITH_CAPACITY, Reason, ServiceWorkers, WaitingStep,
    },
    crate::{Step, StepId, TaskId, WorkerId},
    egretlb_types::Time,
    smallvec::SmallVec,
};

/// The check for a task that a worker fails, in the order of the checks. The latest one that any
/// worker fails, or `Accepts`, gives the reason of the wait.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum CheckStage {
    NoWorkers,
    NoLabel,
    NoCapacity,
    Evacuated,
    Excluded,
    AntiAffinity,
    FailedThere,
    Maintenance,
    NoTicket,
    Interference,
    BetterWorkerExpected,
    Accepts,
}

impl CheckStage {
    fn reason(self) -> Reason {
        match self {
            CheckStage::NoWorkers => Reason::NoWorkers,
            CheckStage::NoLabel => Reason::NoLabel,
            CheckStage::NoCapacity => Reason::NoRoom,
            CheckStage::Evacuated => Reason::Evacuated,
            CheckStage::Excluded => Reason::Barred,
            CheckStage::AntiAffinity => Reason::AntiAffinity,
            CheckStage::FailedThere => Reason::FailedThere,
            CheckStage::Maintenance => Reason::Upkeep,
            CheckStage::NoTicket => Reason::NoTicket,
            CheckStage::Interference => Reason::ServingTasks,
            CheckStage::BetterWorkerExpected => Reason::Company,
            CheckStage::Accepts => Reason::Next,
        }
    }

    /// Whether naming the workers helps: not if there are none or all are full.
    fn names_workers(self) -> bool {
        self >= CheckStage::Excluded
    }
}

/// A task and its requirements.
#[derive(Clone, Copy)]
struct WaitingTask<'a> {
    task: TaskId,
    requirements: Requirements<'a>,
    /// The requirements without anti-affinity to the step's other tasks.
    without_anti_affinity: Requirements<'a>,
}

impl Scheduler {
    /// Describes the queued tasks of a step.
    pub(super) fn queued_row(&mut self, now: Time, key: QueuedStep) -> Option<WaitingStep> {
        self.front_task(key)?;
        let Cause { reason, workers, until, service_workers } = self.cause(now, key)?;
        let queue = self.queue_of(key)?;
        let tasks = queue.len();
        let mut indices: Vec<u32> = queue.iter().copied().take(MAX_NAMED).collect();
        indices.sort_unstable();
        let QueuedStep { workflow, occurrence, step, long_running, .. } = key;
        let step = StepId { workflow, occurrence, step };
        Some(WaitingStep {
            step,
            tasks,
            indices,
            long_running,
            waited: now.since(self.queued_since(key)?),
            reason,
            workers: workers.to_vec(),
            until: until.map(|until| until.since(now)),
            service_workers,
        })
    }

    /// Since when the longest-waiting queued task of the step hasn't run.
    pub(super) fn queued_since(&mut self, key: QueuedStep) -> Option<Time> {
        let queue: SmallVec<[u32; 16]> = self.queue_of(key)?.iter().copied().collect();
        queue.into_iter().filter_map(|index| self.down_since(key.task(index))).min()
    }

    fn cause(&mut self, now: Time, key: QueuedStep) -> Option<Cause> {
        let active = self.workflows.get(&key.workflow)?;
        let step = active.submission.workflow.steps.get(usize::from(key.step))?.clone();
        let service = &active.submission.service;
        if active.inherited && self.may_have_unknown_runs(service, &step) {
            return Some(self.reconciliation_cause());
        }
        if self.lagging {
            return Some(Cause::from_reason(Reason::RecordsReadLate));
        }
        if !self.may_start() {
            return Some(Cause::from_reason(Reason::StartsUnderWay));
        }
        if step.long_running && self.defers_to_batch(now, key) {
            return Some(Cause::from_reason(Reason::GivesWay));
        }
        let index = *self.queue_of(key)?.front()?;
        if self.was_started(key.task(index)) && !self.may_restart(now) {
            return Some(Cause::from_reason(Reason::Unproven));
        }
        if self.is_suspect(key.task(index)) {
            return Some(Cause::from_reason(Reason::Trial));
        }
        let cause = self.furthest_stage(now, key.task(index), &step)?;
        if step.gang && cause.reason == Reason::Next {
            return Some(Cause::from_reason(Reason::Gang));
        }
        Some(cause)
    }

    /// Describes the wait of an inherited task for the workers of the predecessor.
    fn reconciliation_cause(&self) -> Cause {
        let has_answers = self.has_all_running_lists() && self.unreadable_roster.is_none();
        let reason = if has_answers { Reason::EndsUnlisted } else { Reason::SurveyUnderWay };
        let workers = self.unreconciled.keys().take(MAX_NAMED).cloned().collect();
        let until = self.unreconciled.iter().map(|(id, until)| self.reconciled_by(id, *until));
        let until = until.chain(self.unreadable_roster.as_ref().map(|roster| roster.until)).max();
        Cause { reason, workers, until, service_workers: None }
    }

    /// Returns what excludes the workers that pass the most checks.
    fn furthest_stage(&mut self, now: Time, task: TaskId, step: &Step) -> Option<Cause> {
        let requirements = Requirements::new(step, &mut self.colocation);
        let without_anti_affinity = Step { per_worker: 0, ..step.clone() };
        let waiting = WaitingTask {
            task,
            requirements,
            without_anti_affinity: Requirements { step: &without_anti_affinity, ..requirements },
        };
        let mut best = CheckStage::NoWorkers;
        let mut workers: SmallVec<[WorkerId; 1]> = SmallVec::new();
        let mut until: Option<Time> = None;
        let service = self.workflows.get(&task.workflow)?.submission.service.clone();
        let mut counts = ServiceWorkers::default();
        let of_service = |(_, worker): &(&WorkerId, &Worker)| worker.info.service == service;
        for (id, worker) in self.workers.iter().filter(of_service) {
            counts.all += 1;
            counts.eligible += usize::from(worker.is_eligible(now, &self.limits));
            let Some(stage) = self.stage(now, &waiting, id, worker) else { continue };
            if stage > best {
                best = stage;
                workers.clear();
                until = None;
            }
            if stage != best || !stage.names_workers() {
                continue;
            }
            if workers.len() < MAX_NAMED_WITH_CAPACITY {
                workers.push(id.clone());
            }
            if stage == CheckStage::Excluded {
                // The first worker that accepts tasks again ends the wait.
                let excluded_until = worker.excluded_until();
                until = Some(until.map_or(excluded_until, |earliest| earliest.min(excluded_until)));
            }
        }
        Some(Cause { reason: best.reason(), workers, until, service_workers: Some(counts) })
    }

    /// Returns the check that a worker fails; `None` if it accepts no tasks at all.
    fn stage(
        &self,
        now: Time,
        waiting: &WaitingTask<'_>,
        id: &WorkerId,
        worker: &Worker,
    ) -> Option<CheckStage> {
        let WaitingTask { task, requirements, without_anti_affinity } = *waiting;
        if !worker.is_available(now, &self.limits) {
            return None;
        }
        if requirements.step.label.as_ref().is_some_and(|label| !worker.info.has_label(label)) {
            return Some(CheckStage::NoLabel);
        }
        if !meets_requirements(worker, task, &without_anti_affinity) {
            return Some(CheckStage::NoCapacity);
        }
        let state = self.task(task)?;
        Some(match () {
            () if worker.evacuated => CheckStage::Evacuated,
            () if now < worker.excluded_until() => CheckStage::Excluded,
            () if !meets_requirements(worker, task, &requirements) => CheckStage::AntiAffinity,
            () if state.avoid.as_ref().is_some_and(|avoid| avoid.worker == *id) => {
                CheckStage::FailedThere
            }
            () if self.is_in_maintenance(id) => CheckStage::Maintenance,
            () if !self.is_allowed(now, task, id) => CheckStage::NoTicket,
            () if requirements.step.best_effort
                && self
                    .colocation
                    .added_interference(
                        &worker.neighbours,
                        requirements.best_effort_demand(),
                        self.is_short_of_time(task, 0),
                    )
                    .is_none() =>
            {
                CheckStage::Interference
            }
            () if self.waits_for_better_worker(now, worker, task, &requirements) => {
                CheckStage::BetterWorkerExpected
            }
            () => CheckStage::Accepts,
        })
    }
}
