//! Starts and stops, and what became of them.

use {
    super::{
        Attempt, Effect, Phase, Scheduler, Worker,
        lost_workers::WorkerLoss,
        waits::{Stop, StopReason},
    },
    crate::{RunId, TaskId, WorkerId},
    egretlb_types::Time,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// What became of a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum StartResult {
    /// It runs.
    Started {
        /// The worker's clock in milliseconds.
        clock_ms: u64,
    },
    /// Not run: the worker obeys a higher epoch.
    Outranked,
    /// Not run: the run's number isn't higher than one that ended or was stopped there.
    OldRun,
    /// Not run: it arrived after its lease had ended.
    Late,
    /// Not run: the worker has no room for it.
    NoRoom,
    /// Not run: its ticket isn't valid.
    BadTicket,
    /// Not run: the worker is unwell or overloaded.
    Unwell,
    /// Not run: the worker can't read it.
    Invalid,
    /// Not run: another incarnation answers at this address.
    OtherIncarnation,
    /// Not run: nothing was sent.
    NotSent,
    /// Not run: it wasn't wanted any more when its turn came.
    Withheld,
    /// It may run, now or later.
    Unknown,
}

/// What became of a stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum StopResult {
    /// It ends soon, or will never begin.
    Confirmed {
        /// The worker's clock in milliseconds.
        clock_ms: u64,
    },
    /// The worker obeys a higher epoch.
    Outranked,
    /// Another incarnation answers at this address.
    OtherIncarnation,
    /// It may have had no effect.
    Unknown,
}

/// A worker that says it has no room, although it should have, gets nothing for so long: time for a
/// stopped task to go (400 ms) and for its list to show what else it holds.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(500);

/// An unwell worker gets nothing for so long.
const UNWELL_PAUSE: Duration = Duration::from_secs(1);

/// A worker that left a start unanswered is tried with another one after this long, and with one at a time
/// until it answers. Orders wait at a worker for the unanswered ones before them, half a second each; were
/// more decided for it meanwhile, all starts under way would soon wait there, and workers that are well would
/// stand idle (no start in 3 s with 4 mute workers beside 24 others).
const DOUBT_PAUSE: Duration = Duration::from_secs(1);

/// A stop that isn't confirmed is sent again after this.
const STOP_AGAIN: Duration = Duration::from_millis(700);

impl Worker {
    /// Whether it gets no start since it has left one unanswered.
    pub(super) fn is_backing_off(&self, now: Time) -> bool {
        let tried = || self.attempts.values().any(|copy| copy.phase == Phase::Starting);
        self.unconfirmed_start.is_some_and(|since| now.since(since) < DOUBT_PAUSE || tried())
    }

    /// Whether a start was decided before the worker left another one unanswered.
    fn is_outdated(&self, copy: &Attempt) -> bool {
        self.unconfirmed_start.is_some_and(|since| copy.placed_at <= since)
    }
}

