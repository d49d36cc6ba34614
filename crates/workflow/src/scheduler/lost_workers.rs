//! Workers that are lost with what runs there, and what that says of the runs.

use {
    super::{Attempt, Scheduler, Worker, waits::LineBudget},
    crate::{
        AnnouncedRun, Crash, CrashEvidence, RunId, StepId, TaskId, WorkerId, WorkerState,
        WorkflowId, crash::is_given_up,
    },
    compact_str::CompactString,
    egretlb_types::Time,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        fmt,
        time::Duration,
    },
};

/// A run that has been at work for so long has not crashed its worker by being started.
pub(super) const PROBATION: Duration = Duration::from_millis(500);

/// A run that has been at work for so long clears its task of all earlier crashes.
pub(super) const CRASHES_CLEARED_AFTER: Duration = Duration::from_secs(10);

/// How long a silent worker may take to come back and clear what was lost there.
const MAY_RETURN: Duration = Duration::from_secs(60);

/// A worker that was last heard so long before another one may have been lost at the same moment: the longest pause between two
/// answers of a busy worker.
const HEARD_BEFORE: Duration = Duration::from_millis(1_600);

/// The same for one that was heard after it. A worker where something has just begun answers each quarter of a second.
const HEARD_AFTER: Duration = Duration::from_millis(400);

/// A worker with a run that has just begun is polled each quarter of a second. One unheard for so long may have crashed.
const SILENT_AFTER: Duration = Duration::from_secs(1);

/// A worker that hasn't been heard for so long is about to be found lost.
const UNHEARD: Duration = Duration::from_secs(2);

/// How long a lost worker is remembered, to see what else was lost with it.
const REMEMBERED: Duration = Duration::from_secs(10);

/// So many other workers of a rack that are lost at the same moment tell of the rack, not of a task.
const RACK_MATES: usize = 1;

/// So many other workers of a service that are lost at the same moment tell of a common cause.
const SERVICE_MATES: usize = 4;

/// The most lines on lost runs at once: as many as a rack of eight workers holds.
const BURST: u32 = 200;

/// The most lines on lost runs each second in the long run: 4 KB at 200 bytes a line.
const LINES_PER_SECOND: u32 = 20;

/// How a worker was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WorkerLoss {
    /// It left as it had announced, or for upkeep.
    Left,
    /// Another incarnation answers at its address.
    Replaced,
    /// It has been silent until its leases had lapsed; it may be cut off.
    Lapsed,
}

impl fmt::Display for WorkerLoss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WorkerLoss::Left => "left",
            WorkerLoss::Replaced => "replaced",
            WorkerLoss::Lapsed => "lapsed",
        })
    }
}

/// What is kept of lost runs.
#[derive(Debug)]
pub(super) struct LostWorkers {
    lines: LineBudget,
    /// Runs counted as lost with workers that were merely silent, and when that was.
    silent: BTreeMap<WorkerId, (Time, Vec<(TaskId, RunId)>)>,
    /// Workers that were lost lately.
    lately: VecDeque<LostWorker>,
    /// Workflows with a crash that no append has taken along yet.
    unrecorded: BTreeSet<WorkflowId>,
}

impl Default for LostWorkers {
    fn default() -> LostWorkers {
        LostWorkers {
            lines: LineBudget::new("lost_runs", BURST, LINES_PER_SECOND),
            silent: BTreeMap::new(),
            lately: VecDeque::new(),
            unrecorded: BTreeSet::new(),
        }
    }
}

impl LostWorkers {
    pub(super) fn log_suppressed_lines(&mut self, now: Time) {
        self.lines.log_suppressed(now);
    }

    /// Whether one more line may be written.
    pub(super) fn may_log(&mut self, now: Time) -> bool {
        self.lines.take(now, 0)
    }

    /// Notes that an append takes a workflow's crashes along; returns whether there are new ones.
    pub(super) fn take_unrecorded(&mut self, id: WorkflowId) -> bool {
        self.unrecorded.remove(&id)
    }

