//! Requeues the runs of lost workers and assesses which of them may have crashed its worker.

use {
    super::{
        Attempt, Scheduler, Worker,
        active_workflow::Announcement,
        common_losses::{CommonCause, RecentLosses},
        waits::LineBudget,
    },
    crate::{Crash, CrashEvidence, RunId, StepId, TaskId, WorkerId, WorkerState, WorkflowId},
    egretlb_types::Time,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
        time::Duration,
    },
};

/// A run is in its crash window until it is known to have run this long: if its worker is lost before, the run may
/// have crashed it.
pub(super) const CRASH_WINDOW: Duration = Duration::from_millis(500);

/// The crashes counted for a task are cleared once one of its runs has lasted this long.
pub(super) const CRASHES_CLEARED_AFTER: Duration = Duration::from_secs(10);

/// Crashes counted for the loss of an unresponsive worker are remembered for at least this long, to be cleared if it
/// replies again.
const RETURN_WINDOW: Duration = Duration::from_secs(60);

/// After this long without a reply from a worker, or once its address refuses a connection, the runs in their crash window
/// there are announced, since it may have crashed. Such a worker is polled every 250 ms.
const ANNOUNCE_AFTER: Duration = Duration::from_millis(500);

/// Interval between checks whether the racks of unresponsive workers are lost; each check scans all workers.
const RACK_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum burst of log lines on lost runs: the runs of a rack of eight workers.
const LOG_BURST_LINES: u32 = 200;

/// Sustained rate of log lines on lost runs, about 4 KB each second.
const LOG_LINES_PER_SECOND: u32 = 20;

/// Why a worker counts as lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WorkerLoss {
    /// It ended after draining, or its VM was taken down for maintenance.
    Left,
    /// Another incarnation answers at its address.
    Replaced,
    /// It was unresponsive until the leases of its runs lapsed; it may only be partitioned.
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

/// Why a worker counts as having left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LeaveCause {
    /// It was draining, its directory entry is gone, its address refuses connections, and its leases
    /// have lapsed.
    Refused,
    /// Its VM was taken down for maintenance.
    Maintenance,
}

impl fmt::Display for LeaveCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LeaveCause::Refused => "refused",
            LeaveCause::Maintenance => "upkeep",
        })
    }
}

/// State kept about lost workers and their runs.
#[derive(Debug)]
pub(super) struct LostWorkers {
    log_budget: LineBudget,
    /// Crashes counted for the loss of an unresponsive worker, with the time of the loss. They are cleared if it
    /// replies again.
    clearable_crashes: BTreeMap<WorkerId, (Time, Vec<(TaskId, RunId)>)>,
    pub(super) recent: RecentLosses,
    /// When it was last checked whether the racks of unresponsive workers are lost.
    racks_checked_at: Time,
    /// Workflows with a crash, or a run announced for an isolated start, that is neither in the store nor part of the
    /// append under way.
    unrecorded_crash_state: BTreeSet<WorkflowId>,
}

impl Default for LostWorkers {
    fn default() -> LostWorkers {
        LostWorkers {
            log_budget: LineBudget::new("lost_runs", LOG_BURST_LINES, LOG_LINES_PER_SECOND),
            clearable_crashes: BTreeMap::new(),
            recent: RecentLosses::default(),
            racks_checked_at: Time::ZERO,
            unrecorded_crash_state: BTreeSet::new(),
        }
    }
}

impl LostWorkers {
    pub(super) fn log_suppressed_lines(&mut self, now: Time) {
        self.log_budget.log_suppressed(now);
    }

    /// Whether it is time to check again whether the racks of unresponsive workers are lost.
    fn is_rack_check_due(&mut self, now: Time) -> bool {
        let is_due = now.since(self.racks_checked_at) >= RACK_CHECK_INTERVAL;
        if is_due {
            self.racks_checked_at = now;
        }
        is_due
    }

    /// Whether the log budget allows another line.
    pub(super) fn may_log(&mut self, now: Time) -> bool {
        self.log_budget.take(now, 0)
    }

    /// Marks a workflow's crashes and announced runs as part of an append; returns whether any were unrecorded.
    pub(super) fn take_unrecorded_crash_state(&mut self, id: WorkflowId) -> bool {
        self.unrecorded_crash_state.remove(&id)
    }

    pub(super) fn note_unrecorded_crash_state(&mut self, id: WorkflowId) {
        self.unrecorded_crash_state.insert(id);
    }

    pub(super) fn has_unrecorded_crash_state(&self, id: WorkflowId) -> bool {
        self.unrecorded_crash_state.contains(&id)
    }
}

