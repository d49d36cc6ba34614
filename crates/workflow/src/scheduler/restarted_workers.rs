//! Workers that have started again under their name.
//!
//! The later incarnation holds nothing of before. It numbers its ends anew, has its own clock and knows no fencing token.
//! Commands name only the worker, so a start that was sent to the earlier incarnation may have been carried out by the later
//! one, or still be. Such a run stays an attempt of its task, at the later incarnation, until that one has listed or
//! stopped it. Otherwise the task would be started elsewhere beside it.

use {
    super::{Attempt, Inherited, Phase, Scheduler, Worker, lost_workers::WorkerLoss},
    crate::{Limits, RunId, TaskId, WorkerId, WorkerInfo, WorkerState},
    egretlb_types::{Resources, Time},
    std::time::Duration,
};

/// A worker that has listed its runs this recently hasn't started again since. After a longer time, a poll may reach a
/// later incarnation, which must not get the leases and acknowledgements of the earlier one.
const MIN_RESTART_TIME: Duration = Duration::from_millis(300);

/// Interval between two events of the scheduler from which it counts as paused. It ticks every 20 ms.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(200);

/// Detects pauses of this process, after which replies are read that may be older than a restart of their worker.
#[derive(Debug)]
pub(super) struct PauseDetector {
    last_event: Time,
    resumed_at: Time,
}

impl PauseDetector {
    pub(super) fn new(now: Time) -> PauseDetector {
        PauseDetector { last_event: now, resumed_at: now }
    }

    /// Notes an event of the scheduler.
    pub(super) fn note_event(&mut self, now: Time) {
        if now.since(self.last_event) >= PAUSE_THRESHOLD {
            self.resumed_at = now;
        }
        self.last_event = now;
    }

    /// Whether there has been no pause since `sent`.
    fn is_current(&self, sent: Time) -> bool {
        sent >= self.resumed_at
    }
}

impl Worker {
    /// Whether a poll may reach a later incarnation under the same name.
    fn may_have_restarted(&self, now: Time) -> bool {
        self.info.id.started_ms.is_some()
            && self.listed_at.is_none_or(|at| now.since(at) >= MIN_RESTART_TIME)
    }

    /// Whether a poll may renew its leases.
    pub(super) fn may_renew(&self, now: Time, limits: &Limits) -> bool {
        self.reconciled
            && !self.listed_unresponsive
            && self.is_responsive(now, limits)
            && !self.withholds_ends(now)
            && !self.may_have_restarted(now)
    }

    /// The number up to which a poll acknowledges ends. A later incarnation would discard its own ends up to that number
    /// before they are read.
    pub(super) fn end_cursor(&self, now: Time) -> u64 {
        if self.may_have_restarted(now) { 0 } else { self.ends_recorded }
    }

    /// Whether recorded ends are still to be acknowledged, and the worker has just listed its runs.
    pub(super) fn owes_acknowledgement(&self, now: Time) -> bool {
        self.info.id.started_ms.is_some()
            && self.ends_recorded > self.ends_acknowledged
            && !self.may_have_restarted(now)
    }

    /// Notes a reply to the poll sent at `sent`, which acknowledged ends up to `poll_cursor`.
    pub(super) fn note_lists(&mut self, now: Time, sent: Time, pauses: &PauseDetector) {
        self.listed_at = pauses.is_current(sent).then_some(now);
        self.ends_acknowledged = self.ends_acknowledged.max(self.poll_cursor);
    }

    /// Builds the state of a later incarnation whose directory entry hasn't been read: it is polled, and gets no tasks.
    fn later_incarnation(&self, now: Time, id: WorkerId) -> Worker {
        let info = WorkerInfo {
            id,
            addr: self.info.addr,
            service: self.info.service.clone(),
            data_centre: self.info.data_centre.clone(),
            capacity: Resources::default(),
            labels: smallvec::SmallVec::new(),
            state: WorkerState::Ready,
        };
        let mut later = Worker::new(now, info);
        (later.in_directory, later.entry_read) = (false, false);
        later
    }
}

impl Attempt {
    /// Whether it was sent to an earlier incarnation of its worker, and the later one hasn't listed it.
    pub(super) fn is_transferred(&self) -> bool {
        self.start_deadline_ms.is_none() && matches!(self.phase, Phase::Unconfirmed { .. })
    }

    /// Makes it an attempt of a later incarnation, whose clock doesn't bound the start.
    fn transferred(self, now: Time) -> Attempt {
        let phase = Phase::Unconfirmed { since: now };
        Attempt { phase, start_deadline_ms: None, isolated: false, confirmed: false, ..self }
    }
}

impl Scheduler {
    /// The newest known incarnation of the worker that an entry or list names.
    pub(super) fn newest_incarnation(&self, id: &WorkerId) -> Option<&WorkerId> {
        let same_name = self.workers.range(WorkerId::new(id.name.clone())..);
        same_name.map(|(known, _)| known).take_while(|known| known.name == id.name).last()
    }

    /// Replaces the earlier incarnations of all workers.
    pub(super) fn replace_earlier_incarnations(&mut self, now: Time) {
        let ids = self.workers.keys().zip(self.workers.keys().skip(1));
        let restarted: Vec<(WorkerId, WorkerId)> = ids
            .filter(|(earlier, later)| later.is_restart_of(earlier))
            .map(|(earlier, later)| (earlier.clone(), later.clone()))
            .collect();
        for (earlier, later) in restarted {
            self.on_restarted(now, &earlier, &later);
        }
    }

    /// Handles a worker that has started again under its name.
    pub(super) fn on_restarted(&mut self, now: Time, earlier: &WorkerId, later: &WorkerId) {
        let Some(worker) = self.workers.get(earlier) else { return };
        let in_doubt = worker.attempts.values().filter(|attempt| !attempt.listed).count();
        log::info!(worker:% = later, earlier:%, in_doubt; "worker_restarted");
        let placeholder = worker.later_incarnation(now, later.clone());
        let unreconciled_until = self.unreconciled.get(earlier).copied();
        if in_doubt > 0 || unreconciled_until.is_some() {
            // A lease by the earlier incarnation's clock is cut to the longest one that is granted.
            let max_lease = self.limits.lease_bound_for(self.limits.max_lease);
            let bound = (now + max_lease).max(worker.lease_bound());
            let worker = self.workers.entry(later.clone()).or_insert(placeholder);
            worker.extend_lease_bound(bound);
            worker.replaces_listed = true;
            if unreconciled_until.is_some() && !worker.reconciled {
                worker.inherited = Some(Inherited::RunsUnknown);
                self.unreconciled.insert(later.clone(), bound);
            }
        }
        self.lose_runs(now, earlier, WorkerLoss::Replaced, Some(later));
        self.remove_worker(earlier);
        self.mark_entry_dirty(later);
    }

    /// Makes a run that no list has shown an attempt at a later incarnation of its worker.
    pub(super) fn transfer_attempt(
        &mut self,
        now: Time,
        earlier: &WorkerId,
        later: &WorkerId,
        (task, run): (TaskId, RunId),
    ) {
        let attempt = self.workers.get_mut(earlier).and_then(|worker| worker.remove(task, run));
        let Some(attempt) = attempt else { return };
        if let Some(worker) = self.workers.get_mut(later) {
            worker.insert(task, run, attempt.transferred(now));
        }
        let Some(state) = self.task_mut(task) else { return };
        let attempts = state.attempts.iter_mut();
        for (worker, _) in attempts.filter(|(worker, other)| worker == earlier && *other == run) {
            worker.clone_from(later);
        }
    }
}
