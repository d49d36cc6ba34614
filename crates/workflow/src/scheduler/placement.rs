//! Where tasks go.

use {
    super::{
        Attempt, Effect, Phase, Ready, Requirements, Scheduler, Worker, active_workflow::TaskState,
        isolated_start::IsolatedStart,
    },
    crate::{RunId, Step, StepId, TaskId, WorkerId, colocation::ImageNo},
    compact_str::CompactString,
    egretlb_types::{Resources, Time},
    smallvec::SmallVec,
    std::{sync::Arc, time::Duration},
};

/// Run numbers of one leader begin at its epoch times this. So a number is never used twice, also if a
/// predecessor's run was never heard of, and a start of ours is never rejected as an old one.
const RUNS_PER_EPOCH: u64 = 1_000;

/// A demand that found no worker: what takes as much or more finds none either in the same pass.
#[derive(Clone, Debug)]
struct Unmet {
    service: CompactString,
    resources: Resources,
    best_effort: bool,
    image: ImageNo,
}

impl Scheduler {
    /// Places what waits, in the order of the queue. What finds no worker is passed over, so that
    /// smaller tasks behind it use the gaps.
    pub(super) fn place_ready(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut unmet: SmallVec<[Unmet; 8]> = SmallVec::new();
        let mut longest = Duration::ZERO;
        let keys: Vec<Ready> = self.ready.iter().copied().collect();
        self.cpu_being_freed.clear();
        for key in keys {
            if !self.may_start() {
                return;
            }
            if self.place_step(now, key, &mut unmet, out) {
                self.ready.remove(&key);
            } else if self.fills(key) {
                longest = longest.max(self.step_wait(now, key));
            }
        }
        self.best_effort_wait = longest;
        self.colocation.adapt_caution(now, longest);
    }

    /// Places the waiting tasks of a step; returns whether none is left.
    fn place_step(
        &mut self,
        now: Time,
        key: Ready,
        unmet: &mut SmallVec<[Unmet; 8]>,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(flow) = self.workflows.get(&key.workflow) else { return true };
        let held = flow.inherited && !self.unreconciled.is_empty();
        let submission = Arc::clone(&flow.submission);
        let service = &submission.service;
        let step = &submission.workflow.steps[usize::from(key.step)];
        // Of what a predecessor may have started only what was found since can't run at a worker that is silent.
        if held && (step.gang || step.speculative || !self.put_found_first(key)) {
            return false;
        }
        let image = self.colocation.image(&step.image);
        let hopeless = |known: &Unmet| {
            known.service == *service
                && known.best_effort == step.best_effort
                && known.image == image
                && known.resources.fits(&step.resources)
        };
        let hopeless = unmet.iter().any(hopeless);
        if hopeless && !(step.long_running && self.is_last_resort(now, key.task(0))) {
            return false;
        }
        if step.long_running && self.defers_to_batch(now, key) {
            return false;
        }
        if step.gang {
            return self.place_gang(now, key, service, step, out);
        }
        let need = Requirements::new(step, &mut self.colocation);
        let mut places = None;
        loop {
            if held && !self.put_found_first(key) {
                return false;
            }
            let Some(index) = self.front_task(key) else { return true };
            let task = key.task(index);
            let early = self.was_started(task) && !self.may_restart(now);
            if early || !self.may_start() {
                return false;
            }
            let chosen = if self.is_suspect(task) {
                match self.choose_isolated(now, task, service, &need) {
                    IsolatedStart::At(worker) => Some(worker),
                    IsolatedStart::Later if !held && self.pass_over_suspects(key) => continue,
                    IsolatedStart::Later => return false,
                    IsolatedStart::NoCapacity => None,
                }
            } else if hopeless {
                self.choose_last_resort(now, task, service, &need)
            } else {
                self.choose_worker(now, task, service, &need, &mut places)
            };
            let Some(worker) = chosen else {
                if !held && self.bring_forward(now, key) {
                    continue;
                }
                let keeps_away = self.front_avoids_worker(now, key);
                let advised = self.queue_advice(key);
                self.preempt_for(now, key, service, step, out);
                if step.label.is_none() && step.per_worker == 0 && !advised && !keeps_away {
                    let Requirements { image, .. } = need;
                    let Step { resources, best_effort, .. } = *step;
                    unmet.push(Unmet { service: service.clone(), resources, best_effort, image });
                }
                return false;
            };
            self.pop(key);
            let wait = self.step_wait(now, key);
            self.stats.start_waits.push(wait);
            self.start_attempt(now, task, &need, &worker, None, out);
            if let Some(places) = &mut places {
                let next = key.task(self.front_task(key).unwrap_or(index));
                self.update_candidate(now, next, service, &need, worker, places);
            }
        }
    }

