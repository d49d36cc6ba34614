//! Lost workers: requeues their runs and assesses which run may have crashed its worker.

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

/// A worker that is lost within this time of starting a run may have been crashed by it.
pub(super) const PROBATION: Duration = Duration::from_millis(500);

/// A run that has been running this long clears the earlier crashes of its task.
pub(super) const CRASHES_CLEARED_AFTER: Duration = Duration::from_secs(10);

/// How long an unresponsive worker may take to return and clear the crashes counted for its loss.
const RETURN_WINDOW: Duration = Duration::from_secs(60);

/// Maximum time between the last contacts of two workers lost together, if the other's was earlier: the longest
/// interval between replies of a busy worker.
const MAX_EARLIER_CONTACT: Duration = Duration::from_millis(1_600);

/// The same if the other's last contact was later: a worker in probation replies every 250 ms.
const MAX_LATER_CONTACT: Duration = Duration::from_millis(400);

/// A worker in probation, polled every 250 ms, may have crashed after this long without a reply.
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(1);

/// After this long without a reply a worker counts as probably lost.
const PROBABLY_LOST_AFTER: Duration = Duration::from_secs(2);

/// How long a lost worker is remembered, to find workers lost together with it.
const LOSS_RETENTION: Duration = Duration::from_secs(10);

/// Minimum number of other workers of the same rack lost together for a common cause.
const MIN_RACK_LOSSES: usize = 1;

/// Minimum number of other workers of the same service lost together for a common cause.
const MIN_SERVICE_LOSSES: usize = 4;

/// Maximum burst of log lines on lost runs: the runs of a rack of eight workers.
const LOG_BURST_LINES: u32 = 200;

/// Sustained rate of log lines on lost runs, about 4 KB each second.
const LOG_LINES_PER_SECOND: u32 = 20;

/// Why a worker counts as lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WorkerLoss {
    /// It left as announced, or for maintenance.
    Left,
    /// Another incarnation answers at its address.
    Replaced,
    /// It was unresponsive until its leases lapsed; it may only be partitioned.
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

/// State kept about lost workers and their runs.
#[derive(Debug)]
pub(super) struct LostWorkers {
    log_budget: LineBudget,
    /// Runs counted as crashed because their worker was unresponsive, and the time of the loss.
    lapsed: BTreeMap<WorkerId, (Time, Vec<(TaskId, RunId)>)>,
    /// Recently lost workers.
    recent: VecDeque<LostWorker>,
    /// Workflows with a crash that isn't in the store and in no append under way.
    unrecorded: BTreeSet<WorkflowId>,
}

impl Default for LostWorkers {
    fn default() -> LostWorkers {
        LostWorkers {
            log_budget: LineBudget::new("lost_runs", LOG_BURST_LINES, LOG_LINES_PER_SECOND),
            lapsed: BTreeMap::new(),
            recent: VecDeque::new(),
            unrecorded: BTreeSet::new(),
        }
    }
}

impl LostWorkers {
    pub(super) fn log_suppressed_lines(&mut self, now: Time) {
        self.log_budget.log_suppressed(now);
    }

    /// Whether the log budget allows another line.
    pub(super) fn may_log(&mut self, now: Time) -> bool {
        self.log_budget.take(now, 0)
    }

    /// Marks a workflow's crashes as part of an append; returns whether there were new ones.
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

/// A recently lost worker.
#[derive(Debug)]
struct LostWorker {
    id: WorkerId,
    lost_at: Time,
    last_contact: Time,
    service: CompactString,
    rack: Option<CompactString>,
}

/// A run lost with its worker.
struct LostRun {
    task: TaskId,
    run: RunId,
    /// Known running time; none if it may never have started.
    ran_for: Option<Duration>,
    evidence: Option<CrashEvidence>,
}

impl Worker {
    /// Known running time of an attempt; none if it may never have started.
    fn ran_for(&self, attempt: &Attempt) -> Option<Duration> {
        let last_contact = self.last_contact.unwrap_or(attempt.running_since);
        attempt
            .confirmed
            .then(|| last_contact.max(attempt.running_since).since(attempt.running_since))
    }

    /// Whether an attempt started so recently that it would be suspected if the worker crashed now.
    fn is_in_probation(&self, attempt: &Attempt) -> bool {
        let inherited = attempt.start_deadline_ms.is_none();
        match self.ran_for(attempt) {
            _ if inherited => attempt.inherited_in_probation && !attempt.confirmed,
            ran_for => ran_for.is_none_or(|span| span < PROBATION),
        }
    }

    /// The attempts in probation that have certainly started.
    pub(super) fn runs_in_probation(&self) -> impl Iterator<Item = (TaskId, RunId)> {
        let in_probation = |attempt: &Attempt| {
            self.is_in_probation(attempt) && (attempt.confirmed || attempt.inherited_in_probation)
        };
        self.attempts.iter().filter(move |(_, attempt)| in_probation(attempt)).map(|(key, _)| *key)
    }

