//! Starts of tasks that are suspected of crashing workers.
//!
//! Such a task is started where nothing else has just begun, and nothing is started beside it until it has been at work for
//! a moment. So the next crash tells whether it was the cause, and takes along as little as possible.

use {
    super::{
        Attempt, Ready, Requirements, Scheduler, Worker, active_workflow::TaskState,
        lost_workers::PROBATION, placement::has_capacity,
    },
    crate::{AnnouncedRun, RunId, TaskId, WorkerId},
    compact_str::CompactString,
    egretlb_types::Time,
    std::time::Duration,
};

/// Of so many workers of a service one may be kept for a trial at a time: the others stay open to all other tasks.
const WORKERS_PER_TRIAL: usize = 4;

/// How long a worker is kept free of new starts before a trial. What has just begun there has been at work for
/// [`PROBATION`] by then, and two polls have told so.
const QUIET_SPAN: Duration = Duration::from_secs(1);

/// A worker on trial that is polled each quarter of a second, and unheard for so long, has probably crashed.
const UNHEARD: Duration = Duration::from_secs(1);

/// Where a suspected task is started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum IsolatedStart {
    /// At this worker.
    At(WorkerId),
    /// Workers have room, and none is free for a trial yet.
    Later,
    /// No worker has room.
    NoCapacity,
}

/// What speaks against a worker for a trial: that it has to wait for other runs there, and what a crash would take along.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Stakes {
    unsettled: bool,
    lasting: usize,
    runs: usize,
}

impl Worker {
    /// Whether it is kept for a trial, or one is under way.
    pub(super) fn is_reserved(&self, now: Time) -> bool {
        self.isolated_starts > 0 || now < self.reserved_until
    }

    /// Whether a run that is listed has been at work for long enough to clear it; its trial ends then.
    pub(super) fn pass_probation(&mut self, now: Time, task: TaskId, run: RunId) -> bool {
        let Some(copy) = self.attempts.get_mut(&(task, run)) else { return false };
        let proved = now.since(copy.running_since) >= PROBATION;
        if proved && std::mem::take(&mut copy.isolated) {
            self.isolated_starts -= 1;
        }
        proved
    }

    fn stakes(&self) -> Stakes {
        let lasting = self.attempts.values().filter(|copy| copy.long_running).count();
        Stakes { unsettled: !self.all_past_probation(), lasting, runs: self.attempts.len() }
    }
}

impl Attempt {
    /// The run is the first of a suspected task since a crash.
    pub(super) fn with_isolation(mut self, trial: bool) -> Attempt {
        self.isolated = trial;
        self
    }
}

impl Scheduler {
    /// Whether a task is started alone. Members of a gang aren't: they have to start together.
    pub(super) fn is_suspect(&self, task: TaskId) -> bool {
        self.task(task).is_some_and(TaskState::is_suspect)
            && !self.step(task).is_some_and(|step| step.gang)
    }

    /// Where a suspected task is started, once that is recorded.
    pub(super) fn choose_isolated(
        &mut self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        need: &Requirements<'_>,
    ) -> IsolatedStart {
        if !self.isolated_starts_due {
            return IsolatedStart::Later;
        }
        match self.announced_place(now, task, service, need) {
            Some(trial) => trial,
            None => self.announce(now, task, service, need),
        }
    }

    /// What has become of the place that was announced; none if there is none, or it won't do any more.
    fn announced_place(
        &mut self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        need: &Requirements<'_>,
    ) -> Option<IsolatedStart> {
        let state = self.task(task)?;
        state.announced_run()?;
        let id = state.announced.as_ref()?.worker.clone();
        let worker = self.workers.get(&id)?;
        if !self.takes_trial(now, &id, worker, task, service, need) {
            return None;
        }
        let settled = worker.all_past_probation();
        if !self.is_recorded(task) {
            self.keep_quiet(now, &id);
            return Some(IsolatedStart::Later);
        }
        match (settled, now < worker.reserved_until) {
            (true, _) => Some(IsolatedStart::At(id)),
            (false, true) => Some(IsolatedStart::Later),
            (false, false) => None,
        }
    }

