//! Held tasks: they are neither queued nor running, since a command for them is under way or
//! unconfirmed, or their worker is unresponsive.

use {
    super::{
        super::{Attempt, Phase, Scheduler, Worker},
        HeldSteps, MAX_NAMED, Reason,
    },
    crate::{RunId, StepId, TaskId, WorkerId},
    egretlb_types::Time,
    smallvec::SmallVec,
    std::collections::BTreeSet,
};

/// Why a run isn't known to be running, since when, and until when at most.
#[derive(Clone, Copy, Debug)]
struct NotRunning {
    reason: Reason,
    since: Time,
    until: Option<Time>,
}

/// Tasks of a step that are held for the same reason.
#[derive(Clone, Debug)]
pub(super) struct HeldTasks {
    pub(super) tasks: usize,
    pub(super) indices: SmallVec<[u32; MAX_NAMED]>,
    pub(super) workers: SmallVec<[WorkerId; 2]>,
    pub(super) since: Time,
    pub(super) until: Option<Time>,
}

impl HeldTasks {
    fn new(since: Time) -> HeldTasks {
        let (indices, workers) = (SmallVec::new(), SmallVec::new());
        HeldTasks { tasks: 0, indices, workers, since, until: None }
    }

    fn add(&mut self, index: u32, id: &WorkerId, not_running: &NotRunning) {
        self.tasks += 1;
        self.since = self.since.min(not_running.since);
        self.until = self.until.max(not_running.until);
        if self.indices.len() < MAX_NAMED {
            self.indices.push(index);
        }
        if self.workers.len() < MAX_NAMED && !self.workers.contains(id) {
            self.workers.push(id.clone());
        }
    }
}

impl Scheduler {
    /// Returns all held tasks. Scans all attempts, so it is called once a second at most.
    pub(super) fn held_steps(&self, now: Time) -> HeldSteps {
        let mut steps = HeldSteps::new();
        let mut counted: BTreeSet<TaskId> = BTreeSet::new();
        for (id, worker) in &self.workers {
            for ((task, run), attempt) in &worker.attempts {
                let Some(mut not_running) = self.why_not_running(now, worker, attempt) else {
                    continue;
                };
                if !self.is_wanted_and_down(now, *task, (id, *run)) || !counted.insert(*task) {
                    continue;
                }
                if matches!(not_running.reason, Reason::BeingStarted | Reason::StartInDoubt) {
                    // It was already down before that start.
                    let before = self.task(*task).and_then(|state| state.down_since);
                    not_running.since =
                        before.map_or(not_running.since, |before| before.min(not_running.since));
                }
                let held = steps.entry((task.step_id(), not_running.reason));
                held.or_insert_with(|| HeldTasks::new(not_running.since)).add(
                    task.index,
                    id,
                    &not_running,
                );
            }
        }
        steps
    }

    /// Returns why a run isn't known to be running; `None` if it is.
    fn why_not_running(&self, now: Time, worker: &Worker, attempt: &Attempt) -> Option<NotRunning> {
        if !worker.is_responsive(now, &self.limits) {
            let since =
                worker.last_contact.map_or(attempt.placed_at, |at| at.max(attempt.placed_at));
            let until = Some(worker.lease_bound());
            return Some(NotRunning { reason: Reason::SilentWorker, since, until });
        }
        let (reason, since) = match attempt.phase {
            Phase::Running { .. } => return None,
            Phase::Starting => (Reason::BeingStarted, attempt.placed_at),
            Phase::Unconfirmed { .. } => (Reason::StartInDoubt, attempt.placed_at),
            Phase::Stopping { .. } => {
                (Reason::BeingStopped, attempt.stop.map_or(attempt.placed_at, |stop| stop.since))
            }
        };
        Some(NotRunning { reason, since, until: None })
    }

    /// Whether a task should run and none of its attempts other than `except` is running.
    fn is_wanted_and_down(&self, now: Time, task: TaskId, except: (&WorkerId, RunId)) -> bool {
        let Some(state) = self.task(task) else { return false };
        let is_running = |(id, run): &(WorkerId, RunId)| {
            let worker = self.workers.get(id);
            let attempt =
                worker.and_then(|worker| Some((worker, worker.attempts.get(&(task, *run))?)));
            attempt.is_some_and(|(worker, attempt)| {
                self.why_not_running(now, worker, attempt).is_none()
            })
        };
        let mut others = state.attempts.iter().filter(|(id, run)| (id, *run) != except);
        !state.done && !others.any(is_running)
    }

    /// Since when a queued task hasn't run.
    pub(in crate::scheduler) fn down_since(&self, task: TaskId) -> Option<Time> {
        let StepId { workflow, occurrence, step } = task.step_id();
        let occurrence = self.workflows.get(&workflow)?.occurrences.get(&occurrence)?;
        let step = occurrence.steps.get(usize::from(step))?;
        // A task that has never run has waited since its step was queued.
        Some(step.tasks.get(task.index as usize)?.down_since.unwrap_or(step.queue_since))
    }

    /// Returns why a run isn't known to be running, and since when.
    pub(super) fn not_running_reason(
        &self,
        now: Time,
        id: &WorkerId,
        task: TaskId,
        run: RunId,
    ) -> Option<(Reason, Time)> {
        let worker = self.workers.get(id)?;
        let not_running = self.why_not_running(now, worker, worker.attempts.get(&(task, run))?)?;
        Some((not_running.reason, not_running.since))
    }

    /// Sets since when a task whose run is over hasn't run. An earlier time is kept if the task has
    /// no attempts left.
    pub(super) fn set_down_since(&mut self, task: TaskId, since: Time) {
        if let Some(state) = self.task_mut(task)
            && (!state.attempts.is_empty() || state.down_since.is_none())
        {
            state.down_since = Some(since);
        }
    }

    /// Sets since when a task whose run never began hasn't run, unless that is already set.
    pub(super) fn set_down_since_if_unset(&mut self, task: TaskId, since: Time) {
        if let Some(state) = self.task_mut(task) {
            state.down_since.get_or_insert(since);
        }
    }
}