/// A run lost with its worker.
struct LostRun {
    task: TaskId,
    run: RunId,
    /// Known running time; none if it may never have started.
    ran_for: Option<Duration>,
    /// The worker has listed it.
    listed: bool,
    evidence: Option<CrashEvidence>,
}

impl Attempt {
    /// Whether it has certainly started: the worker has confirmed it to this leader, or to a previous one that recorded
    /// that the worker stopped replying.
    fn has_started(&self) -> bool {
        self.confirmed || self.inherited_evidence >= Some(CrashEvidence::Shared)
    }
}

impl Worker {
    /// Time since its last reply, in milliseconds; 0 if it has never replied.
    pub(super) fn silent_ms(&self, now: Time) -> u64 {
        self.last_contact.map_or(0, |at| now.since(at).as_millis() as u64)
    }

    /// Time until all runs there must have lapsed, in milliseconds.
    pub(super) fn lease_left_ms(&self, now: Time) -> u64 {
        self.lease_bound().since(now).as_millis() as u64
    }

    /// Known running time of an attempt; none if it may never have started.
    fn ran_for(&self, attempt: &Attempt) -> Option<Duration> {
        let last_contact = self.last_contact.unwrap_or(attempt.running_since);
        attempt
            .confirmed
            .then(|| last_contact.max(attempt.running_since).since(attempt.running_since))
    }

    /// Whether an attempt started so recently that it would be suspected if the worker crashed now. For one inherited
    /// from a previous leader, that leader's record decides until the worker lists the run.
    fn is_in_crash_window(&self, attempt: &Attempt) -> bool {
        let inherited = attempt.start_deadline_ms.is_none();
        match self.ran_for(attempt) {
            _ if inherited => attempt.inherited_evidence.is_some() && !attempt.confirmed,
            ran_for => ran_for.is_none_or(|ran_for| ran_for < CRASH_WINDOW),
        }
    }

    /// The attempts in their crash window that have certainly started.
    pub(super) fn runs_in_crash_window(&self) -> impl Iterator<Item = (TaskId, RunId)> {
        let in_crash_window =
            |attempt: &Attempt| self.is_in_crash_window(attempt) && attempt.has_started();
        self.attempts
            .iter()
            .filter(move |(_, attempt)| in_crash_window(attempt))
            .map(|(key, _)| *key)
    }

    /// How strongly the loss of this worker suggests that an attempt crashed it; none if it isn't counted as a crash.
    /// A crash in the attempt's crash window is at most `strongest`.
    fn crash_evidence(
        &self,
        attempt: &Attempt,
        loss: WorkerLoss,
        strongest: CrashEvidence,
    ) -> Option<CrashEvidence> {
        let draining = self.info.state == WorkerState::Draining;
        if !self.is_in_crash_window(attempt) {
            let inherited = attempt.start_deadline_ms.is_none();
            let long_enough =
                self.ran_for(attempt).is_some_and(|ran_for| ran_for >= CRASHES_CLEARED_AFTER);
            return (!inherited && !long_enough && !draining).then_some(CrashEvidence::Late);
        }
        Some(match loss {
            // A draining worker gets no starts and exits after some seconds, so its loss may not be a crash.
            _ if draining => CrashEvidence::Unsure,
            WorkerLoss::Replaced if attempt.has_started() => strongest,
            _ => CrashEvidence::Unsure,
        })
    }

    /// Whether a previous leader may have started an attempt so recently that it would be in its crash window. Such an
    /// attempt isn't suspected, since most inherited ones were started long before.
    fn may_have_just_started(&self, attempt: &Attempt) -> bool {
        let inherited = attempt.start_deadline_ms.is_none();
        inherited && self.ran_for(attempt).is_none_or(|ran_for| ran_for < CRASH_WINDOW)
    }

    /// Whether no attempt here is in its crash window.
    pub(super) fn all_past_crash_window(&self) -> bool {
        !self.attempts.values().any(|attempt| self.is_in_crash_window(attempt))
    }

    /// Whether no attempt here may be in its crash window.
    pub(super) fn all_certainly_past_crash_window(&self) -> bool {
        let maybe = |attempt: &Attempt| self.may_have_just_started(attempt);
        self.all_past_crash_window() && !self.attempts.values().any(maybe)
    }
}

impl Scheduler {
    /// Drops the attempts on a lost worker, counts crashes of their tasks, logs them and requeues the tasks.
    pub(super) fn requeue_lost_runs(&mut self, now: Time, id: &WorkerId, loss: WorkerLoss) {
        self.lose_runs(now, id, loss, None);
    }