impl Scheduler {
    /// Whether a start that was decided is still wanted. It is asked right before the start is sent:
    /// while it waited for its turn, its workflow may have been cancelled, another copy of its task may be
    /// done, or the worker may have stopped answering.
    pub fn wants_start(&self, now: Time, id: &WorkerId, task: TaskId, run: RunId) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        let Some(copy) = worker.attempts.get(&(task, run)) else { return false };
        // A gang without one of its members does nothing, so all of them are tried.
        let gang = self.step(task).is_some_and(|step| step.gang);
        let goes_elsewhere = worker.is_outdated(copy) && !gang;
        let timely = !copy.is_restart || self.may_restart(now);
        !self.lagging && copy.phase == Phase::Starting && !goes_elsewhere && timely
    }

    /// Whether a task may be started that was started before.
    ///
    /// A leader that has been paused, or cut from the store, may have a successor while its own authority
    /// lasts. The successor renews runs that this leader takes for lapsed, and notes ends that it hasn't
    /// heard of; started again at a worker that the successor hasn't reached yet, such tasks would run twice.
    /// Nobody takes over before [`crate::Limits::takeover_after`] has passed since the last sign of life.
    pub(super) fn may_restart(&self, now: Time) -> bool {
        self.last_acked_append.is_some_and(|sent| now < sent + self.limits.takeover_after)
    }

    /// Whether more starts may be decided now.
    pub(super) fn may_start(&self) -> bool {
        !self.lagging && self.start_window.is_open()
    }

    /// Tells whether the records are read too late to start anything: what was cancelled since isn't
    /// known.
    pub fn set_lagging(&mut self, behind: bool) {
        if std::mem::replace(&mut self.lagging, behind) != behind {
            log::warn!(behind; "records_read_late");
        }
    }

    /// What became of a start. Each start is answered once.
    pub fn on_start(
        &mut self,
        now: Time,
        id: &WorkerId,
        task: TaskId,
        run: RunId,
        result: StartResult,
        out: &mut Vec<Effect>,
    ) {
        let answered =
            !matches!(result, StartResult::Unknown | StartResult::NotSent | StartResult::Withheld);
        self.start_window.on_settled(now, answered);
        self.contacts.note(id);
        if answered {
            self.on_answered(id);
        }
        match result {
            StartResult::Started { clock_ms } => self.on_started(now, id, task, run, clock_ms),
            StartResult::Outranked => out.push(Effect::Outranked),
            StartResult::OtherIncarnation => {
                self.drop_attempt(now, id, task, run);
                self.on_other_incarnation(now, id);
            }
            StartResult::Unknown => self.on_start_unknown(now, id, task, run),
            StartResult::NoRoom => self.reject_start(now, id, task, run, NO_ROOM_PAUSE),
            StartResult::Unwell | StartResult::NotSent => {
                self.reject_start(now, id, task, run, UNWELL_PAUSE);
            }
            StartResult::BadTicket => {
                log::info!(task:%, run:%, worker:% = id; "ticket_rejected");
                self.remove_ticket(task, id);
                self.drop_attempt(now, id, task, run);
            }
            StartResult::Withheld => self.drop_attempt(now, id, task, run),
            StartResult::OldRun | StartResult::Late | StartResult::Invalid => {
                log::warn!(task:%, run:%, worker:% = id, result:?; "start_rejected");
                self.reject_start(now, id, task, run, Duration::ZERO);
            }
        }
    }

    fn on_started(&mut self, now: Time, id: &WorkerId, task: TaskId, run: RunId, clock_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.note_contact(now, clock_ms);
        if let Some(copy) = worker.attempts.get_mut(&(task, run))
            && matches!(copy.phase, Phase::Starting | Phase::Unconfirmed { .. })
        {
            copy.set_running(now, clock_ms);
        }
    }

    /// The worker has answered an order.
    fn on_answered(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unconfirmed_start = None;
        }
    }

    fn on_start_unknown(&mut self, now: Time, id: &WorkerId, task: TaskId, run: RunId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.next_poll_at = now;
        worker.unconfirmed_start = Some(now);
        if let Some(copy) = worker.attempts.get_mut(&(task, run))
            && copy.phase == Phase::Starting
        {
            copy.phase = Phase::Unconfirmed { since: now };
            log::info!(task:%, run:%, worker:% = id; "start_in_doubt");
        }
    }

    fn reject_start(&mut self, now: Time, id: &WorkerId, task: TaskId, run: RunId, bar: Duration) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.backoff_until = worker.backoff_until.max(now + bar);
        }
        self.drop_attempt(now, id, task, run);
    }

    /// Stops the runs at a worker that `chosen` picks, and keeps why for whoever misses them.
    pub(super) fn stop_runs(
        &mut self,
        now: Time,
        id: &WorkerId,
        reason: StopReason,
        out: &mut Vec<Effect>,
        chosen: impl Fn(TaskId, RunId) -> bool,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let addr = worker.info.addr;
        worker.next_poll_at = worker.next_poll_at.min(now + self.limits.poll_gap);
        for ((task, run), copy) in &mut worker.attempts {
            if !chosen(*task, *run) {
                continue;
            }
            copy.phase = Phase::Stopping { sent: now, confirmed_ms: None };
            copy.stop.get_or_insert(Stop { reason, since: now });
            out.push(Effect::Stop {
                worker: id.clone(),
                addr,
                epoch: self.epoch,
                task: *task,
                run: *run,
            });
        }
    }

    /// What became of a stop.
    pub fn on_stop(
        &mut self,
        now: Time,
        id: &WorkerId,
        task: TaskId,
        run: RunId,
        result: StopResult,
        out: &mut Vec<Effect>,
    ) {
        match result {
            StopResult::Confirmed { clock_ms } => {
                self.on_answered(id);
                let Some(worker) = self.workers.get_mut(id) else { return };
                worker.note_contact(now, clock_ms);
                if let Some(copy) = worker.attempts.get_mut(&(task, run))
                    && let Phase::Stopping { confirmed_ms, .. } = &mut copy.phase
                {
                    *confirmed_ms = Some(clock_ms);
                }
            }
            StopResult::Outranked => out.push(Effect::Outranked),
            StopResult::OtherIncarnation => self.on_other_incarnation(now, id),
            StopResult::Unknown => {}
        }
    }

    /// Sends stops again that weren't confirmed.
    pub(super) fn resend_stops(&mut self, now: Time, out: &mut Vec<Effect>) {
        let epoch = self.epoch;
        for (id, worker) in &mut self.workers {
            let addr = worker.info.addr;
            for ((task, run), copy) in &mut worker.attempts {
                let Phase::Stopping { sent, confirmed_ms: None } = &mut copy.phase else {
                    continue;
                };
                if now.since(*sent) < STOP_AGAIN {
                    continue;
                }
                *sent = now;
                let worker = id.clone();
                out.push(Effect::Stop { worker, addr, epoch, task: *task, run: *run });
            }
        }
    }

    /// The worker has left: all that ran there has ended.
    pub(super) fn on_left(&mut self, now: Time, id: &WorkerId) {
        log::info!(worker:% = id; "worker_left");
        self.forget_worker(now, id, WorkerLoss::Left);
    }

    /// The address answers for another incarnation: all that ran under this one has ended.
    pub(super) fn on_other_incarnation(&mut self, now: Time, id: &WorkerId) {
        log::info!(worker:% = id; "worker_replaced");
        self.forget_worker(now, id, WorkerLoss::Replaced);
    }

    fn forget_worker(&mut self, now: Time, id: &WorkerId, loss: WorkerLoss) {
        self.requeue_lost_runs(now, id, loss);
        self.workers.remove(id);
        self.unreconciled.remove(id);
        self.roster_dirty = true;
    }
}