    pub(super) fn note_unrecorded(&mut self, id: WorkflowId) {
        self.unrecorded.insert(id);
    }

    pub(super) fn is_unrecorded(&self, id: WorkflowId) -> bool {
        self.unrecorded.contains(&id)
    }
}

/// A worker that was lost.
#[derive(Debug)]
struct LostWorker {
    id: WorkerId,
    at: Time,
    heard: Time,
    service: CompactString,
    rack: Option<CompactString>,
}

/// A run that is lost with its worker.
struct LostRun {
    task: TaskId,
    run: RunId,
    /// How long it is known to have been at work; none if it may never have begun.
    worked: Option<Duration>,
    evidence: Option<CrashEvidence>,
}

impl Worker {
    /// How long a run here is known to have been at work; none if it may never have begun.
    fn worked(&self, copy: &Attempt) -> Option<Duration> {
        let heard = self.last_contact.unwrap_or(copy.running_since);
        copy.confirmed.then(|| heard.max(copy.running_since).since(copy.running_since))
    }

    /// Whether a run here may have begun so lately that it would be suspected if the worker crashed now.
    fn is_in_probation(&self, copy: &Attempt) -> bool {
        let inherited = copy.start_deadline_ms.is_none();
        match self.worked(copy) {
            _ if inherited => copy.inherited_in_probation && !copy.confirmed,
            worked => worked.is_none_or(|span| span < PROBATION),
        }
    }

    /// The runs here that have certainly begun, and had just done so when the worker was last heard.
    pub(super) fn runs_in_probation(&self) -> impl Iterator<Item = (TaskId, RunId)> {
        let unproved = |copy: &Attempt| {
            self.is_in_probation(copy) && (copy.confirmed || copy.inherited_in_probation)
        };
        self.attempts.iter().filter(move |(_, copy)| unproved(copy)).map(|(key, _)| *key)
    }

    /// What the loss of this worker says of a run here; `alone` if nothing else that had just begun can be the cause.
    fn evidence(&self, copy: &Attempt, loss: WorkerLoss, alone: bool) -> Option<CrashEvidence> {
        let leaves = self.info.state == WorkerState::Draining;
        if !self.is_in_probation(copy) {
            let inherited = copy.start_deadline_ms.is_none();
            let settled = self.worked(copy).is_some_and(|span| span >= CRASHES_CLEARED_AFTER);
            return (!inherited && !settled && !leaves).then_some(CrashEvidence::Late);
        }
        let began = copy.confirmed || copy.inherited_in_probation;
        Some(match loss {
            // A worker that leaves gets no starts, and stays for some seconds yet.
            _ if leaves => CrashEvidence::Unsure,
            WorkerLoss::Replaced if began && alone => CrashEvidence::Alone,
            WorkerLoss::Replaced if began => CrashEvidence::Shared,
            _ => CrashEvidence::Unsure,
        })
    }

    /// Whether no run here has just begun.
    pub(super) fn all_past_probation(&self) -> bool {
        !self.attempts.values().any(|copy| self.is_in_probation(copy))
    }
}

impl Scheduler {
    /// Forgets what ran at a worker that was lost, and queues its tasks.
    pub(super) fn requeue_lost_runs(&mut self, now: Time, id: &WorkerId, loss: WorkerLoss) {
        let runs = self.lost_runs(now, id, loss);
        self.note_lost(now, id, loss);
        let beside = runs.len().saturating_sub(1);
        for LostRun { task, run, worked, evidence } in runs {
            self.stats.lost += 1;
            let crashes = evidence.map_or(0, |evidence| self.add_crash(task, run, evidence));
            if evidence.is_some() && loss == WorkerLoss::Lapsed {
                self.may_clear(now, id, task, run);
            }
            if self.lost_workers.may_log(now) {
                let in_doubt = worked.is_none();
                let worked_ms = worked.unwrap_or_default().as_millis() as u64;
                let evidence = evidence.map_or_else(|| "-".to_owned(), |e| e.to_string());
                log::info!(
                    task:%, run:%, worker:% = id, loss:%, in_doubt, worked_ms, beside, evidence:%,
                    crashes;
                    "run_lost"
                );
            }
            self.drop_attempt(now, id, task, run);
        }
    }

