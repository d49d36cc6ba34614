//! Polls of the workers. A poll renews the leases at a worker, returns its runs and ends, and
//! serves as a health check.

use {
    super::{
        Effect, Phase, PollReply, Scheduler,
        lost_workers::{LeaveCause, WorkerLoss},
    },
    crate::{WorkerId, WorkerState},
    egretlb_types::Time,
    std::time::Duration,
};

/// Result of a poll.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PollResult {
    /// The worker's lists.
    Lists(PollReply),
    /// The worker obeys a higher epoch.
    Outranked,
    /// Another incarnation answers at this address.
    OtherIncarnation,
    /// The worker has started again under its name, at this time in milliseconds since 1970.
    Restarted {
        /// The start time of the later incarnation.
        started_ms: u64,
    },
    /// Nothing listens at the worker's address.
    Refused,
    /// The worker can't be reached, or gave no valid answer.
    Failed,
}

/// Lease at a draining worker: long enough for the next two polls to renew it.
const DRAINING_LEASE: Duration = Duration::from_secs(2);

/// Pause after a failed poll.
pub(super) const POLL_RETRY: Duration = Duration::from_millis(200);

/// Poll interval of an idle worker; its directory entry shows that it is alive.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(1_500);

/// Maximum wait of a poll where best-effort and latency-critical tasks share the worker: a
/// new sample comes every half second, and none is to be missed. Also where the speed of tasks is
/// measured, so that a slow worker is found within 2 s.
const SAMPLE_WAIT: Duration = Duration::from_millis(450);

/// Maximum wait of a poll of a worker that is reserved or has a new task: early enough to detect a
/// slow worker and to finish the task in time elsewhere.
const NEW_TASK_WAIT: Duration = Duration::from_millis(230);

