//! Workers kept free for long-running tasks that were at work and fit nowhere.
//!
//! Among smaller tasks no worker ever has room for a large one: each of them takes what the previous one leaves. So the
//! worker where the large task fits soonest, as its batch tasks end, gets no new starts for a bounded time.

use {
    super::{QueuedStep, Requirements, Scheduler, Worker, placement::count_siblings},
    crate::{Step, StepId, TaskId, WorkerId},
    compact_str::CompactString,
    egretlb_types::{Resources, Time},
    std::time::Duration,
};

/// How long a task has been without a run before a worker is kept free for it.
const HOLD_AFTER: Duration = Duration::from_secs(3);

/// How long a worker is kept free, at most. Only workers where the task fits within this time are considered.
const MAX_HOLD: Duration = Duration::from_secs(3);

/// Interval of searches for the same step: most fail while long-running tasks fill the service.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// Number of workers of a service per worker kept free at a time.
const WORKERS_PER_HOLD: usize = 16;

/// Interval at which long-running tasks of a service are stopped for batch tasks while others wait in vain; above the 3 s for
/// which the platform lets a long-running task wait beside free capacity.
const BATCH_HOLD_INTERVAL: Duration = Duration::from_secs(4);

/// A worker kept free for a task.
#[derive(Debug)]
pub(super) struct HeldRoom {
    step: StepId,
    /// If set, batch tasks of at least this priority may use it as well.
    priority: Option<u64>,
    worker: WorkerId,
    until: Time,
}

impl HeldRoom {
    /// Whether it is kept free for a task of the step.
    pub(super) fn is_for(&self, key: QueuedStep) -> bool {
        self.step == key.step_id() || self.is_open_to(key.priority, key.long_running)
    }

    pub(super) fn worker(&self) -> &WorkerId {
        &self.worker
    }

    /// Whether any step of this kind may use it.
    pub(super) fn is_open_to(&self, priority: u64, long_running: bool) -> bool {
        !long_running && self.priority.is_some_and(|lowest| priority <= lowest)
    }
}

impl Scheduler {
    /// Forgets rooms that are no longer held, before a placement pass.
    pub(super) fn begin_holds(&mut self, now: Time) {
        self.held_rooms.retain(|held| now < held.until);
        self.hold_searched = false;
    }

    /// Whether a worker is kept free for a task of the step.
    pub(super) fn holds_room(&self, key: QueuedStep) -> bool {
        self.held_rooms.iter().any(|held| held.is_for(key))
    }

    /// The worker kept free for a task, if it fits there by now.
    pub(super) fn choose_held(
        &mut self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        requirements: &Requirements<'_>,
    ) -> Option<WorkerId> {
        let priority = self.workflows.get(&task.workflow)?.submission.priority;
        let long_running = requirements.step.long_running;
        let held = self
            .held_rooms
            .iter()
            .filter(|held| held.step == task.step_id() || held.is_open_to(priority, long_running));
        let entries = held.filter_map(|held| self.workers.get_key_value(&held.worker));
        let entries = entries.filter(|(_, worker)| {
            worker.accepts_as_last_resort(now, &self.limits) && !worker.is_reserved(now)
        });
        self.best_worker(now, task, service, requirements, entries)
    }

    /// Ends a hold for the step of a task that is being started on a worker; that of the worker if there is one.
    pub(super) fn release_held(&mut self, task: TaskId, worker: &WorkerId) {
        let of_step = |held: &HeldRoom| held.step == task.step_id() && held.priority.is_none();
        let at_worker = |held: &HeldRoom| of_step(held) && held.worker == *worker;
        let Some(index) = self
            .held_rooms
            .iter()
            .position(at_worker)
            .or_else(|| self.held_rooms.iter().position(of_step))
        else {
            return;
        };
        let held = self.held_rooms.swap_remove(index);
        if let Some(worker) = self.workers.get_mut(&held.worker) {
            worker.held_until = Time::ZERO;
            self.contacts.note(&held.worker);
        }
    }

