//! Placement of waiting tasks on workers.

use {
    super::{
        Attempt, Effect, Phase, QueuedStep, Requirements, Scheduler, Worker,
        active_workflow::TaskState, isolated_start::IsolatedStart, queue_order::PlannedStep,
    },
    crate::{RunId, Step, StepId, TaskId, WorkerId, colocation::ImageNo},
    compact_str::CompactString,
    egretlb_types::{Resources, Time},
    smallvec::SmallVec,
    std::{sync::Arc, time::Duration},
};

/// Distance between the first run numbers of consecutive epochs. A leader numbers its runs from its epoch times this,
/// so that they exceed those of previous leaders: workers reject starts with lower numbers.
const EPOCH_RUN_STRIDE: u64 = 1_000;

/// How long a long-running task that was at work waits behind batch tasks; below the platform's limit of 3 s.
const OVERDUE_AFTER: Duration = Duration::from_secs(2);

/// A demand that fits no worker in this placement pass; equal or larger demands are skipped for the rest of it.
#[derive(Clone, Debug)]
struct UnmetDemand {
    service: CompactString,
    resources: Resources,
    best_effort: bool,
    /// The image; none if any task with these resources fits no worker, whatever its image.
    image: Option<ImageNo>,
}

impl UnmetDemand {
    fn new(service: &CompactString, step: &Step, image: ImageNo) -> UnmetDemand {
        let Step { resources, best_effort, .. } = *step;
        let depends_on_image = best_effort || step.target_ms > 0;
        UnmetDemand {
            service: service.clone(),
            resources,
            best_effort,
            image: depends_on_image.then_some(image),
        }
    }

    /// Whether a step's tasks demand at least as much, so that they fit no worker either.
    fn covers(&self, service: &CompactString, step: &Step, image: ImageNo) -> bool {
        self.best_effort == step.best_effort
            && self.image.is_none_or(|own| own == image)
            && self.resources.fits(&step.resources)
            && self.service == *service
    }
}

impl Scheduler {
    /// Places waiting tasks in queue order, one pass over all steps. Tasks that fit no worker are skipped, so that
    /// smaller ones behind them can use the remaining capacity. A complete pass also updates the longest wait of a
    /// best-effort task and adapts the caution of the interference estimates to it.
    pub(super) fn place_queued_steps(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut unmet: SmallVec<[UnmetDemand; 8]> = SmallVec::new();
        let mut longest_wait = Duration::ZERO;
        let steps = self.placement_order(now);
        self.cpu_being_freed.clear();
        self.pass_cache.begin();
        self.begin_holds(now);
        self.end_preemption_limits(now);
        let mut complete = true;
        for planned in steps {
            complete = self.may_start();
            if !complete {
                break;
            }
            let PlannedStep { key, one_only, .. } = planned;
            let starts_before = self.stats.start_waits.len();
            let is_done = self.place_step(now, key, one_only, &mut unmet, out);
            self.note_starts(now, &planned, self.stats.start_waits.len() - starts_before);
            if is_done {
                self.queued_steps.remove(&key);
            } else if self.is_best_effort(key) {
                longest_wait = longest_wait.max(self.step_wait(now, key));
            }
        }
        self.pass_cache.end();
        if !complete {
            return;
        }
        self.best_effort_wait = longest_wait;
        self.colocation.update_safety_factor(now, longest_wait);
    }

    /// Since when a long-running task of the step that was at work hasn't run, if that is too long.
    pub(super) fn overdue_since(&self, now: Time, key: QueuedStep) -> Option<Time> {
        if !key.long_running {
            return None;
        }
        let occurrence = self.workflows.get(&key.workflow)?.occurrences.get(&key.occurrence)?;
        let step = occurrence.steps.get(usize::from(key.step))?;
        let down_since = |index: &u32| step.tasks.get(*index as usize)?.down_since;
        let since = step.queue.iter().filter_map(down_since).min()?;
        (now.since(since) >= OVERDUE_AFTER).then_some(since)
    }

