//! Isolated starts of suspected tasks: those that may crash their workers.
//!
//! A suspected task is started on a worker without other attempts in their crash window, and nothing else is started
//! there until its own window is over. So the next crash shows whether it is the cause, and affects few other tasks.

use {
    super::{
        Attempt, QueuedStep, Requirements, Scheduler, Worker,
        active_workflow::{Announcement, TaskState},
        lost_workers::CRASH_WINDOW,
        placement::meets_requirements,
    },
    crate::{Crash, CrashEvidence, RunId, TaskId, WorkerId, crash::is_given_up},
    compact_str::CompactString,
    egretlb_types::Time,
    std::time::Duration,
};

/// Number of workers of a service per worker reserved at a time, so that most stay open to other tasks.
const WORKERS_PER_RESERVATION: usize = 4;

/// How long a worker is reserved before an isolated start: runs there outlast [`CRASH_WINDOW`], and two polls confirm
/// it.
const RESERVATION_SPAN: Duration = Duration::from_secs(1);

/// How long after its last run a task that is to be given up for a crash shared with other suspects waits for their
/// isolated starts: the loss of a worker takes up to 6 s to notice.
const MAX_DECISION_DELAY: Duration = Duration::from_secs(10);

/// A reserved worker, polled every 250 ms, has probably crashed after this long without a reply.
const PROBABLY_CRASHED_AFTER: Duration = Duration::from_secs(1);

/// The worker for the isolated start of a suspected task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum IsolatedStart {
    /// The task may start on this worker now.
    Now(WorkerId),
    /// The task has to wait: no worker is ready for an isolated start yet, or this tick doesn't search for one.
    Later,
    /// No worker can take the task, and no responsive one is reserved.
    NoCapacity,
}

/// State of the decision on a task that is to be given up for a crash shared with others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Dispute {
    /// Others that share the crash are still to be started in isolation.
    Open,
    /// Others that share the crash are to be given up for it, too.
    Rivals,
    /// The task is the only remaining suspect, or the others took too long.
    Decided,
}

/// State of the crash window of a listed run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CrashWindow {
    Open,
    Over,
    /// It has just ended, after an isolated start.
    SurvivedIsolated,
}

/// Cost of an isolated start on a worker: waiting for other attempts, then the impact of a crash.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct IsolationCost {
    any_in_crash_window: bool,
    long_running: usize,
    runs: usize,
}

impl Worker {
    /// Whether it is reserved for an isolated start, or one is under way.
    pub(super) fn is_reserved(&self, now: Time) -> bool {
        self.isolated_starts > 0 || now < self.reserved_until
    }

    /// Ends the isolation of a listed run whose crash window is over.
    pub(super) fn pass_crash_window(&mut self, now: Time, task: TaskId, run: RunId) -> CrashWindow {
        let Some(attempt) = self.attempts.get_mut(&(task, run)) else { return CrashWindow::Open };
        if now.since(attempt.running_since) < CRASH_WINDOW {
            return CrashWindow::Open;
        }
        if !std::mem::take(&mut attempt.isolated) {
            return CrashWindow::Over;
        }
        self.isolated_starts -= 1;
        CrashWindow::SurvivedIsolated
    }

    fn isolation_cost(&self) -> IsolationCost {
        let long_running = self.attempts.values().filter(|attempt| attempt.long_running).count();
        IsolationCost {
            any_in_crash_window: !self.all_certainly_past_crash_window(),
            long_running,
            runs: self.attempts.len(),
        }
    }
}

impl Attempt {
    /// Sets whether the attempt is an isolated start.
    pub(super) fn with_isolation(mut self, isolated: bool) -> Attempt {
        self.isolated = isolated;
        self
    }
}

impl Scheduler {
    /// Whether a task is started in isolation. Members of a gang aren't, since they start together.
    pub(super) fn is_suspect(&self, task: TaskId) -> bool {
        self.task(task).is_some_and(TaskState::is_suspect)
            && !self.step(task).is_some_and(|step| step.gang)
    }

    /// Chooses the worker for a suspected task. First announces the run, so that a crash is counted even if the leader
    /// changes; the task may start once the announcement is recorded.
    pub(super) fn choose_isolated(
        &mut self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        requirements: &Requirements<'_>,
    ) -> IsolatedStart {
        if !self.isolated_starts_due {
            return IsolatedStart::Later;
        }
        if self.task(task).is_some_and(|state| is_given_up(&state.crashes)) {
            match self.dispute(now, task) {
                Dispute::Open => return IsolatedStart::Later,
                // At most one of them is the cause, which its next isolated start shows.
                Dispute::Rivals => {}
                Dispute::Decided => {
                    self.exhausted.insert(task.workflow);
                    return IsolatedStart::Later;
                }
            }
        }
        match self.announced_start(now, task, service, requirements) {
            Some(start) => start,
            None => self.announce_start(now, task, service, requirements),
        }
    }

    /// Whether another suspect may have caused the shared crash that decides on a task: if that one is given up, the crash
    /// is cleared from this task.
    fn dispute(&self, now: Time, task: TaskId) -> Dispute {
        let Some(active) = self.workflows.get(&task.workflow) else { return Dispute::Decided };
        let Some(state) = self.task(task) else { return Dispute::Decided };
        let Some(worker) = state.disputed_worker(active.submission.max_attempts) else {
            return Dispute::Decided;
        };
        let is_shared =
            |crash: &Crash| crash.evidence == CrashEvidence::Shared && crash.worker == *worker;
        let occurrences = self.workflows.values().flat_map(|active| active.occurrences.values());
        let steps = occurrences.flat_map(|occurrence| &occurrence.steps);
        let (mut undecided, mut given_up) = (0, 0);
        for other in steps.flat_map(|step| &step.tasks) {
            if other.done || !other.crashes.iter().any(is_shared) {
                continue;
            }
            *(if is_given_up(&other.crashes) { &mut given_up } else { &mut undecided }) += 1;
        }
        let overdue =
            self.down_since(task).is_none_or(|since| now.since(since) >= MAX_DECISION_DELAY);
        // The task itself is one of those.
        if given_up > 1 {
            Dispute::Rivals
        } else if undecided > 0 && !overdue {
            Dispute::Open
        } else {
            Dispute::Decided
        }
    }

