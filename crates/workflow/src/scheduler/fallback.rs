//! Fallbacks for tasks whose preferred workers are full.
//!
//! Under high load the only free capacity is often on the worker that a task has just failed on, or on a worker
//! in quarantine. Without a fallback such a task would wait until another task ends.

use {
    super::{
        QueuedStep, Requirements, Scheduler, active_workflow::Avoided, candidates::Candidates,
    },
    crate::{TaskId, WorkerId},
    compact_str::CompactString,
    egretlb_types::Time,
    std::time::Duration,
};

/// How long a batch task avoids the worker where it failed or was slow. After that, it returns there if no other
/// worker fits. Long-running tasks return at once, since their users are waiting.
const AVOID_FOR: Duration = Duration::from_secs(2);

/// How long a long-running task waits before it may use a quarantined worker; below the platform's limit of 3 s.
const LAST_RESORT_AFTER: Duration = Duration::from_secs(2);

/// How long a long-running task may be without a run before it may use a worker reserved for an isolated start.
const DOWN_TOO_LONG: Duration = Duration::from_secs(6);

impl Scheduler {
    /// Records that a task failed or was slow on a worker, so that it is placed elsewhere if possible.
    pub(super) fn avoid(&mut self, now: Time, task: TaskId, id: &WorkerId) {
        if let Some(state) = self.task_mut(task) {
            state.avoid = Some(Avoided { worker: id.clone(), since: now });
        }
    }

    /// Chooses the worker for a task and removes it from the step's `candidates`, which the first call collects.
    pub(super) fn choose_worker(
        &mut self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        requirements: &Requirements<'_>,
        candidates: &mut Option<Candidates>,
    ) -> Option<WorkerId> {
        let avoided = self.avoided_worker(task);
        let candidates = match candidates {
            Some(candidates) => candidates,
            None => candidates.insert(self.candidates(now, task, service, requirements)),
        };
        candidates
            .pop_best(avoided.as_ref())
            .or_else(|| self.choose_avoided(now, task, service, requirements))
            .or_else(|| self.choose_last_resort(now, task, service, requirements))
    }

    /// The avoided worker, once the task may return there.
    fn choose_avoided(
        &mut self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        requirements: &Requirements<'_>,
    ) -> Option<WorkerId> {
        let Avoided { worker: avoided_worker, since } = self.task_mut(task)?.avoid.clone()?;
        if !requirements.step.long_running && now.since(since) < AVOID_FOR {
            return None;
        }
        let entry = self.workers.get_key_value(&avoided_worker);
        let entry = entry.filter(|(_, worker)| worker.accepts_work(now, &self.limits));
        self.best_worker(now, task, service, requirements, entry.into_iter())
    }

    /// A quarantined or reserved worker, for a long-running task that has waited long enough.
    pub(super) fn choose_last_resort(
        &mut self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        requirements: &Requirements<'_>,
    ) -> Option<WorkerId> {
        if !requirements.step.long_running || !self.has_last_resort(now, task) {
            return None;
        }
        // Prevents a loop of failures on the same worker.
        let avoid = self.task_mut(task).and_then(|state| state.avoid.clone());
        let avoid = avoid.filter(|avoid| now.since(avoid.since) < LAST_RESORT_AFTER);
        let down_too_long = self.is_down_too_long(now, task);
        let quarantined = self.quarantined.iter().filter(|_| self.may_use_quarantined(now, task));
        let workers = quarantined.chain(self.reserved.iter().filter(|_| down_too_long));
        let workers = workers.filter_map(|id| self.workers.get_key_value(id));
        let workers = workers.filter(|(id, worker)| {
            worker.accepts_as_last_resort(now, &self.limits)
                && (down_too_long || !worker.is_reserved(now))
                && avoid.as_ref().is_none_or(|avoid| avoid.worker != **id)
        });
        self.best_worker(now, task, service, requirements, workers)
    }

    /// Whether there is a quarantined or reserved worker that a step of long-running tasks may use by now.
    pub(super) fn has_last_resort(&self, now: Time, task: TaskId) -> bool {
        (!self.quarantined.is_empty() && self.may_use_quarantined(now, task))
            || (!self.reserved.is_empty() && self.is_down_too_long(now, task))
    }

    /// Whether a task, or its step, has waited long enough to use a quarantined worker.
    fn may_use_quarantined(&self, now: Time, task: TaskId) -> bool {
        self.queue_wait(now, task.step_id()) >= LAST_RESORT_AFTER || self.is_task_overdue(now, task)
    }

    /// Whether a task has been without a run long enough to use a reserved worker.
    pub(super) fn is_down_too_long(&self, now: Time, task: TaskId) -> bool {
        self.down_since(task).is_some_and(|since| now.since(since) >= DOWN_TOO_LONG)
    }

    /// Removes workers that are no longer quarantined or reserved from the lists.
    pub(super) fn release_workers(&mut self, now: Time) {
        let workers = &self.workers;
        self.reserved.retain(|id| workers.get(id).is_some_and(|worker| worker.is_reserved(now)));
        let quarantined =
            |id: &WorkerId| workers.get(id).is_some_and(|w| now < w.quarantined_until);
        self.quarantined.retain(quarantined);
        self.quarantined.sort_unstable();
        self.quarantined.dedup();
    }

    /// Whether the first waiting task of a step still avoids a worker.
    pub(super) fn front_avoids_worker(&mut self, now: Time, key: QueuedStep) -> bool {
        let Some(index) = self.front_task(key) else { return false };
        self.avoids_worker(now, key.task(index))
    }

    fn avoids_worker(&mut self, now: Time, task: TaskId) -> bool {
        let long_running = self.step(task).is_some_and(|step| step.long_running);
        let avoid = self.task_mut(task).and_then(|state| state.avoid.as_ref());
        !long_running && avoid.is_some_and(|avoid| now.since(avoid.since) < AVOID_FOR)
    }

    /// Moves the first task that avoids no worker to the front of the queue, so that a failed task doesn't block the
    /// others of its step. Returns whether there is one.
    pub(super) fn move_non_avoiding_to_front(&mut self, now: Time, key: QueuedStep) -> bool {
        if !self.front_avoids_worker(now, key) {
            return false;
        }
        let waiting: Vec<u32> = self.queue_of(key).into_iter().flatten().map(|i| *i).collect();
        let position = waiting.iter().map(|index| key.task(*index));
        let position = position
            .into_iter()
            .position(|task| !self.avoids_worker(now, task) && !self.is_suspect(task));
        let Some(position) = position else { return false };
        if let Some(queue) = self.queue_of(key) {
            queue.swap(0, position);
        }
        true
    }
}