    /// Sorts the waiting tasks of a step by their downtime, longest first. Those that never ran come last.
    pub(super) fn sort_queue_by_downtime(&mut self, key: QueuedStep) {
        let Some(workflow) = self.workflows.get_mut(&key.workflow) else { return };
        let Some(occurrence) = workflow.occurrences.get_mut(&key.occurrence) else { return };
        let Some(step) = occurrence.steps.get_mut(usize::from(key.step)) else { return };
        let tasks = &step.tasks;
        let down_since = |index: &u32| tasks.get(*index as usize).and_then(|task| task.down_since);
        let queue = step.queue.make_contiguous();
        queue.sort_by_key(|index| (down_since(index).is_none(), down_since(index)));
    }

    /// Whether a long-running task was at work and has waited for too long, most of it for the leases of a lost worker:
    /// nothing else that tasks wait for is added to that.
    pub(super) fn is_task_overdue(&self, now: Time, task: TaskId) -> bool {
        self.step(task).is_some_and(|step| step.long_running)
            && self
                .task(task)
                .and_then(|task| task.down_since)
                .is_some_and(|since| now.since(since) >= OVERDUE_AFTER)
    }

    /// Places the waiting tasks of a step, or only one; returns whether none is left.
    fn place_step(
        &mut self,
        now: Time,
        key: QueuedStep,
        one_only: bool,
        unmet: &mut SmallVec<[UnmetDemand; 8]>,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(workflow) = self.workflows.get(&key.workflow) else { return true };
        let submission = Arc::clone(&workflow.submission);
        let service = &submission.service;
        let step = &submission.workflow.steps[usize::from(key.step)];
        // Until all workers of the previous leader have listed their runs and ends, a task may still run or have ended on
        // one that hasn't. Only tasks that this leader has found running before can be started.
        let found_only = workflow.inherited && self.may_have_unknown_runs(service, step);
        if found_only && (step.gang || step.speculative || !self.move_found_to_front(key)) {
            return false;
        }
        let image = self.colocation.image(&step.image);
        let demand_is_unmet = unmet.iter().any(|demand| demand.covers(service, step, image));
        // Quarantined and reserved workers, the last resort of long-running tasks, aren't covered by `unmet`.
        let holds_room = self.holds_room(key);
        let may_fit_elsewhere =
            holds_room || (step.long_running && self.has_last_resort(now, key.task(0)));
        if demand_is_unmet && !may_fit_elsewhere {
            self.hold_for_priority(now, key, service, step, one_only);
            self.hold_room(now, key, service, step);
            return false;
        }
        let deferred = step.long_running && self.defers_to_batch(now, key);
        if deferred && (step.gang || self.overdue_since(now, key).is_none()) {
            return false;
        }
        if step.gang {
            return self.place_gang(now, key, service, step, out);
        }
        let requirements = Requirements::new(step, &mut self.colocation);
        let mut candidates = None;
        loop {
            if found_only && !self.move_found_to_front(key) {
                return false;
            }
            let Some(index) = self.front_task(key) else { return true };
            let task = key.task(index);
            if deferred && !self.is_task_overdue(now, task) {
                return false;
            }
            let restart_not_allowed = self.was_started(task) && !self.may_restart(now);
            if restart_not_allowed || !self.may_start() {
                return false;
            }
            let worker = if self.is_suspect(task) {
                match self.choose_isolated(now, task, service, &requirements) {
                    IsolatedStart::Now(worker) => Some(worker),
                    IsolatedStart::Later if !found_only && self.move_unsuspected_to_front(key) => {
                        continue;
                    }
                    IsolatedStart::Later => return false,
                    IsolatedStart::NoCapacity => None,
                }
            } else {
                let found = if demand_is_unmet {
                    self.choose_last_resort(now, task, service, &requirements)
                } else {
                    self.choose_worker(now, task, service, &requirements, &mut candidates)
                };
                found.or_else(|| self.choose_held(now, task, service, &requirements))
            };
            let Some(worker) = worker else {
                if !found_only && self.move_non_avoiding_to_front(now, key) {
                    continue;
                }
                if self.make_room(now, key, service, step, one_only, out) {
                    unmet.push(UnmetDemand::new(service, step, image));
                }
                return false;
            };
            self.pop_front_task(key);
            let wait = self.step_wait(now, key);
            self.stats.start_waits.push(wait);
            self.start_attempt(now, task, &requirements, &worker, None, out);
            if one_only {
                return self.front_task(key).is_none();
            }
            if let Some(candidates) = &mut candidates {
                let next = key.task(self.front_task(key).unwrap_or(index));
                self.update_candidate(now, next, service, &requirements, worker, candidates);
            }
        }
    }