    /// What the loss of this worker indicates about an attempt; `alone` if no other attempt here can be the cause.
    fn evidence(&self, attempt: &Attempt, loss: WorkerLoss, alone: bool) -> Option<CrashEvidence> {
        let draining = self.info.state == WorkerState::Draining;
        if !self.is_in_probation(attempt) {
            let inherited = attempt.start_deadline_ms.is_none();
            let cleared =
                self.ran_for(attempt).is_some_and(|ran_for| ran_for >= CRASHES_CLEARED_AFTER);
            return (!inherited && !cleared && !draining).then_some(CrashEvidence::Late);
        }
        let started = attempt.confirmed || attempt.inherited_in_probation;
        Some(match loss {
            // A draining worker gets no starts, and stays up for some seconds.
            _ if draining => CrashEvidence::Unsure,
            WorkerLoss::Replaced if started && alone => CrashEvidence::Alone,
            WorkerLoss::Replaced if started => CrashEvidence::Shared,
            _ => CrashEvidence::Unsure,
        })
    }

    /// Whether no attempt here is in probation.
    pub(super) fn all_past_probation(&self) -> bool {
        !self.attempts.values().any(|attempt| self.is_in_probation(attempt))
    }
}

impl Scheduler {
    /// Drops the attempts on a lost worker and requeues their tasks.
    pub(super) fn requeue_lost_runs(&mut self, now: Time, id: &WorkerId, loss: WorkerLoss) {
        let runs = self.lost_runs(now, id, loss);
        self.add_loss(now, id, loss);
        let beside = runs.len().saturating_sub(1);
        for LostRun { task, run, ran_for, evidence } in runs {
            self.stats.lost += 1;
            let crashes = evidence.map_or(0, |evidence| self.add_crash(task, run, evidence));
            if evidence.is_some() && loss == WorkerLoss::Lapsed {
                self.clear_on_return(now, id, task, run);
            }
            if self.lost_workers.may_log(now) {
                let in_doubt = ran_for.is_none();
                let worked_ms = ran_for.unwrap_or_default().as_millis() as u64;
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

    /// Records the loss of a worker, to find workers lost together.
    fn add_loss(&mut self, now: Time, id: &WorkerId, loss: WorkerLoss) {
        let recent = &mut self.lost_workers.recent;
        while recent.front().is_some_and(|lost| now.since(lost.lost_at) >= LOSS_RETENTION) {
            recent.pop_front();
        }
        let Some(worker) = self.workers.get(id) else { return };
        let Some(last_contact) = worker.last_contact.filter(|_| loss != WorkerLoss::Left) else {
            return;
        };
        let service = worker.info.service.clone();
        let rack = worker.info.rack().map(CompactString::new);
        recent.push_back(LostWorker { id: id.clone(), lost_at: now, last_contact, service, rack });
    }

    /// Whether enough workers were lost at the same time that a common cause is likely.
    fn has_common_cause(&self, now: Time, id: &WorkerId, worker: &Worker) -> bool {
        let Some(last_contact) = worker.last_contact else { return true };
        // Other workers lost at the same time may not have become unresponsive yet.
        if now.since(last_contact) < PROBABLY_LOST_AFTER {
            return true;
        }
        let lost_together = |other_contact: Time| {
            last_contact.since(other_contact) <= MAX_EARLIER_CONTACT
                && other_contact.since(last_contact) <= MAX_LATER_CONTACT
        };
        let recent = &self.lost_workers.recent;
        let unresponsive = self.workers.iter().filter_map(|(other_id, other_worker)| {
            let already_counted = other_id == id || recent.iter().any(|lost| lost.id == *other_id);
            let other_contact = other_worker
                .last_contact
                .filter(|at| !already_counted && now.since(*at) >= PROBABLY_LOST_AFTER)?;
            (other_worker.info.service == worker.info.service && lost_together(other_contact))
                .then(|| other_worker.info.rack())
        });
        let lost = recent
            .iter()
            .filter(|lost| lost.service == worker.info.service && lost_together(lost.last_contact));
        let racks: Vec<Option<&str>> =
            unresponsive.chain(lost.map(|lost| lost.rack.as_deref())).collect();
        let rack = worker.info.rack();
        let same_rack =
            racks.iter().filter(|other_rack| rack.is_some() && **other_rack == rack).count();
        same_rack >= MIN_RACK_LOSSES || racks.len() >= MIN_SERVICE_LOSSES
    }

    fn lost_runs(&self, now: Time, id: &WorkerId, loss: WorkerLoss) -> Vec<LostRun> {
        let Some(worker) = self.workers.get(id) else { return Vec::new() };
        let expected = loss == WorkerLoss::Left || self.is_in_maintenance(id);
        let alone =
            self.groups_in_probation(worker) == 1 && !self.has_common_cause(now, id, worker);
        let lost = |((task, run), attempt): (&(TaskId, RunId), &Attempt)| {
            let evidence = worker.evidence(attempt, loss, alone).filter(|_| !expected);
            LostRun { task: *task, run: *run, ran_for: worker.ran_for(attempt), evidence }
        };
        worker.attempts.iter().map(lost).collect()
    }

    /// Number of tasks in probation on a worker. Members of a gang count as one, since they start and stop together.
    fn groups_in_probation(&self, worker: &Worker) -> usize {
        let in_probation =
            worker.attempts.iter().filter(|(_, attempt)| worker.is_in_probation(attempt));
        let is_gang = |task: TaskId| self.step(task).is_some_and(|step| step.gang);
        let groups: BTreeSet<(StepId, Option<u32>)> = in_probation
            .map(|((task, _), _)| (task.step_id(), (!is_gang(*task)).then_some(task.index)))
            .collect();
        groups.len()
    }

    /// Records the runs in probation on unresponsive workers. Otherwise a crash would be missed if the leader changed
    /// before the loss of the worker was certain.
    pub(super) fn announce_unresponsive(&mut self, now: Time) {
        let is_unresponsive = |worker: &Worker| {
            worker.last_contact.is_some_and(|at| now.since(at) >= UNRESPONSIVE_AFTER)
        };
        let unresponsive = self.workers.iter().filter(|(_, worker)| is_unresponsive(worker));
        let runs: Vec<(WorkerId, TaskId, RunId)> = unresponsive
            .flat_map(|(id, worker)| {
                worker.runs_in_probation().map(|(task, run)| (id.clone(), task, run))
            })
            .collect();
        for (worker, task, run) in runs {
            let Some(state) = self.task_mut(task) else { continue };
            if state.announced.as_ref().is_none_or(|announced| announced.run < run) {
                state.announced = Some(AnnouncedRun { run, worker });
                self.dirty.insert(task.workflow);
            }
        }
    }

    /// Adds a crash to a task's history; returns the number of crashes.
    pub(super) fn add_crash(&mut self, task: TaskId, run: RunId, evidence: CrashEvidence) -> usize {
        let Some(state) = self.task_mut(task).filter(|state| !state.done) else { return 0 };
        state.announced.take_if(|announced| announced.run == run);
        if state.crashes.iter().all(|crash| crash.run != run) {
            state.crashes.push(Crash { run, evidence });
        }
        let crashes = state.crashes.len();
        self.dirty.insert(task.workflow);
        self.lost_workers.note_unrecorded(task.workflow);
        crashes
    }

    /// Records a crash to be cleared if the unresponsive worker returns.
    fn clear_on_return(&mut self, now: Time, id: &WorkerId, task: TaskId, run: RunId) {
        self.lost_workers.lapsed.retain(|_, (at, _)| now.since(*at) < RETURN_WINDOW);
        let (_, runs) = self.lost_workers.lapsed.entry(id.clone()).or_insert((now, Vec::new()));
        runs.push((task, run));
    }

    /// Clears the crashes counted for the loss of a worker that has replied after all.
    pub(super) fn clear_crashes_of_worker(&mut self, id: &WorkerId) {
        let Some((_, runs)) = self.lost_workers.lapsed.remove(id) else { return };
        for (task, run) in runs {
            self.clear_crash_of_run(task, run);
        }
    }

    /// Clears the crash of a run that the worker lists as running or ended.
    pub(super) fn clear_crash_of_run(&mut self, task: TaskId, run: RunId) {
        let Some(state) = self.task_mut(task) else { return };
        let crashes = state.crashes.len();
        state.crashes.retain(|crash| crash.run != run);
        let announced = state.announced.take_if(|announced| announced.run == run);
        if state.crashes.len() != crashes || announced.is_some() {
            self.dirty.insert(task.workflow);
        }
    }

    /// Clears a task's crashes after one of its runs has outlasted [`CRASHES_CLEARED_AFTER`] or failed.
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

    /// Logs the tasks that caused a workflow to be given up by crashing their workers.
    pub(super) fn log_given_up(&mut self, id: WorkflowId) {
        let Some(workflow) = self.workflows.get(&id).filter(|workflow| workflow.outcome.is_none())
        else {
            return;
        };
        for (occurrence_number, occurrence) in &workflow.occurrences {
            for (step, state) in (0u16..).zip(&occurrence.steps) {
                let tasks = (0u32..).zip(&state.tasks);
                for (index, state) in tasks.filter(|(_, task)| is_given_up(&task.crashes)) {
                    let task = TaskId { workflow: id, occurrence: *occurrence_number, step, index };
                    let crashes = state.crashes.len();
                    log::warn!(task:%, crashes; "task_given_up");
                    self.stats.given_up += 1;
                }
            }
        }
    }
}
