//! Limits on how many tasks of a step this system's orders make unavailable at the same time.

use {
    super::{Attempt, Phase, Scheduler, waits::StopReason},
    crate::{RunId, TaskId},
};

/// Permission to end a run. Only [`Scheduler::grant_stop`] creates one, and only [`Scheduler::stop_run`] takes it.
#[derive(Debug)]
pub(super) struct StopGrant {
    pub(super) task: TaskId,
    pub(super) run: RunId,
    pub(super) reason: StopReason,
    _private: (),
}

impl StopReason {
    /// Whether a stop for this reason counts against its step's limit. It doesn't if the worker is draining, or if the run
    /// isn't the one that does the task's work.
    fn is_limited(self) -> bool {
        match self {
            StopReason::Preempted
            | StopReason::Maintenance
            | StopReason::Evicted
            | StopReason::Throttled
            | StopReason::Regrouped
            | StopReason::Slow => true,
            StopReason::Evacuated
            | StopReason::StartUnconfirmed
            | StopReason::OtherAttemptDone
            | StopReason::Duplicate
            | StopReason::WorkflowEnded => false,
        }
    }
}

impl Attempt {
    fn is_fully_up(&self) -> bool {
        matches!(self.phase, Phase::Running { .. }) && self.percent >= 100
    }
}

impl Scheduler {
    /// Permits the end of a run, unless too many other tasks of its step are unavailable.
    pub(super) fn grant_stop(
        &self,
        task: TaskId,
        run: RunId,
        reason: StopReason,
    ) -> Option<StopGrant> {
        let granted = !reason.is_limited() || self.may_be_unavailable(task);
        granted.then_some(StopGrant { task, run, reason, _private: () })
    }

    /// Whether a task may be unavailable, besides the others of its step that are. Those that aren't fully up are, for any
    /// reason; also those that no worker has listed yet under this leader.
    pub(super) fn may_be_unavailable(&self, task: TaskId) -> bool {
        let Some(step) = self.step(task) else { return true };
        let Some(allowed) = step.max_unavailable else { return true };
        let is_up = |index: u32| {
            let (first, last) = (RunId(0), RunId(u64::MAX));
            let task = TaskId { index, ..task };
            self.workers.values().any(|worker| {
                worker
                    .attempts
                    .range((task, first)..=(task, last))
                    .any(|(_, attempt)| attempt.is_fully_up())
            })
        };
        let others = (0..step.count).filter(|index| *index != task.index);
        let unavailable = others.filter(|index| !is_up(*index)).take(allowed as usize);
        unavailable.count() < allowed as usize
    }
}
