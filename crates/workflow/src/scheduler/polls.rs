//! Polls of the workers: each renews the leases at a worker, returns what ended, and shows that the
//! worker lives.

use {
    super::{Effect, Phase, PollReply, Scheduler, lost_workers::WorkerLoss},
    crate::{WorkerId, WorkerState},
    egretlb_types::Time,
    std::time::Duration,
};

/// What became of a poll.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PollResult {
    /// The worker's lists.
    Lists(PollReply),
    /// The worker obeys a higher epoch.
    Outranked,
    /// Another incarnation answers at this address.
    OtherIncarnation,
    /// Nothing listens at the worker's address.
    Refused,
    /// The worker can't be reached, or gave no answer, or not this one.
    Failed,
}

/// The lease at a worker that is about to leave. It outlasts the poll after next.
const LEAVING_LEASE: Duration = Duration::from_secs(2);

/// The pause after a poll that failed.
pub(super) const POLL_RETRY: Duration = Duration::from_millis(200);

/// A worker that runs nothing is asked this seldom; its heartbeats in the directory show that it lives.
const IDLE_POLL: Duration = Duration::from_millis(1_500);

/// Where fillers run beside serving tasks each of the worker's figures is wanted; a new one comes every
/// half second.
const FIGURE_WAIT: Duration = Duration::from_millis(450);

/// A worker with a task that has just begun is asked this soon how it gets on: a slow worker is found out
/// by then, and the task may yet be done in time elsewhere.
const FRESH_WAIT: Duration = Duration::from_millis(230);

impl Scheduler {
    /// What became of the poll that was sent at `sent`.
    pub fn on_poll(
        &mut self,
        now: Time,
        id: &WorkerId,
        sent: Time,
        result: &PollResult,
        out: &mut Vec<Effect>,
    ) {
        self.contacts.note(id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.poll_sent = None;
            worker.next_poll_at = now + self.limits.poll_gap;
        }
        match result {
            PollResult::Lists(reply) => self.apply_poll_reply(now, id, sent, reply, out),
            PollResult::Outranked => out.push(Effect::Outranked),
            PollResult::OtherIncarnation => self.on_other_incarnation(now, id),
            PollResult::Refused | PollResult::Failed => {
                let Some(worker) = self.workers.get_mut(id) else { return };
                worker.next_poll_at = now + POLL_RETRY;
                worker.connection_refused = *result == PollResult::Refused;
                if worker.has_left() {
                    self.on_left(now, id);
                }
            }
        }
    }

    /// Sends the polls that are due.
    pub(super) fn poll(&mut self, now: Time, out: &mut Vec<Effect>) {
        let (epoch, limits) = (self.epoch, self.limits);
        for (id, worker) in &mut self.workers {
            if worker.poll_sent.is_some() || now < worker.next_poll_at {
                continue;
            }
            let busy = !worker.attempts.is_empty() || worker.ends_processed > worker.ends_recorded;
            let leaving = worker.info.state == WorkerState::Draining && !worker.in_directory;
            let idle_due = worker.last_contact.is_none_or(|heard| now.since(heard) >= IDLE_POLL);
            if worker.reconciled && !busy && !(idle_due && (worker.in_directory || leaving)) {
                continue;
            }
            // While a worker is silent its leases aren't extended: otherwise polls that arrive without
            // being answered would put off the time at which its tasks have certainly lapsed.
            let renews = worker.reconciled
                && !worker.listed_unresponsive
                && worker.is_responsive(now, &limits);
            let until_ms = if renews && busy {
                // What is left on a leaving worker ends with it, and is started again that much sooner.
                let leaves = worker.info.state == WorkerState::Draining;
                let span = if leaves { LEAVING_LEASE } else { limits.lease };
                worker.lease_until(now, span, limits.lease_bound_for(span))
            } else {
                None
            };
            // In the survey the answer is wanted at once, and so is one that settles an order.
            let unsettled = |phase: &Phase| !matches!(phase, Phase::Running { .. });
            let hurried =
                !worker.reconciled || worker.attempts.values().any(|c| unsettled(&c.phase));
            let pressed =
                worker.latency_critical > 0 && (worker.best_effort > 0 || worker.over_target);
            let fresh = worker.is_reserved(now)
                || worker.attempts.values().any(|copy| copy.is_too_recent_to_judge(now));
            let wait = match (hurried, busy, fresh, pressed) {
                (true, ..) | (_, false, ..) => Duration::ZERO,
                (false, true, true, _) => FRESH_WAIT,
                (false, true, false, true) => FIGURE_WAIT,
                (false, true, false, false) => limits.poll_wait,
            };
            worker.poll_sent = Some(now);
            out.push(Effect::Poll {
                worker: id.clone(),
                addr: worker.info.addr,
                epoch,
                recorded: worker.ends_recorded,
                until_ms,
                wait_ms: u64::try_from(wait.as_millis()).unwrap_or(0),
            });
        }
    }

    /// Gives up what must have lapsed at workers that don't answer, and forgets workers that are gone.
    pub(super) fn expire(&mut self, now: Time) {
        let limits = self.limits;
        let lapsed = |worker: &super::Worker| {
            now >= worker.lease_bound && !worker.is_responsive(now, &limits)
        };
        let silent: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| lapsed(worker))
            .map(|(id, _)| id.clone())
            .collect();
        for id in silent {
            self.drop_lapsed(now, &id);
        }
        // A worker that has fallen silent, is heard again, or leaves or stays after all, changes the roster.
        let changed = |worker: &super::Worker| {
            // What it ran has been moved: a successor that reads so holds nothing back.
            let emptied =
                worker.listed_draining && worker.listed_runs > 0 && worker.attempts.is_empty();
            worker.differs_from_roster(now, &limits) || (worker.in_roster && emptied)
        };
        self.roster_dirty |= self.workers.values().any(changed);
        self.unreconciled.retain(|_, until| now < *until);
        self.release_workers(now);
    }

    fn drop_lapsed(&mut self, now: Time, id: &WorkerId) {
        let Some(worker) = self.workers.get(id) else { return };
        let (runs, present) = (worker.attempts.len(), worker.in_directory);
        if runs > 0 {
            log::warn!(worker:% = id, runs; "leases_lapsed");
        }
        self.requeue_lost_runs(now, id, WorkerLoss::Lapsed);
        if !present && self.unreconciled.get(id).is_none_or(|until| now >= *until) {
            self.workers.remove(id);
            self.roster_dirty = true;
        }
    }
}