    /// Like [`Self::requeue_lost_runs`]. Attempts that a later incarnation of the worker may have executed stay attempts
    /// at that one.
    pub(super) fn lose_runs(
        &mut self,
        now: Time,
        id: &WorkerId,
        loss: WorkerLoss,
        later: Option<&WorkerId>,
    ) {
        let runs = self.lost_runs(now, id, loss);
        let lease_left_ms = self.workers.get(id).map_or(0, |worker| worker.lease_left_ms(now));
        self.note_loss(now, id, loss);
        let beside = runs.len().saturating_sub(1);
        for LostRun { task, run, ran_for, listed, evidence } in runs {
            self.stats.lost += 1;
            let crashes = evidence.map_or(0, |evidence| {
                self.add_crash(task, Crash { run, worker: id.clone(), evidence })
            });
            if evidence.is_some() && loss == WorkerLoss::Lapsed {
                self.note_clearable_crash(now, id, task, run);
            }
            if self.lost_workers.may_log(now) {
                let in_doubt = ran_for.is_none();
                let worked_ms = ran_for.unwrap_or_default().as_millis() as u64;
                let evidence = evidence.map_or_else(|| "-".to_owned(), |e| e.to_string());
                log::info!(
                    task:%, run:%, worker:% = id, loss:%, in_doubt, worked_ms, beside, lease_left_ms,
                    evidence:%, crashes;
                    "run_lost"
                );
            }
            match later.filter(|_| !listed) {
                Some(later) => self.transfer_attempt(now, id, later, (task, run)),
                None => self.drop_attempt(now, id, task, run),
            }
        }
    }

    /// The runs of a lost worker, with the evidence that they crashed it; an expected loss is no evidence.
    fn lost_runs(&self, now: Time, id: &WorkerId, loss: WorkerLoss) -> Vec<LostRun> {
        let Some(worker) = self.workers.get(id) else { return Vec::new() };
        let expected = loss == WorkerLoss::Left || self.is_in_maintenance(id);
        let strongest = self.strongest_evidence(now, id, worker, loss);
        // An isolated start that crashed the worker explains the loss of all other runs there.
        let explained = strongest == CrashEvidence::Alone
            && worker.attempts.values().any(|a| a.isolated && worker.is_in_crash_window(a));
        let min_evidence = if explained { CrashEvidence::Unsure } else { CrashEvidence::Late };
        let counts = |evidence: &CrashEvidence| !expected && *evidence >= min_evidence;
        let lost = |((task, run), attempt): (&(TaskId, RunId), &Attempt)| {
            let evidence = worker.crash_evidence(attempt, loss, strongest).filter(counts);
            let (ran_for, listed) = (worker.ran_for(attempt), attempt.listed);
            LostRun { task: *task, run: *run, ran_for, listed, evidence }
        };
        worker.attempts.iter().map(lost).collect()
    }

    /// The strongest evidence that the loss of a worker can be against a run in its crash window there.
    fn strongest_evidence(
        &self,
        now: Time,
        id: &WorkerId,
        worker: &Worker,
        loss: WorkerLoss,
    ) -> CrashEvidence {
        // After its leases have lapsed, a worker may be lost long after it was cut off.
        let lapsed = loss == WorkerLoss::Lapsed || now >= worker.lease_bound();
        if lapsed || worker.all_past_crash_window() {
            return CrashEvidence::Unsure;
        }
        match self.common_cause(now, id, worker) {
            CommonCause::RackLost => CrashEvidence::Unsure,
            CommonCause::Unlikely if self.is_only_suspect(worker) => CrashEvidence::Alone,
            CommonCause::Unlikely | CommonCause::Possible => CrashEvidence::Shared,
        }
    }

    /// Whether only one task may have crashed a worker.
    fn is_only_suspect(&self, worker: &Worker) -> bool {
        let just_started = |attempt: &Attempt| worker.may_have_just_started(attempt);
        self.groups_in_crash_window(worker) == 1 && !worker.attempts.values().any(just_started)
    }

    /// Number of tasks in their crash window on a worker. Members of a gang count as one, since they start and stop
    /// together.
    fn groups_in_crash_window(&self, worker: &Worker) -> usize {
        let in_crash_window =
            worker.attempts.iter().filter(|(_, attempt)| worker.is_in_crash_window(attempt));
        let is_gang = |task: TaskId| self.step(task).is_some_and(|step| step.gang);
        let groups: BTreeSet<(StepId, Option<u32>)> = in_crash_window
            .map(|((task, _), _)| (task.step_id(), (!is_gang(*task)).then_some(task.index)))
            .collect();
        groups.len()
    }