    /// Stops long-running tasks for a step that found no worker, or keeps workers free for it. Returns whether equal or larger
    /// demands find none either.
    fn make_room(
        &mut self,
        now: Time,
        key: QueuedStep,
        service: &CompactString,
        step: &Step,
        is_turn: bool,
        out: &mut Vec<Effect>,
    ) -> bool {
        let avoids_worker = self.front_avoids_worker(now, key);
        let needs_ticket = self.queue_ticket_query(key);
        self.hold_for_priority(now, key, service, step, is_turn);
        self.preempt_for(now, key, service, step, out);
        self.hold_room(now, key, service, step);
        step.label.is_none() && step.per_worker == 0 && !needs_ticket && !avoids_worker
    }

    pub(super) fn is_best_effort(&self, key: QueuedStep) -> bool {
        let workflow = self.workflows.get(&key.workflow);
        workflow.is_some_and(|workflow| {
            workflow.submission.workflow.steps[usize::from(key.step)].best_effort
        })
    }

    /// The indices of a step's waiting tasks.
    pub(super) fn queue_of(
        &mut self,
        key: QueuedStep,
    ) -> Option<&mut std::collections::VecDeque<u32>> {
        let workflow = self.workflows.get_mut(&key.workflow)?;
        let occurrence = workflow.occurrences.get_mut(&key.occurrence)?;
        Some(&mut occurrence.steps.get_mut(usize::from(key.step))?.queue)
    }

    /// How long a step has had waiting tasks.
    pub(super) fn step_wait(&self, now: Time, key: QueuedStep) -> Duration {
        self.queue_wait(now, key.task(0).step_id())
    }

    /// Like [`Scheduler::step_wait`], by step id.
    pub(super) fn queue_wait(&self, now: Time, id: StepId) -> Duration {
        let workflow = self.workflows.get(&id.workflow);
        let occurrence = workflow.and_then(|workflow| workflow.occurrences.get(&id.occurrence));
        let step = occurrence.and_then(|occurrence| occurrence.steps.get(usize::from(id.step)));
        step.map_or(Duration::ZERO, |step| now.since(step.queue_since))
    }

    /// The first waiting task of a step. Drops queued tasks that reconciliation found done or running.
    pub(super) fn front_task(&mut self, key: QueuedStep) -> Option<u32> {
        let workflow = self.workflows.get_mut(&key.workflow)?;
        let occurrence = workflow.occurrences.get_mut(&key.occurrence)?;
        let step = occurrence.steps.get_mut(usize::from(key.step))?;
        let tasks = &step.tasks;
        let waits = |index: &u32| tasks.get(*index as usize).is_some_and(TaskState::is_pending);
        // Fast path: the front task nearly always waits.
        if !step.queue.front().is_some_and(waits) {
            step.queue.retain(waits);
        }
        step.queue.front().copied()
    }

    /// Moves a task that this leader has found running to the front of the queue; returns whether there is one. No
    /// run by a previous leader can still be under way elsewhere for such a task.
    fn move_found_to_front(&mut self, key: QueuedStep) -> bool {
        self.front_task(key);
        let Some(workflow) = self.workflows.get_mut(&key.workflow) else { return false };
        let Some(occurrence) = workflow.occurrences.get_mut(&key.occurrence) else { return false };
        let Some(step) = occurrence.steps.get_mut(usize::from(key.step)) else { return false };
        let found =
            |index: &u32| step.tasks.get(*index as usize).is_some_and(|task| task.found_running);
        let Some(position) = step.queue.iter().position(found) else { return false };
        step.queue.swap(0, position);
        true
    }

