//! Where a task goes when the workers that it would rather have are full.
//!
//! Load: the workers are full of tasks that last for minutes, so the only room is often what a failed task
//! has just left. A task that kept away from there would wait until something else ends; so would one for
//! which the only room is at a worker under quarantine, where two failures in a row may be chance.

use {
    super::{Ready, Requirements, Scheduler, active_workflow::Avoided, candidates::Candidates},
    crate::{TaskId, WorkerId},
    compact_str::CompactString,
    egretlb_types::Time,
    std::time::Duration,
};

/// A task that ends soon keeps away from where it failed or was slow for so long, then it goes there if
/// nothing else has room. A worker that fails all runs is under quarantine by then, and a slow one shows
/// it. A task that lasts goes back at once, since its users are without it meanwhile and another failure
/// costs it nothing.
const KEEP_AWAY: Duration = Duration::from_secs(2);

/// A task that lasts has waited for so long when it is tried at a worker under quarantine. The platform
/// takes it as forgotten after 3 s with room for it.
const LAST_RESORT: Duration = Duration::from_secs(2);

/// A lasting task that has been down for so long is started beside a trial if nothing else has room. The platform takes it
/// as forgotten 3 s later.
const MISSED_AFTER: Duration = Duration::from_secs(6);

impl Scheduler {
    /// Notes that a task failed at a worker or is slow there: it goes elsewhere if it can.
    pub(super) fn avoid(&mut self, now: Time, task: TaskId, id: &WorkerId) {
        if let Some(state) = self.task_mut(task) {
            state.avoid = Some(Avoided { worker: id.clone(), since: now });
        }
    }

    /// The worker for a task, if one can take it. It is taken out of the step's `places`, which are looked for
    /// with the first task.
    pub(super) fn choose_worker(
        &mut self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        need: &Requirements<'_>,
        places: &mut Option<Candidates>,
    ) -> Option<WorkerId> {
        let avoided = self.avoided_worker(task);
        let known = match places {
            Some(places) => places,
            None => places.insert(self.candidates(now, task, service, need)),
        };
        known
            .pop_best(avoided.as_ref())
            .or_else(|| self.choose_avoided(now, task, service, need))
            .or_else(|| self.choose_last_resort(now, task, service, need))
    }

    /// The worker that a task avoids, once it needn't any more.
    fn choose_avoided(
        &mut self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        need: &Requirements<'_>,
    ) -> Option<WorkerId> {
        let Avoided { worker: avoided, since } = self.task_mut(task)?.avoid.clone()?;
        if !need.step.long_running && now.since(since) < KEEP_AWAY {
            return None;
        }
        let again = self.workers.get_key_value(&avoided);
        let again = again.filter(|(_, worker)| worker.accepts_work(now, &self.limits));
        self.best_worker(now, task, service, need, again.into_iter())
    }

    /// A worker under quarantine or kept for a trial, for a task that lasts and has waited long enough.
    pub(super) fn choose_last_resort(
        &mut self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        need: &Requirements<'_>,
    ) -> Option<WorkerId> {
        if !need.step.long_running || !self.is_last_resort(now, task) {
            return None;
        }
        // Where it has just failed it would fail again and again.
        let avoid = self.task_mut(task).and_then(|state| state.avoid.clone());
        let avoid = avoid.filter(|avoid| now.since(avoid.since) < LAST_RESORT);
        let missed = self.is_down_too_long(now, task);
        let quarantined = self.quarantined.iter().filter(|_| self.waits_long(now, task));
        let workers = quarantined.chain(self.reserved.iter().filter(|_| missed));
        let workers = workers.filter_map(|id| self.workers.get_key_value(id));
        let workers = workers.filter(|(id, worker)| {
            worker.accepts_as_last_resort(now, &self.limits)
                && (missed || !worker.is_reserved(now))
                && avoid.as_ref().is_none_or(|avoid| avoid.worker != **id)
        });
        self.best_worker(now, task, service, need, workers)
    }

    /// Whether a step of lasting tasks may try a worker under quarantine, or one kept for a trial: there is one, and
    /// it has waited long enough.
    pub(super) fn is_last_resort(&self, now: Time, task: TaskId) -> bool {
        (!self.quarantined.is_empty() && self.waits_long(now, task))
            || (!self.reserved.is_empty() && self.is_down_too_long(now, task))
    }

    fn waits_long(&self, now: Time, task: TaskId) -> bool {
        self.queue_wait(now, task.step_id()) >= LAST_RESORT
    }

    /// Whether a task has been down for so long that it is started beside a trial, too.
    pub(super) fn is_down_too_long(&self, now: Time, task: TaskId) -> bool {
        self.down_since(task).is_some_and(|since| now.since(since) >= MISSED_AFTER)
    }

    /// Forgets workers that aren't kept from other tasks any more.
    pub(super) fn release_workers(&mut self, now: Time) {
        let workers = &self.workers;
        self.reserved.retain(|id| workers.get(id).is_some_and(|worker| worker.is_reserved(now)));
        let held = |id: &WorkerId| workers.get(id).is_some_and(|w| now < w.quarantined_until);
        self.quarantined.retain(held);
        self.quarantined.sort_unstable();
        self.quarantined.dedup();
    }

    /// Whether the first task of a step that waits still keeps away from a worker.
    pub(super) fn front_avoids_worker(&mut self, now: Time, key: Ready) -> bool {
        let Some(index) = self.front_task(key) else { return false };
        self.avoids_worker(now, key.task(index))
    }

    fn avoids_worker(&mut self, now: Time, task: TaskId) -> bool {
        let lasting = self.step(task).is_some_and(|step| step.long_running);
        let avoid = self.task_mut(task).and_then(|state| state.avoid.as_ref());
        !lasting && avoid.is_some_and(|avoid| now.since(avoid.since) < KEEP_AWAY)
    }

    /// Puts a task that needn't keep away from any worker before those that must; returns whether there was
    /// one. Otherwise one task that has failed would hold up all others of its step.
    pub(super) fn bring_forward(&mut self, now: Time, key: Ready) -> bool {
        if !self.front_avoids_worker(now, key) {
            return false;
        }
        let waiting: Vec<u32> = self.queue_of(key).into_iter().flatten().map(|i| *i).collect();
        let free = waiting.iter().map(|index| key.task(*index));
        let free = free
            .into_iter()
            .position(|task| !self.avoids_worker(now, task) && !self.is_suspect(task));
        let Some(place) = free else { return false };
        if let Some(queue) = self.queue_of(key) {
            queue.swap(0, place);
        }
        true
    }
}