    fn fills(&self, key: Ready) -> bool {
        let flow = self.workflows.get(&key.workflow);
        flow.is_some_and(|flow| flow.submission.workflow.steps[usize::from(key.step)].best_effort)
    }

    pub(super) fn queue_of(&mut self, key: Ready) -> Option<&mut std::collections::VecDeque<u32>> {
        let flow = self.workflows.get_mut(&key.workflow)?;
        let occurrence = flow.occurrences.get_mut(&key.occurrence)?;
        Some(&mut occurrence.steps.get_mut(usize::from(key.step))?.queue)
    }

    /// How long a step's queue hasn't been empty.
    pub(super) fn step_wait(&self, now: Time, key: Ready) -> Duration {
        self.queue_wait(now, key.task(0).step_id())
    }

    /// The same for the step of this id.
    pub(super) fn queue_wait(&self, now: Time, id: StepId) -> Duration {
        let flow = self.workflows.get(&id.workflow);
        let occurrence = flow.and_then(|flow| flow.occurrences.get(&id.occurrence));
        let step = occurrence.and_then(|occurrence| occurrence.steps.get(usize::from(id.step)));
        step.map_or(Duration::ZERO, |step| now.since(step.since))
    }

    /// The first task of a step that waits. What was queued before the survey may turn out to be done
    /// or under way.
    pub(super) fn front_task(&mut self, key: Ready) -> Option<u32> {
        let flow = self.workflows.get_mut(&key.workflow)?;
        let occurrence = flow.occurrences.get_mut(&key.occurrence)?;
        let step = occurrence.steps.get_mut(usize::from(key.step))?;
        let tasks = &step.tasks;
        let waits = |index: &u32| tasks.get(*index as usize).is_some_and(TaskState::is_pending);
        // Nearly always it does, and it is asked for with each task.
        if !step.queue.front().is_some_and(waits) {
            step.queue.retain(waits);
        }
        step.queue.front().copied()
    }

    /// Puts a task that this leader has found running before those of which a predecessor may have started any;
    /// returns whether one of them waits.
    fn put_found_first(&mut self, key: Ready) -> bool {
        self.front_task(key);
        let Some(flow) = self.workflows.get_mut(&key.workflow) else { return false };
        let Some(occurrence) = flow.occurrences.get_mut(&key.occurrence) else { return false };
        let Some(step) = occurrence.steps.get_mut(usize::from(key.step)) else { return false };
        let found =
            |index: &u32| step.tasks.get(*index as usize).is_some_and(|task| task.found_running);
        let Some(place) = step.queue.iter().position(found) else { return false };
        step.queue.swap(0, place);
        true
    }

    fn pop(&mut self, key: Ready) {
        if let Some(queue) = self.queue_of(key) {
            queue.pop_front();
        }
    }

    /// Whether a task was started before, by this leader or, as far as is known, by another.
    pub(super) fn was_started(&mut self, task: TaskId) -> bool {
        self.task_mut(task).is_some_and(|state| state.last_run > RunId(0))
    }

    pub(super) fn next_run(&mut self, task: TaskId) -> RunId {
        let base = self.epoch.0 * RUNS_PER_EPOCH;
        let last = self.task_mut(task).map_or(RunId(0), |state| state.last_run);
        RunId((last.0 + 1).max(base))
    }