impl Scheduler {
    /// Handles the result of the poll sent at `sent`.
    pub fn on_poll(
        &mut self,
        now: Time,
        id: &WorkerId,
        sent: Time,
        result: &PollResult,
        out: &mut Vec<Effect>,
    ) {
        let earlier = self.offer(now, id);
        self.pauses.note_event(now);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.poll_sent = None;
            worker.settle_poll_lease(*result == PollResult::Refused);
            worker.next_poll_at = now + self.limits.poll_gap;
        }
        match result {
            PollResult::Lists(reply) => self.apply_poll_reply(now, id, sent, reply, out),
            PollResult::Outranked => out.push(Effect::Outranked),
            PollResult::OtherIncarnation => self.on_other_incarnation(now, id),
            PollResult::Restarted { started_ms } => {
                let later = WorkerId::started_at(id.name.clone(), *started_ms);
                self.on_restarted(now, id, &later);
            }
            PollResult::Refused | PollResult::Failed => {
                let Some(worker) = self.workers.get_mut(id) else { return };
                worker.listed_at = None;
                worker.next_poll_at = now + POLL_RETRY;
                worker.connection_refused = *result == PollResult::Refused;
                if worker.connection_refused {
                    worker.missed_polls.note_gone(now);
                } else {
                    worker.missed_polls.note_failed(now.min(sent + worker.poll_wait));
                }
            }
        }
        self.note_gain(now, id, earlier);
    }

    /// Sends the polls that are due.
    pub(super) fn poll(&mut self, now: Time, out: &mut Vec<Effect>) {
        let (epoch, limits) = (self.epoch, self.limits);
        for (id, worker) in &mut self.workers {
            if worker.poll_sent.is_some() || now < worker.next_poll_at {
                continue;
            }
            let busy = !worker.attempts.is_empty() || worker.ends_processed > worker.ends_recorded;
            let left_directory = worker.info.state == WorkerState::Draining && !worker.in_directory;
            let idle_due = worker.last_contact.is_none_or(|at| now.since(at) >= IDLE_POLL_INTERVAL)
                || worker.owes_acknowledgement(now);
            let more_ends = worker.lists_ends_in_part() && !worker.withholds_ends(now);
            let idle = worker.reconciled && !busy && !more_ends;
            if idle && !(idle_due && (worker.in_directory || left_directory)) {
                continue;
            }
            // Leases at an unresponsive worker aren't extended: polls that arrive without being
            // answered would otherwise postpone the time at which its tasks have certainly lapsed.
            let until_ms = if busy && worker.may_renew(now, &limits) {
                // With a short lease, tasks that are lost when a draining worker leaves can be
                // restarted sooner.
                let draining = worker.info.state == WorkerState::Draining;
                let span = if draining { DRAINING_LEASE } else { limits.lease };
                worker.lease_for_poll(now, span, limits.lease_bound_for(span))
            } else {
                None
            };
            // Reconciliation, the rest of a list and pending commands need an immediate answer.
            let has_pending_command = |phase: &Phase| !matches!(phase, Phase::Running { .. });
            let urgent = !worker.reconciled
                || more_ends
                || worker.attempts.values().any(|attempt| has_pending_command(&attempt.phase));
            let colocated =
                worker.latency_critical > 0 && (worker.best_effort > 0 || worker.over_target);
            let by_evidence = limits.policies.straggler_evidence;
            let measured = by_evidence && worker.has_measured_runs();
            let polls_often = worker.is_reserved(now)
                || (by_evidence && worker.awaits_verdict())
                || worker.attempts.values().any(|attempt| attempt.is_too_recent_to_judge(now));
            let wait = match (urgent, busy, polls_often, colocated || measured) {
                (true, ..) | (_, false, ..) => Duration::ZERO,
                (false, true, true, _) => NEW_TASK_WAIT,
                (false, true, false, true) => SAMPLE_WAIT,
                (false, true, false, false) => limits.poll_wait,
            };
            worker.poll_sent = Some(now);
            worker.poll_wait = wait;
            worker.poll_cursor = worker.end_cursor(now);
            out.push(Effect::Poll {
                worker: id.clone(),
                addr: worker.info.addr,
                epoch,
                recorded: worker.poll_cursor,
                until_ms,
                wait_ms: u64::try_from(wait.as_millis()).unwrap_or(0),
            });
        }
    }

    /// Drops runs that must have lapsed at unresponsive workers, removes workers that are gone, and
    /// marks the roster to be recorded if the state of a worker has changed.
    pub(super) fn expire(&mut self, now: Time) {
        let limits = self.limits;
        let lapsed_workers: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.has_lapsed(now, &limits))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed_workers {
            self.drop_lapsed(now, &id);
        }
        // A worker whose responsiveness or draining state has changed must be listed differently.
        let changed = |worker: &super::Worker| {
            // None of the runs that the roster lists is left: once that is recorded, a successor
            // needn't assume that they still run.
            let drained =
                worker.listed_draining && worker.listed_runs > 0 && worker.attempts.is_empty();
            worker.differs_from_roster(now, &limits) || (worker.in_roster && drained)
        };
        let changed: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| changed(worker))
            .map(|(id, _)| id.clone())
            .collect();
        changed.iter().for_each(|id| self.mark_entry_dirty(id));
        self.expire_reconciliations(now);
        self.expire_unreadable_roster(now);
        self.release_workers(now);
    }

    fn drop_lapsed(&mut self, now: Time, id: &WorkerId) {
        let Some(worker) = self.workers.get(id) else { return };
        if worker.seems_to_have_left() {
            self.on_left(now, id, LeaveCause::Refused);
            return;
        }
        let (runs, in_directory) = (worker.attempts.len(), worker.in_directory);
        if runs > 0 {
            log::warn!(worker:% = id, runs; "leases_lapsed");
        }
        self.requeue_lost_runs(now, id, WorkerLoss::Lapsed);
        if !in_directory && self.unreconciled.get(id).is_none_or(|until| now >= *until) {
            self.remove_worker(id);
        }
    }
}
