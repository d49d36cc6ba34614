//! Checks that no task waits although it could run: the platform asks for that at any time for long-running tasks, and
//! for each workflow once the day is over.

use {
    super::{node::Node, worker::Worker, world::World},
    egretlb_types::{Offset, Resources, Time},
    egretlb_workflow::{
        EndKind, Entry, Ledger, Step, Submission, TaskId, VmId, WorkerId, WorkerState, WorkflowId,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        hash::{DefaultHasher, Hash, Hasher},
        time::Duration,
    },
};

/// A task that could run waits for at most this long. Platform limit.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// Time without faults before a wait counts. Platform limit.
const CALM_FOR: Duration = Duration::from_secs(4);

/// Time after its last run from which the wait of a long-running task counts. Platform limit.
const LONG_RUNNING_AFTER: Duration = Duration::from_secs(6);

/// Time without faults before the wait of a workflow counts that has nothing running: the platform asks 14 s after the
/// end of the traffic, and for [`MAX_WAIT`].
const WORKFLOWS_AFTER: Duration = Duration::from_secs(11);

/// Interval of checks, in milliseconds.
const CHECK_EVERY_MS: u64 = 50;

/// How many tasks have to fit beside what runs. Platform limit.
const MIN_SLOTS: u32 = 2;

/// A workflow or a long-running task that isn't running although its turn has come.
struct Wait {
    /// When it last ran, or since when its turn has come.
    since: Time,
    /// Since when there has been room for it without interruption.
    room_since: Option<Time>,
    reported: bool,
}

/// What the watch knows of the world.
pub struct StallWatch {
    /// Time without faults after which the waits of workflows that have nothing running count.
    pub workflows_after: Duration,
    pub violations: Vec<String>,
    /// Workflows and long-running tasks that waited beside enough room at a calm time.
    pub waits: u32,
    ledger: Ledger,
    next: Offset,
    faults: u64,
    disturbed_at: Time,
    idle: BTreeMap<WorkflowId, Wait>,
    down: BTreeMap<TaskId, Wait>,
}

impl StallWatch {
    pub fn new(now: Time) -> StallWatch {
        StallWatch {
            workflows_after: WORKFLOWS_AFTER,
            violations: Vec::new(),
            waits: 0,
            ledger: Ledger::default(),
            next: Offset(0),
            faults: 0,
            disturbed_at: now,
            idle: BTreeMap::new(),
            down: BTreeMap::new(),
        }
    }

    /// Observes the world after a step of the simulation.
    pub fn observe(&mut self, world: &World) {
        let now = world.now;
        let faults = world.faults();
        if faults != self.faults || world.is_disturbed() {
            (self.faults, self.disturbed_at) = (faults, now);
        }
        if !(now.as_micros() / 1_000).is_multiple_of(CHECK_EVERY_MS) {
            return;
        }
        for (offset, record) in world.store.from(self.next) {
            self.next = offset.next();
            self.ledger.apply(offset, &record.key, &record.value).expect("a record of this crate");
        }
        let room = Room::new(world);
        let mut due: BTreeMap<WorkflowId, Vec<(TaskId, &Step, &Submission)>> = BTreeMap::new();
        for (id, entry) in self.ledger.iter() {
            let Some(submission) = &entry.submission else { continue };
            if !entry.cancelled && entry.progress.outcome.is_none() {
                due.insert(id, due_tasks(world, id, entry, submission));
            }
        }
        self.idle.retain(|id, _| due.contains_key(id));
        self.down.retain(|task, _| due.contains_key(&task.workflow));
        let mut violations = Vec::new();
        let mut waits = 0;
        for (id, tasks) in due {
            let waiting =
                |(task, ..): &&(TaskId, &Step, &Submission)| !world.checker.is_running(*task);
            let idle = !tasks.is_empty() && tasks.iter().all(|task| waiting(&task));
            let fits = |(task, step, submission): &&(TaskId, &Step, &Submission)| {
                room.fits(*task, step, submission)
            };
            let could_run = || room.half_free && tasks.iter().any(|task| fits(&task));
            let wait = self.idle.entry(id).or_insert_with(|| Wait::new(now));
            let since = self.disturbed_at + self.workflows_after;
            if let Some(waited) = wait.update(now, idle, could_run, since) {
                waits += 1;
                let (task, step, _) = tasks[0];
                violations.push(format!(
                    "workflow {id}, nothing of which runs: {waited:?}, calm since {:?}, {task} of {}",
                    self.disturbed_at,
                    describe(step)
                ));
            }
            for (task, step, submission) in tasks.iter().filter(|(_, step, _)| step.long_running) {
                let wait = self.down.entry(*task).or_insert_with(|| Wait::new(now));
                let since = (wait.since + LONG_RUNNING_AFTER).max(self.disturbed_at + CALM_FOR);
                let down = !world.checker.is_running(*task);
                let could_run = || room.fits(*task, step, submission);
                if let Some(waited) = wait.update(now, down, could_run, since) {
                    waits += 1;
                    violations.push(format!(
                        "long-running {task}: {waited:?}, calm since {:?}, {}",
                        self.disturbed_at,
                        describe(step)
                    ));
                }
            }
        }
        self.waits += waits;
        self.violations.append(&mut violations);
    }
}