    /// Announces the runs in their crash window on unresponsive workers: they are recorded, so that a crash is counted
    /// even if the leader changes before the loss of the worker is certain.
    pub(super) fn announce_runs_on_unresponsive(&mut self, now: Time) {
        let has_not_replied = |worker: &Worker| {
            let silent_for = worker.last_contact.map_or(Duration::ZERO, |at| now.since(at));
            worker.connection_refused || silent_for >= ANNOUNCE_AFTER
        };
        let unresponsive = self.workers.iter().filter(|(_, worker)| has_not_replied(worker));
        let runs: Vec<(WorkerId, TaskId, RunId)> = unresponsive
            .flat_map(|(id, worker)| {
                worker.runs_in_crash_window().map(|(task, run)| (id.clone(), task, run))
            })
            .collect();
        let checks_racks = self.lost_workers.is_rack_check_due(now);
        for (worker, task, run) in runs {
            let rack_lost = checks_racks && self.is_gone_with_rack(now, &worker);
            let evidence = if rack_lost { CrashEvidence::Unsure } else { CrashEvidence::Shared };
            let Some(state) = self.task_mut(task) else { continue };
            // The loss of a rack stays recorded when it is up again.
            let is_recorded = |announced: &Announcement| {
                let recorded = announced.evidence.is_some_and(|recorded| recorded <= evidence);
                announced.run > run || (announced.run == run && recorded)
            };
            if !state.announced.as_ref().is_some_and(is_recorded) {
                state.announced = Some(Announcement { run, worker, evidence: Some(evidence) });
                self.dirty.insert(task.workflow);
            }
        }
    }

    /// Whether a worker is certainly gone, together with its rack.
    fn is_gone_with_rack(&self, now: Time, id: &WorkerId) -> bool {
        let gone = self.workers.get(id).filter(|worker| worker.missed_polls.is_gone());
        gone.is_some_and(|worker| self.common_cause(now, id, worker) == CommonCause::RackLost)
    }

    /// Adds a crash to a task's history, once per run; returns the number of crashes, or 0 if the task is done.
    pub(super) fn add_crash(&mut self, task: TaskId, crash: Crash) -> usize {
        let Some(state) = self.task_mut(task).filter(|state| !state.done) else { return 0 };
        state.announced.take_if(|announced| announced.run == crash.run);
        if state.crashes.iter().all(|counted| counted.run != crash.run) {
            state.crashes.push(crash);
        }
        let crashes = state.crashes.len();
        self.dirty.insert(task.workflow);
        self.lost_workers.note_unrecorded_crash_state(task.workflow);
        crashes
    }

    /// Remembers a counted crash that is cleared if the unresponsive worker replies again.
    fn note_clearable_crash(&mut self, now: Time, id: &WorkerId, task: TaskId, run: RunId) {
        self.lost_workers.clearable_crashes.retain(|_, (at, _)| now.since(*at) < RETURN_WINDOW);
        let (_, runs) =
            self.lost_workers.clearable_crashes.entry(id.clone()).or_insert((now, Vec::new()));
        runs.push((task, run));
    }

    /// Clears the crashes counted for the loss of a worker that has replied after all.
    pub(super) fn clear_crashes_of_worker(&mut self, id: &WorkerId) {
        let Some((_, runs)) = self.lost_workers.clearable_crashes.remove(id) else { return };
        for (task, run) in runs {
            self.clear_crash_of_run(task, run);
        }
    }

    /// Clears the crash and the announcement of a run that the worker lists as running or ended.
    pub(super) fn clear_crash_of_run(&mut self, task: TaskId, run: RunId) {
        let Some(state) = self.task_mut(task) else { return };
        let crashes = state.crashes.len();
        state.crashes.retain(|crash| crash.run != run);
        let announced = state.announced.take_if(|announced| announced.run == run);
        if state.crashes.len() != crashes || announced.is_some() {
            self.dirty.insert(task.workflow);
        }
    }

    /// Weakens the shared crashes of a task that survived an isolated start: another task is the more likely cause.
    pub(super) fn weaken_shared_crashes(&mut self, task: TaskId) {
        let Some(state) = self.task_mut(task) else { return };
        for crash in &mut state.crashes {
            if crash.evidence == CrashEvidence::Shared {
                crash.evidence = CrashEvidence::Late;
            }
        }
        self.dirty.insert(task.workflow);
    }

    /// Clears a task's crashes and announcement after one of its runs has lasted [`CRASHES_CLEARED_AFTER`] or failed.
    pub(super) fn clear_crashes_of_task(&mut self, task: TaskId) {
        let Some(state) = self.task_mut(task) else { return };
        let crashes = std::mem::take(&mut state.crashes).len();
        let announced = state.announced.take();
        if crashes > 0 || announced.is_some() {
            self.dirty.insert(task.workflow);
        }
        if crashes > 0 {
            log::info!(task:%, crashes; "task_cleared");
        }
    }
}