    /// Whether all crashes under a task and its next run are in the store.
    fn is_recorded(&self, task: TaskId) -> bool {
        let under_way = self.pending_append.as_ref();
        !self.lost_workers.is_unrecorded(task.workflow)
            && !under_way.is_some_and(|recording| recording.has_crashes_of(task.workflow))
    }

    fn keep_quiet(&mut self, now: Time, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.reserved_until = now + QUIET_SPAN;
        }
        if !self.reserved.contains(id) {
            self.reserved.push(id.clone());
        }
    }

    /// Picks the worker with least at stake, keeps it free of other starts and has the run recorded.
    fn announce(
        &mut self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        need: &Requirements<'_>,
    ) -> IsolatedStart {
        let (mut fit, mut kept) = (0_usize, 0_usize);
        let mut best: Option<(Stakes, &WorkerId)> = None;
        let of_service = |(_, worker): &(&WorkerId, &Worker)| worker.info.service == *service;
        for (id, worker) in self.workers.iter().filter(of_service) {
            fit += usize::from(worker.is_eligible(now, &self.limits));
            // One that has just crashed is kept until it is found out, and others needn't wait for that.
            let heard = worker.last_contact.is_some_and(|at| now.since(at) < UNHEARD);
            kept += usize::from(worker.is_reserved(now) && heard);
            if worker.is_reserved(now) || !self.takes_trial(now, id, worker, task, service, need) {
                continue;
            }
            let stakes = worker.stakes();
            if best.is_none_or(|(known, _)| stakes < known) {
                best = Some((stakes, id));
            }
        }
        self.stats.workers_scanned += fit as u64;
        let Some(id) = best.map(|(_, id)| id.clone()) else {
            return if kept > 0 { IsolatedStart::Later } else { IsolatedStart::NoCapacity };
        };
        let missed = need.step.long_running && self.is_down_too_long(now, task);
        if kept >= (fit / WORKERS_PER_TRIAL).max(1) && !missed {
            return IsolatedStart::Later;
        }
        self.keep_quiet(now, &id);
        let run = self.next_run(task);
        if self.lost_workers.may_log(now) {
            let crashes = self.task(task).map_or(0, |state| state.crashes.len());
            log::info!(task:%, run:%, worker:% = id, crashes; "start_announced");
        }
        if let Some(state) = self.task_mut(task) {
            state.announced = Some(AnnouncedRun { run, worker: id });
        }
        self.dirty.insert(task.workflow);
        self.lost_workers.note_unrecorded(task.workflow);
        IsolatedStart::Later
    }

    /// Puts a task that isn't suspected before those that are; returns whether there was one. Otherwise one
    /// suspected task would hold up all others of its step.
    pub(super) fn pass_over_suspects(&mut self, key: Ready) -> bool {
        let waiting: Vec<u32> = self.queue_of(key).into_iter().flatten().map(|i| *i).collect();
        let place = waiting.iter().position(|index| !self.is_suspect(key.task(*index)));
        let Some(place) = place else { return false };
        if let Some(queue) = self.queue_of(key) {
            queue.swap(0, place);
        }
        true
    }

    /// Whether a worker has room for a suspected task, whatever else has just begun there.
    fn takes_trial(
        &self,
        now: Time,
        id: &WorkerId,
        worker: &Worker,
        task: TaskId,
        service: &CompactString,
        need: &Requirements<'_>,
    ) -> bool {
        has_capacity(worker, task, need)
            && worker.is_eligible(now, &self.limits)
            && worker.isolated_starts == 0
            && now >= worker.excluded_until()
            && !worker.is_backing_off(now)
            && self.is_allowed(now, task, id)
            && self.eligible_fitness(now, (id, worker), task, service, need).is_some()
    }
}