impl Wait {
    fn new(now: Time) -> Wait {
        Wait { since: now, room_since: None, reported: false }
    }

    /// Returns the span of a wait that is too long, once. Only what comes after `counted_from` counts.
    fn update(
        &mut self,
        now: Time,
        waits: bool,
        could_run: impl FnOnce() -> bool,
        counted_from: Time,
    ) -> Option<(Time, Time)> {
        if !waits {
            *self = Wait::new(now);
            return None;
        }
        if self.reported || now < counted_from || !could_run() {
            self.room_since = None;
            return None;
        }
        let room_since = *self.room_since.get_or_insert(now);
        if now.since(room_since) < MAX_WAIT {
            return None;
        }
        self.reported = true;
        Some((self.since, now))
    }
}

/// What may hold a step's tasks back.
fn describe(step: &Step) -> String {
    let flags = [
        (step.gang, "gang"),
        (step.speculative, "speculative"),
        (step.long_running, "long-running"),
        (step.best_effort, "best-effort"),
        (step.label.is_some(), "labelled"),
    ];
    let flags: Vec<&str> = flags.iter().filter(|(set, _)| *set).map(|(_, name)| *name).collect();
    let (count, cpu, per_worker) = (step.count, step.resources.cpu.0, step.per_worker);
    format!("{count} x {cpu} millicores, at most {per_worker} a worker, {flags:?}")
}

/// The tasks of a workflow whose turn has come and that aren't done, running ones included.
fn due_tasks<'a>(
    world: &World,
    id: WorkflowId,
    entry: &Entry,
    submission: &'a Submission,
) -> Vec<(TaskId, &'a Step, &'a Submission)> {
    let workflow = &submission.workflow;
    let wall_ms = world.now.as_micros() / 1_000;
    let mut due = Vec::new();
    for occurrence in entry.progress.complete_below..workflow.occurrences() {
        let due_ms = workflow
            .repeat
            .map_or(0, |repeat| repeat.first_ms + u64::from(occurrence) * repeat.every_ms);
        if due_ms > wall_ms || entry.progress.complete.contains(&occurrence) {
            continue;
        }
        let recorded = entry.progress.occurrences.iter().find(|o| o.number == occurrence);
        let is_done = |task: TaskId| {
            let step = recorded.and_then(|recorded| recorded.steps.get(usize::from(task.step)));
            step.is_some_and(|step| step.done.contains(task.index)) || world.lists_done(task)
        };
        let mut steps_done: Vec<bool> = Vec::new();
        for (number, step) in (0u16..).zip(&workflow.steps) {
            let task = |index| TaskId { workflow: id, occurrence, step: number, index };
            let open: Vec<TaskId> =
                (0..step.count).map(task).filter(|task| !is_done(*task)).collect();
            let done = open.is_empty() || (step.gang && open.len() < step.count as usize);
            let turn = step.after.iter().all(|after| steps_done[usize::from(*after)]);
            steps_done.push(done);
            if turn && !done {
                due.extend(open.into_iter().map(|task| (task, step, submission)));
            }
        }
    }
    due
}

/// The workers that can take tasks.
struct Room<'a> {
    world: &'a World,
    workers: Vec<&'a Worker>,
    /// Under half of the room is in use.
    half_free: bool,
}

