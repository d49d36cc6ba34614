//! Start and stop commands and their results.

use {
    super::{
        Attempt, Effect, Phase, Scheduler, Worker,
        lost_workers::{LeaveCause, WorkerLoss},
        stop_grants::StopGrant,
        waits::{Stop, StopReason},
    },
    crate::{RunId, TaskId, WorkerId},
    egretlb_types::Time,
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::time::Duration,
};

/// Result of a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum StartResult {
    /// The task runs.
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
    /// Not run: the worker lacks free capacity.
    NoRoom,
    /// Not run: its ticket, which permits the worker to run the step, isn't valid.
    BadTicket,
    /// Not run: the worker is unhealthy or overloaded.
    Unwell,
    /// Not run: the worker can't decode it.
    Invalid,
    /// Not run: another incarnation answers at this address.
    OtherIncarnation,
    /// Not run: nothing was sent.
    NotSent,
    /// Not run: it wasn't sent, since it was no longer wanted by then; see
    /// [`Scheduler::wants_start`].
    Withheld,
    /// No answer: it may run, now or later.
    Unknown,
}

/// Result of a stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum StopResult {
    /// The run ends soon, or will never begin.
    Confirmed {
        /// The worker's clock in milliseconds.
        clock_ms: u64,
    },
    /// The worker obeys a higher epoch.
    Outranked,
    /// Another incarnation answers at this address.
    OtherIncarnation,
    /// No answer: it may have had no effect.
    Unknown,
}

/// How long a worker that rejected a start for lack of capacity gets no starts: enough for a
/// stopped task to end and for the next poll to list what else runs there.
const NO_CAPACITY_PAUSE: Duration = Duration::from_millis(500);

/// How long a worker gets no starts after it rejected one as unhealthy, or after one wasn't sent.
const UNHEALTHY_PAUSE: Duration = Duration::from_secs(1);

/// How long a worker gets no starts after an unanswered one. Then it gets one start at a time until it
/// answers a command.
/// Commands to a worker queue behind unanswered ones, so starts for unresponsive workers would use
/// up the start window and leave healthy workers idle.
const UNANSWERED_START_PAUSE: Duration = Duration::from_secs(1);

/// An unconfirmed stop is sent again after this time.
const STOP_RETRY: Duration = Duration::from_millis(700);

impl Worker {
    /// Whether it gets no starts because it left one unanswered, either for a while or while another
    /// is under way.
    pub(super) fn is_backing_off(&self, now: Time) -> bool {
        let start_under_way =
            || self.attempts.values().any(|attempt| attempt.phase == Phase::Starting);
        self.unconfirmed_start_at
            .is_some_and(|since| now.since(since) < UNANSWERED_START_PAUSE || start_under_way())
    }

    /// Whether a start was decided before another one to the worker timed out unanswered. It would
    /// wait behind that one.
    fn is_outdated(&self, attempt: &Attempt) -> bool {
        self.unconfirmed_start_at.is_some_and(|since| attempt.placed_at <= since)
    }
}

