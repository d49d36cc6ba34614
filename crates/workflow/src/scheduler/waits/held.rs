//! Tasks that are in no queue although they don't run: an order for them is under way or in doubt, or
//! their worker doesn't answer.

use {
    super::{
        super::{Attempt, Phase, Scheduler, Worker},
        HeldSteps, MOST_NAMED, Reason,
    },
    crate::{RunId, StepId, TaskId, WorkerId},
    egretlb_types::Time,
    smallvec::SmallVec,
    std::collections::BTreeSet,
};

/// Why a run isn't known to be at work, since when, and until when at most.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    reason: Reason,
    since: Time,
    until: Option<Time>,
}

/// Tasks of a step that are held for the same reason.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) tasks: usize,
    pub(super) indices: SmallVec<[u32; MOST_NAMED]>,
    pub(super) workers: SmallVec<[WorkerId; 2]>,
    pub(super) since: Time,
    pub(super) until: Option<Time>,
}

impl Held {
    fn new(since: Time) -> Held {
        let (indices, workers) = (SmallVec::new(), SmallVec::new());
        Held { tasks: 0, indices, workers, since, until: None }
    }

    fn add(&mut self, index: u32, id: &WorkerId, doubt: &Doubt) {
        self.tasks += 1;
        self.since = self.since.min(doubt.since);
        self.until = self.until.max(doubt.until);
        if self.indices.len() < MOST_NAMED {
            self.indices.push(index);
        }
        if self.workers.len() < MOST_NAMED && !self.workers.contains(id) {
            self.workers.push(id.clone());
        }
    }
}

impl Scheduler {
    /// All held tasks. One pass over what may run at all workers, so it is called once a second at most.
    pub(super) fn held_steps(&self, now: Time) -> HeldSteps {
        let mut steps = HeldSteps::new();
        let mut counted: BTreeSet<TaskId> = BTreeSet::new();
        for (id, worker) in &self.workers {
            for ((task, run), copy) in &worker.attempts {
                let Some(mut doubt) = self.doubt(now, worker, copy) else { continue };
                if !self.is_wanted_and_down(now, *task, (id, *run)) || !counted.insert(*task) {
                    continue;
                }
                if matches!(doubt.reason, Reason::BeingStarted | Reason::StartInDoubt) {
                    // It was down before that start.
                    let before = self.task(*task).and_then(|state| state.down_since);
                    doubt.since = before.map_or(doubt.since, |before| before.min(doubt.since));
                }
                let held = steps.entry((task.step_id(), doubt.reason));
                held.or_insert_with(|| Held::new(doubt.since)).add(task.index, id, &doubt);
            }
        }
        steps
    }

    /// None if a run is at work for all that is known.
    fn doubt(&self, now: Time, worker: &Worker, copy: &Attempt) -> Option<Doubt> {
        if !worker.is_responsive(now, &self.limits) {
            let since =
                worker.last_contact.map_or(copy.placed_at, |heard| heard.max(copy.placed_at));
            let until = Some(worker.lease_bound);
            return Some(Doubt { reason: Reason::SilentWorker, since, until });
        }
        let (reason, since) = match copy.phase {
            Phase::Running { .. } => return None,
            Phase::Starting => (Reason::BeingStarted, copy.placed_at),
            Phase::Unconfirmed { .. } => (Reason::StartInDoubt, copy.placed_at),
            Phase::Stopping { .. } => {
                (Reason::BeingStopped, copy.stop.map_or(copy.placed_at, |stop| stop.since))
            }
        };
        Some(Doubt { reason, since, until: None })
    }

    /// Whether a task is to run and no other run of it is at work.
    fn is_wanted_and_down(&self, now: Time, task: TaskId, but: (&WorkerId, RunId)) -> bool {
        let Some(state) = self.task(task) else { return false };
        let works = |(id, run): &(WorkerId, RunId)| {
            let worker = self.workers.get(id);
            let copy =
                worker.and_then(|worker| Some((worker, worker.attempts.get(&(task, *run))?)));
            copy.is_some_and(|(worker, copy)| self.doubt(now, worker, copy).is_none())
        };
        let mut others = state.attempts.iter().filter(|(id, run)| (id, *run) != but);
        !state.done && !others.any(works)
    }

    /// Since when a task in a queue hasn't run.
    pub(in crate::scheduler) fn down_since(&self, task: TaskId) -> Option<Time> {
        let StepId { workflow, occurrence, step } = task.step_id();
        let occurrence = self.workflows.get(&workflow)?.occurrences.get(&occurrence)?;
        let step = occurrence.steps.get(usize::from(step))?;
        // What has never run has waited since the queue was filled.
        Some(step.tasks.get(task.index as usize)?.down_since.unwrap_or(step.since))
    }

    /// Why a run isn't known to be at work, and since when.
    pub(super) fn doubt_of(
        &self,
        now: Time,
        id: &WorkerId,
        task: TaskId,
        run: RunId,
    ) -> Option<(Reason, Time)> {
        let worker = self.workers.get(id)?;
        let doubt = self.doubt(now, worker, worker.attempts.get(&(task, run))?)?;
        Some((doubt.reason, doubt.since))
    }

    /// Notes since when a task is down whose run is over. A task that was down already stays so since
    /// before.
    pub(super) fn note_down(&mut self, task: TaskId, since: Time) {
        if let Some(state) = self.task_mut(task)
            && (!state.attempts.is_empty() || state.down_since.is_none())
        {
            state.down_since = Some(since);
        }
    }

    /// Notes that a task whose run never began is down since before; `since` if that isn't known.
    pub(super) fn note_still_down(&mut self, task: TaskId, since: Time) {
        if let Some(state) = self.task_mut(task) {
            state.down_since.get_or_insert(since);
        }
    }
}