    pub(super) fn start_attempt(
        &mut self,
        now: Time,
        task: TaskId,
        need: &Requirements<'_>,
        id: &WorkerId,
        run: Option<RunId>,
        out: &mut Vec<Effect>,
    ) {
        let announced = self.task(task).and_then(|state| state.announced_run());
        let run = run.or(announced).unwrap_or_else(|| self.next_run(task));
        let again = self.was_started(task);
        let trial = self.is_suspect(task);
        let limits = self.limits;
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(until_ms) = worker.lease_until(now, limits.lease, limits.lease_bound()) else {
            return;
        };
        let addr = worker.info.addr;
        worker.next_poll_at = worker.next_poll_at.min(now + limits.poll_gap);
        let mut copy = Attempt::new(now, need, Phase::Starting).with_isolation(trial);
        copy.is_restart = again;
        copy.start_deadline_ms = Some(until_ms);
        worker.insert(task, run, copy);
        if trial {
            worker.reserved_until = now;
        }
        let Some(state) = self.task_mut(task) else { return };
        state.last_run = run;
        state.attempts.push((id.clone(), run));
        let saved =
            if need.step.checkpoints { state.saved.clone() } else { CompactString::default() };
        let Some(flow) = self.workflows.get_mut(&task.workflow) else { return };
        if !std::mem::replace(&mut flow.started, true) {
            log::info!(workflow:% = task.workflow, worker:% = id; "workflow_started");
            self.dirty.insert(task.workflow);
        }
        let ticket = self.ticket(now, task, id);
        self.log_start(now, task, run, id);
        let Some(flow) = self.workflows.get(&task.workflow) else { return };
        log::debug!(task:%, run:%, worker:% = id; "task_started");
        self.start_window.on_decided();
        out.push(Effect::Start {
            worker: id.clone(),
            addr,
            epoch: self.epoch,
            task,
            run,
            submission: Arc::clone(&flow.submission),
            until_ms,
            saved,
            ticket,
        });
    }

    /// The worker for a task that doesn't go where it failed or was slow.
    pub(super) fn choose_elsewhere(
        &mut self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        need: &Requirements<'_>,
    ) -> Option<WorkerId> {
        let avoided = self.avoided_worker(task);
        self.candidates(now, task, service, need).pop_best(avoided.as_ref())
    }

    /// The worker that a task keeps away from.
    pub(super) fn avoided_worker(&self, task: TaskId) -> Option<WorkerId> {
        self.task(task)?.avoid.as_ref().map(|avoid| avoid.worker.clone())
    }