impl<'a> Room<'a> {
    fn new(world: &'a World) -> Room<'a> {
        let usable = |(index, worker): &(usize, &Worker)| world.is_usable(*index, worker);
        let workers: Vec<&Worker> =
            world.workers.iter().enumerate().filter(usable).map(|(_, worker)| worker).collect();
        let capacity: u32 = workers.iter().map(|worker| worker.info.capacity.cpu.0).sum();
        let used: u32 = workers.iter().map(|worker| used(worker).cpu.0).sum();
        Room { world, workers, half_free: used * 2 < capacity }
    }

    /// Whether a task, or the whole gang that it belongs to, fits twice.
    fn fits(&self, task: TaskId, step: &Step, submission: &Submission) -> bool {
        let allowed =
            |id: &WorkerId| submission.advice.is_none() || self.world.advisor.allowed.contains(id);
        let slots = |worker: &&Worker| {
            let has_label = step.label.as_ref().is_none_or(|label| worker.info.has_label(label));
            if worker.info.service != submission.service || !has_label || !allowed(&worker.info.id)
            {
                return 0;
            }
            let fits = worker.info.capacity.minus(&used(worker)).times(&step.resources);
            let siblings = worker.running.keys().filter(|key| key.step_id() == task.step_id());
            let siblings = u32::try_from(siblings.count()).unwrap_or(u32::MAX);
            if step.per_worker == 0 {
                fits
            } else {
                fits.min(step.per_worker.saturating_sub(siblings))
            }
        };
        let slots: u32 = self.workers.iter().map(slots).sum();
        slots >= MIN_SLOTS * if step.gang { step.count } else { 1 }
    }
}

/// What the runs of a worker take; best-effort ones count as well.
fn used(worker: &Worker) -> Resources {
    let runs = worker.running.values();
    runs.fold(Resources::default(), |sum, run| sum.plus(&run.step.resources))
}

impl World {
    /// Starts watching for tasks that could run and don't.
    pub fn watch_stalls(&mut self) {
        self.stall_watch = Some(StallWatch::new(self.now));
    }

    /// The watch's violations since the last call.
    pub fn take_stalls(&mut self) -> Vec<String> {
        self.stall_watch
            .as_mut()
            .map_or_else(Vec::new, |watch| std::mem::take(&mut watch.violations))
    }

    /// Whether a worker lists an end of a task as done, or would.
    fn lists_done(&self, task: TaskId) -> bool {
        let mut ends =
            self.workers.iter().filter(|worker| worker.up).flat_map(|worker| &worker.ended);
        ends.any(|end| end.task == task && end.kind == EndKind::Done)
    }

    /// Whether a worker takes tasks and its leader reaches it.
    fn is_usable(&self, index: usize, worker: &Worker) -> bool {
        let reached = self.leader().is_none_or(|leader| {
            let Node { unreachable, refused_by, answers_lost_from, .. } = &self.nodes[leader];
            ![unreachable, refused_by, answers_lost_from].iter().any(|hit| hit.contains(&index))
        });
        let of_wave = |vm: &VmId| {
            self.fleet.vms.get(vm).is_some_and(|on| on.as_ref() == Some(&worker.info.id))
        };
        let in_wave = self.waves.iter().any(|(_, wave)| {
            wave.vms.iter().any(|vm| !self.fleet.done.contains(vm) && of_wave(vm))
        });
        reached
            && !in_wave
            && worker.up
            && worker.listed
            && worker.info.state == WorkerState::Ready
            && !worker.fails_all
            && !worker.ignores_commands
            && !worker.unreadable_runs
            && !worker.unreadable_entry
            && !self.evacuations.in_force(&worker.info.data_centre)
    }

    /// Whether a fault is in force now.
    fn is_disturbed(&self) -> bool {
        let disturbed = |node: &&Node| {
            node.up
                && (self.now < node.frozen_until
                    || !node.reaches_store
                    || !node.unreachable.is_empty()
                    || !node.answers_lost_from.is_empty()
                    || !node.refused_by.is_empty())
        };
        self.store_down
            || self.lost_appends + self.late_appends + self.late_commands > 0
            || !self.command_wait.is_zero()
            || self.advisor.busy
            || self.advisor.unresponsive
            || !self.fleet.down.is_empty()
            || self.nodes.iter().any(|node| disturbed(&node))
            || self.nodes.iter().all(|node| !node.up)
    }

    /// A hash of all that tests change: it differs after each fault, and after its end.
    fn faults(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let leader = self.leader();
        (leader, leader.map(|leader| self.nodes[leader].leadership.term())).hash(&mut hasher);
        for node in &self.nodes {
            (node.incarnation, node.up).hash(&mut hasher);
        }
        for worker in &self.workers {
            let ready = worker.info.state == WorkerState::Ready;
            (worker.up, worker.listed, worker.fails_all, ready).hash(&mut hasher);
            (worker.ignores_commands, worker.slowness, worker.unreadable_entry).hash(&mut hasher);
            worker.clock_start.hash(&mut hasher);
        }
        let allowed: &BTreeSet<WorkerId> = &self.advisor.allowed;
        (allowed.len(), self.waves.len(), self.fleet.done.len()).hash(&mut hasher);
        self.evacuations.hash_in_force(&mut hasher);
        hasher.finish()
    }
}