    fn pop_front_task(&mut self, key: QueuedStep) {
        if let Some(queue) = self.queue_of(key) {
            queue.pop_front();
        }
    }

    /// Whether a task may have been started before, by any leader: starts by earlier ones aren't recorded.
    pub(super) fn was_started(&self, task: TaskId) -> bool {
        let inherited = self.workflows.get(&task.workflow).is_some_and(|active| active.inherited);
        inherited || self.task(task).is_some_and(|state| state.last_run > RunId(0))
    }

    /// The number of the next run of a task.
    pub(super) fn next_run(&mut self, task: TaskId) -> RunId {
        let base = self.epoch.0 * EPOCH_RUN_STRIDE;
        let last = self.task_mut(task).map_or(RunId(0), |state| state.last_run);
        RunId((last.0 + 1).max(base))
    }

    /// Starts a task on a worker with the run number `run`, or else the announced or next one.
    pub(super) fn start_attempt(
        &mut self,
        now: Time,
        task: TaskId,
        requirements: &Requirements<'_>,
        id: &WorkerId,
        run: Option<RunId>,
        out: &mut Vec<Effect>,
    ) {
        let announced = self.task(task).and_then(|state| state.announced_run());
        let run = run.or(announced).unwrap_or_else(|| self.next_run(task));
        let is_restart = self.was_started(task);
        let isolated = self.is_suspect(task);
        let down_since = self.task(task).and_then(|state| state.down_since);
        let down_before = down_since.map_or(Duration::ZERO, |since| now.since(since));
        self.release_held(task, id);
        let limits = self.limits;
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(until_ms) = worker.lease_for_start(now, limits.lease, limits.lease_bound()) else {
            return;
        };
        let addr = worker.info.addr;
        worker.next_poll_at = worker.next_poll_at.min(now + limits.poll_gap);
        let mut attempt = Attempt::new(now, requirements, Phase::Starting).with_isolation(isolated);
        attempt.is_restart = is_restart;
        attempt.down_before = down_before;
        attempt.start_deadline_ms = Some(until_ms);
        worker.insert(task, run, attempt);
        if isolated {
            // From here on the attempt itself keeps other starts away.
            worker.reserved_until = now;
        }
        let Some(state) = self.task_mut(task) else { return };
        state.last_run = run;
        state.attempts.push((id.clone(), run));
        let saved = if requirements.step.checkpoints {
            state.saved.clone()
        } else {
            CompactString::default()
        };
        let Some(workflow) = self.workflows.get_mut(&task.workflow) else { return };
        if !std::mem::replace(&mut workflow.started, true) {
            log::info!(workflow:% = task.workflow, worker:% = id; "workflow_started");
            self.dirty.insert(task.workflow);
        }
        let ticket = self.ticket(now, task, id);
        self.log_start(now, task, run, id);
        let Some(workflow) = self.workflows.get(&task.workflow) else { return };
        log::debug!(task:%, run:%, worker:% = id; "task_started");
        self.start_window.on_decided();
        out.push(Effect::Start {
            worker: id.clone(),
            addr,
            epoch: self.epoch,
            task,
            run,
            submission: Arc::clone(&workflow.submission),
            until_ms,
            saved,
            ticket,
        });
    }

    /// Chooses a worker other than the one where the task last failed or was slow.
    pub(super) fn choose_elsewhere(
        &mut self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        requirements: &Requirements<'_>,
    ) -> Option<WorkerId> {
        let avoided = self.avoided_worker(task);
        self.candidates(now, task, service, requirements).pop_best(avoided.as_ref())
    }

    /// The worker where a task last failed or was slow.
    pub(super) fn avoided_worker(&self, task: TaskId) -> Option<WorkerId> {
        self.task(task)?.avoid.as_ref().map(|avoid| avoid.worker.clone())
    }