    /// The best of these workers for a task, if one has room.
    pub(super) fn best_worker<'a>(
        &self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        need: &Requirements<'_>,
        workers: impl Iterator<Item = (&'a WorkerId, &'a Worker)>,
    ) -> Option<WorkerId> {
        let advised = self.needs_ticket(task.step_id()).is_some();
        let mut best: Option<(Fitness, &WorkerId)> = None;
        for (id, worker) in workers {
            if !has_capacity(worker, task, need) || (advised && !self.is_allowed(now, task, id)) {
                continue;
            }
            let Some(fitness) = self.eligible_fitness(now, (id, worker), task, service, need)
            else {
                continue;
            };
            if best.as_ref().is_none_or(|(known, _)| fitness > *known) {
                best = Some((fitness, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    /// How well a worker suits a task; higher is better. None if a serving task there would miss its
    /// target beside it, or if it is a serving task and better waits for another place.
    ///
    /// Serving tasks go where they close least room to fillers, and among such places beside their own image,
    /// spread over the workers that hold it: a worker whose tail rises then takes a task or two of several
    /// workflows, and not most of one. Fillers and other tasks go where fewest other fillers could run. Fillers
    /// then go where they press least, and where most processor time is left.
    pub(super) fn fitness(
        &self,
        now: Time,
        worker: &Worker,
        task: TaskId,
        need: &Requirements<'_>,
    ) -> Option<Fitness> {
        let step = need.step;
        let near = step.data_rack.as_ref().is_some_and(|rack| worker.info.has_label(rack));
        let left = worker.free_best_effort_cpu();
        let fast = !worker.is_slow(now);
        if step.target_ms > 0 {
            let closed = self.closes(worker, need.image);
            if closed > CLOSES_LITTLE && self.queue_wait(now, task.step_id()) < PATIENCE {
                return None;
            }
            let company = KINSHIP_COUNTS * kinship(worker, need.image) - spread(worker, task);
            return Some((near, true, -closed, company, -left));
        }
        let open = (self.colocation.acceptance(&worker.neighbours) / OPENNESS_STEP) as i64;
        if step.best_effort {
            let disturbance =
                self.colocation.added_interference(&worker.neighbours, need.best_effort_demand());
            let disturbance = match disturbance {
                Some(known) => known,
                None if self.is_tried(now, worker, task, need) => TRIED,
                None => return None,
            };
            return Some((near, fast, -open, -i64::from(disturbance), left));
        }
        Some((near, fast, -open, i64::from(worker.latency_critical > 0), left))
    }

    /// Whether a filler of which too little is known is tried at a worker, by itself.
    ///
    /// What is feared of an image that was never seen beside the serving images, which may stand on all
    /// workers, would keep its tasks waiting for good: as long as none runs, nothing is learned of it. One that is
    /// tried works at the pace that what is feared leaves, and gets faster as more is known.
    fn is_tried(&self, now: Time, worker: &Worker, task: TaskId, need: &Requirements<'_>) -> bool {
        worker.best_effort == 0
            && self.queue_wait(now, task.step_id()) >= TRY_AFTER
            && self.task(task).is_some_and(TaskState::is_pending)
            && self.colocation.may_probe(&worker.neighbours, need.best_effort_demand())
    }

    /// How much room for fillers one more serving task of an image would close at a worker, in steps.
    fn closes(&self, worker: &Worker, image: ImageNo) -> i64 {
        let closed = self.colocation.acceptance_loss_with(&worker.neighbours, image);
        (closed * worker.best_effort_capacity() as f32 / CAPACITY_STEP_MILLICORES) as i64
    }

    /// Whether a serving task would close much room for fillers at a worker, and better waits a little.
    pub(super) fn waits_for_better_worker(
        &self,
        now: Time,
        worker: &Worker,
        task: TaskId,
        need: &Requirements<'_>,
    ) -> bool {
        need.step.target_ms > 0 && self.fitness(now, worker, task, need).is_none()
    }
}

/// Near the data, not slow, then by kind of task: see [`Scheduler::fitness`].
pub(super) type Fitness = (bool, bool, i64, i64, i64);

/// Room for fillers that is closed or opened is compared in steps of so many cores: half a filler.
pub(super) const CAPACITY_STEP_MILLICORES: f32 = 2_000.0;

/// A filler of which little is known has waited for so long when it is tried.
const TRY_AFTER: Duration = Duration::from_secs(4);

/// A filler that is tried counts as pressing harder than any that is known to be borne.
const TRIED: u32 = 1_000;

/// What a worker is open to is compared in steps of this share of the fillers' demand.
const OPENNESS_STEP: f32 = 0.1;

/// A serving task that closes more steps of room than this waits for a better place for [`PATIENCE`]: it
/// stays there for a minute or more.
const CLOSES_LITTLE: i64 = 1;

/// The platform takes a lasting task as forgotten after 3 s with room for it.
const PATIENCE: Duration = Duration::from_secs(1);

/// A task of the same image counts so many times what one of the same step counts against a worker.
const KINSHIP_COUNTS: i64 = 8;

/// How well a serving task's company suits it: best beside its own image alone, then by itself, then
/// beside few others.
fn kinship(worker: &Worker, image: ImageNo) -> i64 {
    let images = worker.neighbours.latency_critical();
    let kin = usize::from(images.iter().any(|(known, _)| *known == image));
    let strangers = images.len() - kin;
    i64::try_from(kin).unwrap_or(0) - 2 * i64::try_from(strangers).unwrap_or(0)
}

/// How many tasks of its step a task would stand beside.
fn spread(worker: &Worker, task: TaskId) -> i64 {
    i64::try_from(count_siblings(worker, task)).unwrap_or(0)
}

/// Whether a worker can hold one more task of the step.
///
/// Fillers of one worker share what the others leave; more of them than that would each be slowed down,
/// and those first in the queue are better served one after the other.
pub(super) fn has_capacity(worker: &Worker, task: TaskId, need: &Requirements<'_>) -> bool {
    let step = need.step;
    let free = worker.free();
    if !need.reserved.fits(&free) {
        return false;
    }
    if step.label.as_ref().is_some_and(|label| !worker.info.has_label(label)) {
        return false;
    }
    if need.rack.is_some() && need.rack != worker.info.rack() {
        return false;
    }
    let crowded =
        worker.over_target || worker.free_best_effort_cpu() < i64::from(step.resources.cpu.0);
    if step.best_effort && crowded {
        return false;
    }
    step.per_worker == 0 || count_siblings(worker, task) < step.per_worker as usize
}

/// How many tasks of the same step and occurrence a worker holds.
pub(super) fn count_siblings(worker: &Worker, task: TaskId) -> usize {
    let first = (TaskId { index: 0, ..task }, RunId(0));
    let last = (TaskId { index: u32::MAX, ..task }, RunId(u64::MAX));
    worker.attempts.range(first..=last).count()
}