    /// Whether the announced run may start now; none if there is none or its worker doesn't qualify any more.
    fn announced_start(
        &mut self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        requirements: &Requirements<'_>,
    ) -> Option<IsolatedStart> {
        let state = self.task(task)?;
        state.announced_run()?;
        let id = state.announced.as_ref()?.worker.clone();
        let worker = self.workers.get(&id)?;
        if !self.can_take_suspect(now, &id, worker, task, service, requirements) {
            return None;
        }
        let past_crash_window = worker.all_certainly_past_crash_window();
        if !self.is_recorded(task) {
            self.reserve_worker(now, &id);
            return Some(IsolatedStart::Later);
        }
        match (past_crash_window, now < worker.reserved_until) {
            (true, _) => Some(IsolatedStart::Now(id)),
            (false, true) => Some(IsolatedStart::Later),
            (false, false) => None,
        }
    }

    /// Whether all crashes of a task and its announced run are in the store.
    fn is_recorded(&self, task: TaskId) -> bool {
        let append = self.pending_append.as_ref();
        !self.lost_workers.has_unrecorded_crash_state(task.workflow)
            && !append.is_some_and(|append| append.has_crashes_of(task.workflow))
    }

    fn reserve_worker(&mut self, now: Time, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.reserved_until = now + RESERVATION_SPAN;
        }
        if !self.reserved.contains(id) {
            self.reserved.push(id.clone());
        }
    }

    /// Reserves the worker with the lowest cost and announces the run, to be recorded before it starts.
    fn announce_start(
        &mut self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        requirements: &Requirements<'_>,
    ) -> IsolatedStart {
        let (mut eligible_workers, mut reserved_workers) = (0_usize, 0_usize);
        let mut best: Option<(IsolationCost, &WorkerId)> = None;
        let of_service = |(_, worker): &(&WorkerId, &Worker)| worker.info.service == *service;
        for (id, worker) in self.workers.iter().filter(of_service) {
            eligible_workers += usize::from(worker.is_eligible(now, &self.limits));
            // A reserved worker that has probably crashed doesn't count against the limit.
            let responsive =
                worker.last_contact.is_some_and(|at| now.since(at) < PROBABLY_CRASHED_AFTER);
            reserved_workers += usize::from(worker.is_reserved(now) && responsive);
            if worker.is_reserved(now)
                || !self.can_take_suspect(now, id, worker, task, service, requirements)
            {
                continue;
            }
            let isolation_cost = worker.isolation_cost();
            if best.is_none_or(|(lowest_cost, _)| isolation_cost < lowest_cost) {
                best = Some((isolation_cost, id));
            }
        }
        self.stats.workers_scanned += eligible_workers as u64;
        let Some(id) = best.map(|(_, id)| id.clone()) else {
            return if reserved_workers > 0 {
                IsolatedStart::Later
            } else {
                IsolatedStart::NoCapacity
            };
        };
        let down_too_long = requirements.step.long_running && self.is_down_too_long(now, task);
        if reserved_workers >= (eligible_workers / WORKERS_PER_RESERVATION).max(1) && !down_too_long
        {
            return IsolatedStart::Later;
        }
        self.reserve_worker(now, &id);
        let run = self.next_run(task);
        if self.lost_workers.may_log(now) {
            let crashes = self.task(task).map_or(0, |state| state.crashes.len());
            log::info!(task:%, run:%, worker:% = id, crashes; "start_announced");
        }
        if let Some(state) = self.task_mut(task) {
            state.announced = Some(Announcement { run, worker: id, evidence: None });
        }
        self.dirty.insert(task.workflow);
        self.lost_workers.note_unrecorded_crash_state(task.workflow);
        IsolatedStart::Later
    }

    /// Moves the first task that isn't suspected to the front of the queue, so that suspected tasks don't block the
    /// others of the step. Returns whether there is one.
    pub(super) fn move_unsuspected_to_front(&mut self, key: QueuedStep) -> bool {
        let waiting: Vec<u32> = self.queue_of(key).into_iter().flatten().map(|i| *i).collect();
        let position = waiting.iter().position(|index| !self.is_suspect(key.task(*index)));
        let Some(position) = position else { return false };
        if let Some(queue) = self.queue_of(key) {
            queue.swap(0, position);
        }
        true
    }

    /// Whether a worker can take a suspected task, regardless of other attempts in their crash window.
    fn can_take_suspect(
        &self,
        now: Time,
        id: &WorkerId,
        worker: &Worker,
        task: TaskId,
        service: &CompactString,
        requirements: &Requirements<'_>,
    ) -> bool {
        meets_requirements(worker, task, requirements)
            && worker.is_eligible(now, &self.limits)
            && worker.isolated_starts == 0
            && now >= worker.excluded_until()
            && now >= worker.held_until
            && !worker.is_backing_off(now)
            && self.is_allowed(now, task, id)
            && self.eligible_fitness(now, (id, worker), task, service, requirements).is_some()
    }
}