impl Scheduler {
    /// Whether a start is still wanted, checked right before it is sent: meanwhile its workflow may
    /// have been cancelled, another attempt of its task may be done, or the worker may have stopped
    /// answering or been evacuated.
    pub fn wants_start(&self, now: Time, id: &WorkerId, task: TaskId, run: RunId) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        let Some(attempt) = worker.attempts.get(&(task, run)) else { return false };
        // A gang makes no progress without one of its members, so all of them are tried.
        let gang = self.step(task).is_some_and(|step| step.gang);
        let outdated = worker.is_outdated(attempt) && !gang;
        let restart_allowed = !attempt.is_restart || self.may_restart(now);
        let allowed = !self.lagging && !worker.evacuated && restart_allowed;
        allowed && attempt.phase == Phase::Starting && !outdated
    }

    /// Whether a task that was started before may be started again.
    ///
    /// A leader that was paused or cut off from the store may have a successor while its own
    /// authority lasts. The successor may renew runs that this leader assumes to have lapsed, and
    /// record ends that this leader doesn't know of. If this leader restarted such tasks at a worker that the
    /// successor hasn't reached yet, they would run twice. Nobody takes over before
    /// [`crate::Limits::takeover_after`] has passed since the last heartbeat.
    pub(super) fn may_restart(&self, now: Time) -> bool {
        self.last_acked_append.is_some_and(|sent| now < sent + self.limits.takeover_after)
    }

    /// Whether more starts may be decided now.
    pub(super) fn may_start(&self) -> bool {
        !self.lagging && self.start_window.is_open()
    }

    /// Sets whether the records are read too late to start anything: recent cancellations may not
    /// have been read.
    pub fn set_lagging(&mut self, behind: bool) {
        if std::mem::replace(&mut self.lagging, behind) != behind {
            log::warn!(behind; "records_read_late");
        }
    }

    /// Handles the result of a start; called exactly once for each start.
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
        let earlier = self.offer(now, id);
        if answered {
            self.on_command_answered(id);
        }
        match result {
            StartResult::Started { clock_ms } => self.on_started(now, id, task, run, clock_ms),
            StartResult::Outranked => out.push(Effect::Outranked),
            StartResult::OtherIncarnation => {
                self.drop_attempt(now, id, task, run);
                self.on_other_incarnation(now, id);
            }
            StartResult::Unknown => self.on_start_unknown(now, id, task, run),
            StartResult::NoRoom => self.on_start_rejected(now, id, task, run, NO_CAPACITY_PAUSE),
            StartResult::Unwell | StartResult::NotSent => {
                self.on_start_rejected(now, id, task, run, UNHEALTHY_PAUSE);
            }
            StartResult::BadTicket => {
                log::info!(task:%, run:%, worker:% = id; "ticket_rejected");
                self.remove_ticket(task, id);
                self.drop_attempt(now, id, task, run);
            }
            StartResult::Withheld => self.drop_attempt(now, id, task, run),
            StartResult::OldRun | StartResult::Late | StartResult::Invalid => {
                log::warn!(task:%, run:%, worker:% = id, result:?; "start_rejected");
                self.on_start_rejected(now, id, task, run, Duration::ZERO);
            }
        }
        self.note_gain(now, id, earlier);
    }

    fn on_started(&mut self, now: Time, id: &WorkerId, task: TaskId, run: RunId, clock_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.note_contact(now, clock_ms);
        if let Some(attempt) = worker.attempts.get_mut(&(task, run))
            && matches!(attempt.phase, Phase::Starting | Phase::Unconfirmed { .. })
        {
            attempt.set_running(now, clock_ms);
        }
    }

    /// Handles the answer of a worker to any command: it no longer counts as leaving starts
    /// unanswered.
    fn on_command_answered(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unconfirmed_start_at = None;
        }
    }

    fn on_start_unknown(&mut self, now: Time, id: &WorkerId, task: TaskId, run: RunId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.next_poll_at = now;
        worker.unconfirmed_start_at = Some(now);
        if let Some(attempt) = worker.attempts.get_mut(&(task, run))
            && attempt.phase == Phase::Starting
        {
            attempt.phase = Phase::Unconfirmed { since: now };
            log::info!(task:%, run:%, worker:% = id; "start_in_doubt");
        }
    }

    /// Drops the attempt of a rejected start; the worker gets no starts for `pause`.
    fn on_start_rejected(
        &mut self,
        now: Time,
        id: &WorkerId,
        task: TaskId,
        run: RunId,
        pause: Duration,
    ) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.backoff_until = worker.backoff_until.max(now + pause);
        }
        self.drop_attempt(now, id, task, run);
    }

    /// Stops the runs at a worker that `selects` matches, except those whose end isn't granted.
    pub(super) fn stop_runs(
        &mut self,
        now: Time,
        id: &WorkerId,
        reason: StopReason,
        out: &mut Vec<Effect>,
        selects: impl Fn(TaskId, RunId) -> bool,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.next_poll_at = worker.next_poll_at.min(now + self.limits.poll_gap);
        let selected = worker.attempts.keys().filter(|(task, run)| selects(*task, *run));
        let selected: SmallVec<[(TaskId, RunId); 4]> = selected.copied().collect();
        for (task, run) in selected {
            if let Some(grant) = self.grant_stop(task, run, reason) {
                self.stop_run(now, id, grant, out);
            }
        }
    }

    /// Stops a run at a worker, and stores the reason for later log lines.
    pub(super) fn stop_run(
        &mut self,
        now: Time,
        id: &WorkerId,
        grant: StopGrant,
        out: &mut Vec<Effect>,
    ) {
        let StopGrant { task, run, reason, .. } = grant;
        let Some(worker) = self.workers.get_mut(id) else { return };
        let addr = worker.info.addr;
        worker.next_poll_at = worker.next_poll_at.min(now + self.limits.poll_gap);
        let Some(attempt) = worker.attempts.get_mut(&(task, run)) else { return };
        attempt.phase = Phase::Stopping { sent: now, confirmed_ms: None };
        attempt.stop.get_or_insert(Stop { reason, since: now });
        out.push(Effect::Stop { worker: id.clone(), addr, epoch: self.epoch, task, run });
    }

    /// Handles the result of a stop.
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
                self.on_command_answered(id);
                let Some(worker) = self.workers.get_mut(id) else { return };
                worker.note_contact(now, clock_ms);
                if let Some(attempt) = worker.attempts.get_mut(&(task, run))
                    && let Phase::Stopping { confirmed_ms, .. } = &mut attempt.phase
                {
                    *confirmed_ms = Some(clock_ms);
                }
            }
            StopResult::Outranked => out.push(Effect::Outranked),
            StopResult::OtherIncarnation => self.on_other_incarnation(now, id),
            StopResult::Unknown => {}
        }
    }

    /// Sends unconfirmed stops again.
    pub(super) fn resend_stops(&mut self, now: Time, out: &mut Vec<Effect>) {
        let epoch = self.epoch;
        for (id, worker) in &mut self.workers {
            let addr = worker.info.addr;
            for ((task, run), attempt) in &mut worker.attempts {
                let Phase::Stopping { sent, confirmed_ms: None } = &mut attempt.phase else {
                    continue;
                };
                if now.since(*sent) < STOP_RETRY {
                    continue;
                }
                *sent = now;
                let worker = id.clone();
                out.push(Effect::Stop { worker, addr, epoch, task: *task, run: *run });
            }
        }
    }

    /// Handles a worker that has left. All its runs have ended: their leases have lapsed, or its VM
    /// was taken down.
    pub(super) fn on_left(&mut self, now: Time, id: &WorkerId, cause: LeaveCause) {
        if let Some(worker) = self.workers.get(id) {
            let (silent_ms, lease_left_ms) = (worker.silent_ms(now), worker.lease_left_ms(now));
            log::info!(worker:% = id, cause:%, silent_ms, lease_left_ms; "worker_left");
        }
        self.forget_worker(now, id, WorkerLoss::Left);
    }

    /// Handles another incarnation at the worker's address: all runs of this one have ended.
    pub(super) fn on_other_incarnation(&mut self, now: Time, id: &WorkerId) {
        log::info!(worker:% = id; "worker_replaced");
        self.forget_worker(now, id, WorkerLoss::Replaced);
    }

    fn forget_worker(&mut self, now: Time, id: &WorkerId, loss: WorkerLoss) {
        self.requeue_lost_runs(now, id, loss);
        self.remove_worker(id);
    }
}