    /// Remembers a lost worker.
    fn note_lost(&mut self, now: Time, id: &WorkerId, loss: WorkerLoss) {
        let lately = &mut self.lost_workers.lately;
        while lately.front().is_some_and(|lost| now.since(lost.at) >= REMEMBERED) {
            lately.pop_front();
        }
        let Some(worker) = self.workers.get(id) else { return };
        let Some(heard) = worker.last_contact.filter(|_| loss != WorkerLoss::Left) else { return };
        let service = worker.info.service.clone();
        let rack = worker.info.rack().map(CompactString::new);
        lately.push_back(LostWorker { id: id.clone(), at: now, heard, service, rack });
    }

    /// Whether so many workers were lost at the same moment that a common cause is likely.
    fn has_common_cause(&self, now: Time, id: &WorkerId, worker: &Worker) -> bool {
        let Some(heard) = worker.last_contact else { return true };
        // It was replaced before others that were lost with it can be known to be silent.
        if now.since(heard) < UNHEARD {
            return true;
        }
        let near =
            |other: Time| heard.since(other) <= HEARD_BEFORE && other.since(heard) <= HEARD_AFTER;
        let lately = &self.lost_workers.lately;
        let unheard = self.workers.iter().filter_map(|(other, known)| {
            let counted = other == id || lately.iter().any(|lost| lost.id == *other);
            let since = known.last_contact.filter(|at| !counted && now.since(*at) >= UNHEARD)?;
            (known.info.service == worker.info.service && near(since)).then(|| known.info.rack())
        });
        let lost =
            lately.iter().filter(|lost| lost.service == worker.info.service && near(lost.heard));
        let racks: Vec<Option<&str>> =
            unheard.chain(lost.map(|lost| lost.rack.as_deref())).collect();
        let rack = worker.info.rack();
        let mates = racks.iter().filter(|known| rack.is_some() && **known == rack).count();
        mates >= RACK_MATES || racks.len() >= SERVICE_MATES
    }

    fn lost_runs(&self, now: Time, id: &WorkerId, loss: WorkerLoss) -> Vec<LostRun> {
        let Some(worker) = self.workers.get(id) else { return Vec::new() };
        let announced = loss == WorkerLoss::Left || self.is_in_maintenance(id);
        let alone =
            self.groups_in_probation(worker) == 1 && !self.has_common_cause(now, id, worker);
        let lost = |((task, run), copy): (&(TaskId, RunId), &Attempt)| {
            let evidence = worker.evidence(copy, loss, alone).filter(|_| !announced);
            LostRun { task: *task, run: *run, worked: worker.worked(copy), evidence }
        };
        worker.attempts.iter().map(lost).collect()
    }

    /// How many tasks have just begun at a worker. Members of a gang count as one, since they are started and
    /// given up together.
    fn groups_in_probation(&self, worker: &Worker) -> usize {
        let unproved = worker.attempts.iter().filter(|(_, copy)| worker.is_in_probation(copy));
        let gang = |task: TaskId| self.step(task).is_some_and(|step| step.gang);
        let groups: BTreeSet<(StepId, Option<u32>)> = unproved
            .map(|((task, _), _)| (task.step_id(), (!gang(*task)).then_some(task.index)))
            .collect();
        groups.len()
    }

