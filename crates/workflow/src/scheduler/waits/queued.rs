//! Tasks in a queue, and why the first of a step isn't running.

use {
    super::{
        super::{Ready, Requirements, Scheduler, Worker, placement::has_capacity},
        Cause, MOST_NAMED, MOST_PLACES, Reason, ServiceWorkers, WaitingStep,
    },
    crate::{Step, StepId, TaskId, WorkerId},
    egretlb_types::Time,
    smallvec::SmallVec,
};

/// How far a worker gets as the place of a task. What stops the one that gets furthest is the reason.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Stage {
    NoWorkers,
    NoLabel,
    NoRoom,
    Barred,
    AntiAffinity,
    FailedThere,
    Upkeep,
    NoTicket,
    ServingTasks,
    Company,
    Takes,
}

impl Stage {
    fn reason(self) -> Reason {
        match self {
            Stage::NoWorkers => Reason::NoWorkers,
            Stage::NoLabel => Reason::NoLabel,
            Stage::NoRoom => Reason::NoRoom,
            Stage::Barred => Reason::Barred,
            Stage::AntiAffinity => Reason::AntiAffinity,
            Stage::FailedThere => Reason::FailedThere,
            Stage::Upkeep => Reason::Upkeep,
            Stage::NoTicket => Reason::NoTicket,
            Stage::ServingTasks => Reason::ServingTasks,
            Stage::Company => Reason::Company,
            Stage::Takes => Reason::Next,
        }
    }

    /// Whether the workers tell more than that there are none or that they are full.
    fn names_workers(self) -> bool {
        self >= Stage::Barred
    }
}

/// A task and what it needs.
#[derive(Clone, Copy)]
struct Wanted<'a> {
    task: TaskId,
    need: Requirements<'a>,
    /// The same without regard to its step's other tasks.
    alone: Requirements<'a>,
}

impl Scheduler {
    /// The waiting tasks of a step in the queue.
    pub(super) fn queued_row(&mut self, now: Time, key: Ready) -> Option<WaitingStep> {
        self.front_task(key)?;
        let Cause { reason, workers, until, service_workers } = self.cause(now, key)?;
        let queue = self.queue_of(key)?;
        let tasks = queue.len();
        let mut indices: Vec<u32> = queue.iter().copied().take(MOST_NAMED).collect();
        indices.sort_unstable();
        let Ready { workflow, occurrence, step, long_running, .. } = key;
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

    /// Since when the first of the step's waiting tasks hasn't run.
    pub(super) fn queued_since(&mut self, key: Ready) -> Option<Time> {
        let queue: SmallVec<[u32; 16]> = self.queue_of(key)?.iter().copied().collect();
        queue.into_iter().filter_map(|index| self.down_since(key.task(index))).min()
    }

    fn cause(&mut self, now: Time, key: Ready) -> Option<Cause> {
        let flow = self.workflows.get(&key.workflow)?;
        let step = flow.submission.workflow.steps.get(usize::from(key.step))?.clone();
        if flow.inherited && !self.unreconciled.is_empty() {
            let workers = self.unreconciled.keys().take(MOST_NAMED).cloned().collect();
            let until = self.unreconciled.values().copied().max();
            return Some(Cause {
                reason: Reason::SurveyUnderWay,
                workers,
                until,
                service_workers: None,
            });
        }
        if self.lagging {
            return Some(Cause::plain(Reason::RecordsReadLate));
        }
        if !self.may_start() {
            return Some(Cause::plain(Reason::StartsUnderWay));
        }
        if step.long_running && self.defers_to_batch(now, key) {
            return Some(Cause::plain(Reason::GivesWay));
        }
        let index = *self.queue_of(key)?.front()?;
        if self.was_started(key.task(index)) && !self.may_restart(now) {
            return Some(Cause::plain(Reason::Unproven));
        }
        if self.is_suspect(key.task(index)) {
            return Some(Cause::plain(Reason::Trial));
        }
        let cause = self.best_place(now, key.task(index), &step)?;
        if step.gang && cause.reason == Reason::Next {
            return Some(Cause::plain(Reason::Gang));
        }
        Some(cause)
    }

    /// What stops the workers that would suit best.
    fn best_place(&mut self, now: Time, task: TaskId, step: &Step) -> Option<Cause> {
        let need = Requirements::new(step, &mut self.colocation);
        let alone = Step { per_worker: 0, ..step.clone() };
        let wanted = Wanted { task, need, alone: Requirements { step: &alone, ..need } };
        let mut best = Stage::NoWorkers;
        let mut workers: SmallVec<[WorkerId; 1]> = SmallVec::new();
        let mut until: Option<Time> = None;
        let service = self.workflows.get(&task.workflow)?.submission.service.clone();
        let mut fleet = ServiceWorkers::default();
        let of_service = |(_, worker): &(&WorkerId, &Worker)| worker.info.service == service;
        for (id, worker) in self.workers.iter().filter(of_service) {
            fleet.all += 1;
            fleet.eligible += usize::from(worker.is_eligible(now, &self.limits));
            let Some(stage) = self.stage(now, &wanted, id, worker) else { continue };
            if stage > best {
                best = stage;
                workers.clear();
                until = None;
            }
            if stage != best || !stage.names_workers() {
                continue;
            }
            if workers.len() < MOST_PLACES {
                workers.push(id.clone());
            }
            if stage == Stage::Barred {
                // The first that takes work again ends the wait.
                let bar = worker.excluded_until();
                until = Some(until.map_or(bar, |known| known.min(bar)));
            }
        }
        Some(Cause { reason: best.reason(), workers, until, service_workers: Some(fleet) })
    }

    /// How far a worker of the service gets; none if it takes no work for now, whatever it is.
    fn stage(
        &self,
        now: Time,
        wanted: &Wanted<'_>,
        id: &WorkerId,
        worker: &Worker,
    ) -> Option<Stage> {
        let Wanted { task, need, alone } = *wanted;
        if !worker.is_eligible(now, &self.limits) {
            return None;
        }
        if need.step.label.as_ref().is_some_and(|label| !worker.info.has_label(label)) {
            return Some(Stage::NoLabel);
        }
        if !has_capacity(worker, task, &alone) {
            return Some(Stage::NoRoom);
        }
        let state = self.task(task)?;
        Some(match () {
            () if now < worker.excluded_until() => Stage::Barred,
            () if !has_capacity(worker, task, &need) => Stage::AntiAffinity,
            () if state.avoid.as_ref().is_some_and(|avoid| avoid.worker == *id) => {
                Stage::FailedThere
            }
            () if self.is_in_maintenance(id) => Stage::Upkeep,
            () if !self.is_allowed(now, task, id) => Stage::NoTicket,
            () if need.step.best_effort
                && self
                    .colocation
                    .added_interference(&worker.neighbours, need.best_effort_demand())
                    .is_none() =>
            {
                Stage::ServingTasks
            }
            () if self.waits_for_better_worker(now, worker, task, &need) => Stage::Company,
            () => Stage::Takes,
        })
    }
}