    /// The worker with the highest fitness among these that can take a task.
    pub(super) fn best_worker<'a>(
        &self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        requirements: &Requirements<'_>,
        workers: impl Iterator<Item = (&'a WorkerId, &'a Worker)>,
    ) -> Option<WorkerId> {
        let needs_ticket = self.advice_terms(task.step_id()).is_some();
        let mut best: Option<(Fitness, &WorkerId)> = None;
        for (id, worker) in workers {
            if !meets_requirements(worker, task, requirements)
                || (needs_ticket && !self.is_allowed(now, task, id))
            {
                continue;
            }
            let Some(fitness) =
                self.eligible_fitness(now, (id, worker), task, service, requirements)
            else {
                continue;
            };
            if best.as_ref().is_none_or(|(best_fitness, _)| fitness > *best_fitness) {
                best = Some((fitness, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    /// Fitness of a worker for a task; higher is better. None if a best-effort task would make a latency-critical task
    /// exceed its target, or if a latency-critical task should wait for a better worker.
    ///
    /// Latency-critical tasks go where they reduce best-effort capacity least, then to workers with the same image,
    /// spread so that a slow worker affects few tasks of each step. Other tasks go where the fewest best-effort
    /// tasks could run. Then best-effort tasks go where they interfere least, and the rest to workers with
    /// latency-critical tasks; among equal ones, where most best-effort CPU is left over. If many workers are idle,
    /// the interference comes first.
    pub(super) fn fitness(
        &self,
        now: Time,
        worker: &Worker,
        task: TaskId,
        requirements: &Requirements<'_>,
    ) -> Option<Fitness> {
        let step = requirements.step;
        let near_data = step.data_rack.as_ref().is_some_and(|rack| worker.info.has_label(rack));
        let left_over_cpu = worker.free_best_effort_cpu();
        let fast = !worker.is_slow(now);
        if step.target_ms > 0 {
            let lost_capacity = self.lost_best_effort_capacity(worker, requirements.image);
            if lost_capacity > MAX_LOST_CAPACITY_UNITS
                && self.queue_wait(now, task.step_id()) < BETTER_WORKER_WAIT
                && !self.is_task_overdue(now, task)
            {
                return None;
            }
            let colocation_score = AFFINITY_WEIGHT * image_affinity(worker, requirements.image)
                - sibling_penalty(worker, task);
            return Some((near_data, true, -lost_capacity, colocation_score, -left_over_cpu));
        }
        let acceptance = (self.colocation.acceptance(&worker.neighbours) / ACCEPTANCE_UNIT) as i64;
        if step.best_effort {
            let interference = self.colocation.added_interference(
                &worker.neighbours,
                requirements.best_effort_demand(),
                self.is_short_of_time(task, 0),
            );
            let interference = match interference {
                Some(interference) => interference,
                None if self.may_probe_on(now, worker, task, requirements) => PROBED_INTERFERENCE,
                None => return None,
            };
            let interference = i64::from(interference);
            if self.idle_share.is_high(&worker.info.service) {
                return Some((near_data, fast, -interference, -acceptance, left_over_cpu));
            }
            return Some((near_data, fast, -acceptance, -interference, left_over_cpu));
        }
        Some((near_data, fast, -acceptance, i64::from(worker.latency_critical > 0), left_over_cpu))
    }

    /// Whether a best-effort task whose image has few samples may run on a worker, as its only best-effort task.
    ///
    /// The pessimistic estimate for an image that never ran beside the latency-critical images could keep its tasks
    /// waiting forever, without any sample. The pace of the task is limited by that estimate until there are more
    /// samples.
    fn may_probe_on(
        &self,
        now: Time,
        worker: &Worker,
        task: TaskId,
        requirements: &Requirements<'_>,
    ) -> bool {
        worker.best_effort == 0
            && self.queue_wait(now, task.step_id()) >= PROBE_AFTER
            && self.task(task).is_some_and(TaskState::is_pending)
            && self.colocation.may_probe(&worker.neighbours, requirements.best_effort_demand())
    }

    /// Best-effort capacity lost on a worker through another latency-critical task, in units of
    /// [`CAPACITY_UNIT_MILLICORES`].
    fn lost_best_effort_capacity(&self, worker: &Worker, image: ImageNo) -> i64 {
        let lost_acceptance = self.colocation.acceptance_loss_with(&worker.neighbours, image);
        (lost_acceptance * worker.best_effort_capacity() as f32 / CAPACITY_UNIT_MILLICORES) as i64
    }

    /// Whether a latency-critical task waits for a worker where it would reduce best-effort capacity less.
    pub(super) fn waits_for_better_worker(
        &self,
        now: Time,
        worker: &Worker,
        task: TaskId,
        requirements: &Requirements<'_>,
    ) -> bool {
        requirements.step.target_ms > 0 && self.fitness(now, worker, task, requirements).is_none()
    }
}

/// Compared in this order: whether a worker is near the task's data, whether it isn't slow (not considered for
/// latency-critical tasks), then three scores that depend on the kind of task; see [`Scheduler::fitness`].
pub(super) type Fitness = (bool, bool, i64, i64, i64);

/// Granularity at which best-effort capacity is compared: half a typical best-effort task.
pub(super) const CAPACITY_UNIT_MILLICORES: f32 = 2_000.0;

/// How long a best-effort task whose image has few samples waits before it may run anyway.
const PROBE_AFTER: Duration = Duration::from_secs(4);

/// Interference assumed for an image with few samples; higher than any estimate.
const PROBED_INTERFERENCE: u32 = 1_000;

/// Granularity at which acceptance is compared: the share of the best-effort demand that the latency-critical tasks of
/// a worker tolerate.
const ACCEPTANCE_UNIT: f32 = 0.1;

/// Maximum amount by which a latency-critical task may reduce best-effort capacity without waiting, in units of
/// [`CAPACITY_UNIT_MILLICORES`]. For more, it first waits [`BETTER_WORKER_WAIT`], since it runs for a minute or longer.
const MAX_LOST_CAPACITY_UNITS: i64 = 1;

/// How long a latency-critical task waits for a worker where it costs less best-effort capacity; below the platform's
/// limit of 3 s for starting a long-running task that fits a worker.
const BETTER_WORKER_WAIT: Duration = Duration::from_secs(1);

/// Weight of the image affinity relative to one task of the same step.
const AFFINITY_WEIGHT: i64 = 8;

/// Affinity of an image to the latency-critical images of a worker: highest with the same image only, then with none,
/// then lower with each other image.
fn image_affinity(worker: &Worker, image: ImageNo) -> i64 {
    let images = worker.neighbours.latency_critical();
    let same_image = usize::from(images.iter().any(|(other, _)| *other == image));
    let other_images = images.len() - same_image;
    i64::try_from(same_image).unwrap_or(0) - 2 * i64::try_from(other_images).unwrap_or(0)
}

/// Number of tasks of the same step on a worker, as a penalty.
fn sibling_penalty(worker: &Worker, task: TaskId) -> i64 {
    i64::try_from(count_siblings(worker, task)).unwrap_or(0)
}

/// Whether a worker has the free capacity for another task of the step, and the step's label, rack and limit of tasks
/// per worker allow it.
///
/// Best-effort tasks share the CPU that others leave unused. Adding more than fit would slow all of them down, so
/// the rest stays queued.
pub(super) fn meets_requirements(
    worker: &Worker,
    task: TaskId,
    requirements: &Requirements<'_>,
) -> bool {
    let step = requirements.step;
    let free = worker.free();
    if !requirements.reserved.fits(&free) {
        return false;
    }
    if step.label.as_ref().is_some_and(|label| !worker.info.has_label(label)) {
        return false;
    }
    if requirements.rack.is_some() && requirements.rack != worker.info.rack() {
        return false;
    }
    let refuses_best_effort =
        worker.over_target || worker.free_best_effort_cpu() < i64::from(step.resources.cpu.0);
    if step.best_effort && refuses_best_effort {
        return false;
    }
    step.per_worker == 0 || count_siblings(worker, task) < step.per_worker as usize
}

/// Number of tasks of the same step and occurrence on a worker.
pub(super) fn count_siblings(worker: &Worker, task: TaskId) -> usize {
    let first = (TaskId { index: 0, ..task }, RunId(0));
    let last = (TaskId { index: u32::MAX, ..task }, RunId(u64::MAX));
    worker.attempts.range(first..=last).count()
}