    /// Keeps a worker free for the first waiting task of a step, if that has been down for long and one is expected to
    /// have room for it soon.
    pub(super) fn hold_room(
        &mut self,
        now: Time,
        key: QueuedStep,
        service: &CompactString,
        step: &Step,
    ) {
        if !step.long_running || step.best_effort || step.gang || self.hold_searched {
            return;
        }
        let Some(task) = self.front_task(key).map(|index| key.task(index)) else { return };
        let down_since = self.task(task).and_then(|state| state.down_since);
        let was_preempted = self.preempt_limits.budget.was_stopped_recently(now, task);
        let hold_after = if was_preempted { Duration::ZERO } else { HOLD_AFTER };
        if down_since.is_none_or(|since| now.since(since) < hold_after)
            || self.is_suspect(task)
            || self.holds_room(key)
            || !self.note_hold_search(now, task)
        {
            return;
        }
        self.hold_searched = true;
        let (mut workers, mut held) = (0, 0);
        let mut soonest: Option<(Duration, &WorkerId)> = None;
        for (id, worker) in self.workers.iter().filter(|(_, w)| w.info.service == *service) {
            workers += usize::from(worker.is_eligible(now, &self.limits));
            held += usize::from(now < worker.held_until);
            let eligible = worker.accepts_work(now, &self.limits)
                && !self.is_in_maintenance(id)
                && self.is_allowed(now, task, id)
                && step.label.as_ref().is_none_or(|label| worker.info.has_label(label))
                && (step.per_worker == 0
                    || count_siblings(worker, task) < step.per_worker as usize);
            let fits_in = eligible.then(|| fits_in(now, worker, &step.resources)).flatten();
            let Some(fits_in) = fits_in.filter(|fits_in| *fits_in < MAX_HOLD) else { continue };
            if soonest.is_none_or(|(other, _)| fits_in < other) {
                soonest = Some((fits_in, id));
            }
        }
        self.stats.workers_scanned += workers as u64;
        let Some((fits_in, worker)) = soonest.map(|(fits_in, id)| (fits_in, id.clone())) else {
            return;
        };
        if held >= (workers / WORKERS_PER_HOLD).max(1) {
            return;
        }
        log::info!(task:%, worker:%, fits_in_ms = fits_in.as_millis() as u64; "room_held");
        self.hold(now, key, worker);
    }

    /// Keeps a worker free for a step.
    pub(super) fn hold(&mut self, now: Time, key: QueuedStep, worker: WorkerId) {
        self.hold_for(now, key, worker, MAX_HOLD, None);
    }

    /// Like [`Scheduler::hold`], for `span` at most.
    pub(super) fn hold_for(
        &mut self,
        now: Time,
        key: QueuedStep,
        worker: WorkerId,
        span: Duration,
        priority: Option<u64>,
    ) {
        let until = now + span;
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.held_until = until;
        }
        self.held_rooms.push(HeldRoom { step: key.step_id(), priority, worker, until });
    }

    /// Keeps a worker free for a batch task that has stopped a long-running one there, for which others wait as well.
    pub(super) fn hold_for_batch(
        &mut self,
        now: Time,
        key: QueuedStep,
        service: &CompactString,
        worker: &WorkerId,
    ) {
        self.hold(now, key, worker.clone());
        self.batch_holds.retain(|(other, _)| other != service);
        self.batch_holds.push((service.clone(), now));
    }

    /// Whether a worker of a service was kept free for a batch task just now.
    pub(super) fn held_for_batch(&self, now: Time, service: &CompactString) -> bool {
        let recent = |at| now.since(at) < BATCH_HOLD_INTERVAL;
        self.batch_holds.iter().any(|(other, at)| other == service && recent(*at))
    }

    /// Whether workers may be searched for a hold for the task's step now.
    fn note_hold_search(&mut self, now: Time, task: TaskId) -> bool {
        let Some(step) = self.step_state(task) else { return false };
        let due = step.hold_searched_at.is_none_or(|at| now.since(at) >= SEARCH_INTERVAL);
        if due {
            step.hold_searched_at = Some(now);
        }
        due
    }
}

/// In how long a worker is expected to have room for a task if nothing more is started there; none if tasks of unknown
/// duration, or beyond their estimates, leave too little.
pub(super) fn fits_in(now: Time, worker: &Worker, resources: &Resources) -> Option<Duration> {
    let mut ends: Vec<(Duration, Resources)> = worker
        .attempts
        .values()
        .filter_map(|attempt| {
            let estimate = Duration::from_millis(u64::from(attempt.estimate_ms));
            let left = estimate.checked_sub(now.since(attempt.running_since))?;
            (attempt.estimate_ms > 0).then_some((left, attempt.reserved))
        })
        .collect();
    ends.sort_unstable_by_key(|(left, _)| *left);
    let mut free = worker.free();
    if resources.fits(&free) {
        return Some(Duration::ZERO);
    }
    ends.into_iter().find_map(|(left, reserved)| {
        free = free.plus(&reserved);
        resources.fits(&free).then_some(left)
    })
}