    /// Records the runs that had just begun at workers that have fallen silent. A leader that is lost before it knows what
    /// became of such a worker would otherwise take the first crash along.
    pub(super) fn announce_unresponsive(&mut self, now: Time) {
        let unheard =
            |worker: &Worker| worker.last_contact.is_some_and(|at| now.since(at) >= SILENT_AFTER);
        let silent = self.workers.iter().filter(|(_, worker)| unheard(worker));
        let runs: Vec<(WorkerId, TaskId, RunId)> = silent
            .flat_map(|(id, worker)| {
                worker.runs_in_probation().map(|(task, run)| (id.clone(), task, run))
            })
            .collect();
        for (worker, task, run) in runs {
            let Some(state) = self.task_mut(task) else { continue };
            if state.announced.as_ref().is_none_or(|known| known.run < run) {
                state.announced = Some(AnnouncedRun { run, worker });
                self.dirty.insert(task.workflow);
            }
        }
    }

    /// Counts a crash under a task; returns how many there are.
    pub(super) fn add_crash(&mut self, task: TaskId, run: RunId, evidence: CrashEvidence) -> usize {
        let Some(state) = self.task_mut(task).filter(|state| !state.done) else { return 0 };
        state.announced.take_if(|announced| announced.run == run);
        if state.crashes.iter().all(|known| known.run != run) {
            state.crashes.push(Crash { run, evidence });
        }
        let crashes = state.crashes.len();
        self.dirty.insert(task.workflow);
        self.lost_workers.note_unrecorded(task.workflow);
        crashes
    }

    /// Keeps in mind which run was counted as lost with a worker that may only be cut off.
    fn may_clear(&mut self, now: Time, id: &WorkerId, task: TaskId, run: RunId) {
        self.lost_workers.silent.retain(|_, (at, _)| now.since(*at) < MAY_RETURN);
        let (_, runs) = self.lost_workers.silent.entry(id.clone()).or_insert((now, Vec::new()));
        runs.push((task, run));
    }

    /// A worker that was taken for lost answers: nothing crashed it.
    pub(super) fn clear_crashes_of_worker(&mut self, id: &WorkerId) {
        let Some((_, runs)) = self.lost_workers.silent.remove(id) else { return };
        for (task, run) in runs {
            self.clear_crash_of_run(task, run);
        }
    }

    /// A worker lists a run or its end: it has outlived it.
    pub(super) fn clear_crash_of_run(&mut self, task: TaskId, run: RunId) {
        let Some(state) = self.task_mut(task) else { return };
        let crashes = state.crashes.len();
        state.crashes.retain(|crash| crash.run != run);
        let announced = state.announced.take_if(|announced| announced.run == run);
        if state.crashes.len() != crashes || announced.is_some() {
            self.dirty.insert(task.workflow);
        }
    }

    /// A run of a task has shown that it doesn't crash its worker.
    pub(super) fn clear_crashes_of_task(&mut self, task: TaskId) {
        let Some(state) = self.task_mut(task).filter(|state| !state.crashes.is_empty()) else {
            return;
        };
        let crashes = state.crashes.len();
        state.crashes.clear();
        state.announced = None;
        self.dirty.insert(task.workflow);
        log::info!(task:%, crashes; "task_cleared");
    }

    /// Tells which task of a workflow that is given up has crashed its workers, if one has.
    pub(super) fn log_given_up(&mut self, id: WorkflowId) {
        let Some(flow) = self.workflows.get(&id).filter(|flow| flow.outcome.is_none()) else {
            return;
        };
        for (number, occurrence) in &flow.occurrences {
            for (step, state) in (0u16..).zip(&occurrence.steps) {
                let tasks = (0u32..).zip(&state.tasks);
                for (index, state) in tasks.filter(|(_, task)| is_given_up(&task.crashes)) {
                    let task = TaskId { workflow: id, occurrence: *number, step, index };
                    let crashes = state.crashes.len();
                    log::warn!(task:%, crashes; "task_given_up");
                    self.stats.given_up += 1;
                }
            }
        }
    }
}
