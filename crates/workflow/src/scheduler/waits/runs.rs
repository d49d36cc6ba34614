//! Log lines on the runs of long-running tasks.
//!
//! Long-running tasks start and end rarely, so each start and end gets a line; of a burst, such as
//! a large service that is accepted or cancelled, only the first are logged.

use {
    super::{super::Scheduler, Reason, budget::LineBudget, ms},
    crate::{EndKind, RunId, TaskId, WorkerId},
    egretlb_types::Time,
    std::fmt,
};

/// Maximum lines in a burst: 80 KB at 200 bytes a line. A store outage ends all runs at once, some
/// 330 on a deployment of 50 workers.
const MAX_BURST_LINES: u32 = 400;

/// Sustained lines per second, some 4 KB. A lost worker ends some ten long-running tasks.
const LINES_PER_SECOND: u32 = 20;

/// Lines reserved for ends and restarts: first starts can't use them, so that the start of a large
/// service doesn't suppress the line on the end of another.
const RESERVED_LINES: u32 = MAX_BURST_LINES / 2;

/// Why a run was stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::scheduler) enum StopReason {
    /// Its capacity was needed for batch tasks.
    Preempted,
    /// Its worker is draining.
    Evacuated,
    /// Its worker's VM goes down for maintenance.
    Maintenance,
    /// It interfered with a latency-critical task over its target.
    Evicted,
    /// A latency-critical task on its worker has throttled it for long, and another worker can take it.
    Throttled,
    /// It was moved next to latency-critical tasks that tolerate the same best-effort tasks.
    Regrouped,
    /// Its worker is slow.
    Slow,
    /// Its start is unconfirmed, and the worker doesn't list it.
    StartUnconfirmed,
    /// Another attempt of its task is done.
    OtherAttemptDone,
    /// It isn't wanted: its task is done, cancelled, or has another attempt.
    Duplicate,
    /// Its workflow was cancelled or has failed.
    WorkflowEnded,
}

impl fmt::Display for StopReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StopReason::Preempted => "preempted",
            StopReason::Evacuated => "evacuated",
            StopReason::Maintenance => "upkeep",
            StopReason::Evicted => "relieved",
            StopReason::Throttled => "held_back",
            StopReason::Regrouped => "regrouped",
            StopReason::Slow => "slow_worker",
            StopReason::StartUnconfirmed => "start_in_doubt",
            StopReason::OtherAttemptDone => "copy_done",
            StopReason::Duplicate => "not_wanted",
            StopReason::WorkflowEnded => "workflow_ended",
        })
    }
}

/// A stop command and its reason.
#[derive(Clone, Copy, Debug)]
pub(in crate::scheduler) struct Stop {
    pub(in crate::scheduler) reason: StopReason,
    /// When it was first sent.
    pub(in crate::scheduler) since: Time,
}

/// How a run ended.
#[derive(Clone, Copy, Debug)]
enum RunEnd {
    /// Its worker listed its end.
    Listed(EndKind),
    /// Its start was rejected.
    NeverBegan,
    /// It can't be running any more, and no worker listed its end.
    Lost,
}

impl fmt::Display for RunEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RunEnd::Listed(EndKind::Done) => "done",
            RunEnd::Listed(EndKind::Failed) => "failed",
            RunEnd::Listed(EndKind::Stopped) => "stopped",
            RunEnd::Listed(EndKind::Lapsed) => "lapsed",
            RunEnd::Listed(EndKind::Broken) => "broken",
            RunEnd::Listed(EndKind::Alone) => "alone",
            RunEnd::Listed(EndKind::Unknown) => "unknown",
            RunEnd::NeverBegan => "rejected",
            RunEnd::Lost => "lost",
        })
    }
}

/// Rate limit of the lines on starts and ends of runs.
#[derive(Debug)]
pub(super) struct RunLines(LineBudget);

impl Default for RunLines {
    fn default() -> RunLines {
        RunLines(LineBudget::new("lasting_tasks", MAX_BURST_LINES, LINES_PER_SECOND))
    }
}

impl RunLines {
    pub(super) fn log_suppressed(&mut self, now: Time) {
        self.0.log_suppressed(now);
    }
}

impl Scheduler {
    /// Logs the start of a long-running task.
    pub(in crate::scheduler) fn log_start(
        &mut self,
        now: Time,
        task: TaskId,
        run: RunId,
        id: &WorkerId,
    ) {
        if !self.is_long_running(task) {
            return;
        }
        let is_restart = self.task(task).is_some_and(|state| state.down_since.is_some());
        if !self.waits.runs.0.take(now, if is_restart { 0 } else { RESERVED_LINES }) {
            return;
        }
        let waited_ms = self.down_since(task).map_or(0, |since| ms(now.since(since)));
        log::info!(task:%, run:%, worker:% = id, waited_ms; "lasting_task_started");
    }

    pub(super) fn is_long_running(&self, task: TaskId) -> bool {
        self.step(task).is_some_and(|step| step.long_running)
    }

    /// Logs the end of a run that its worker listed.
    pub(in crate::scheduler) fn log_end(
        &mut self,
        now: Time,
        id: &WorkerId,
        task: TaskId,
        run: RunId,
        kind: EndKind,
    ) {
        self.on_run_over(now, id, task, run, RunEnd::Listed(kind));
    }

    /// Logs the end of a run that is certainly over but wasn't listed.
    pub(in crate::scheduler) fn log_dropped(
        &mut self,
        now: Time,
        id: &WorkerId,
        task: TaskId,
        run: RunId,
    ) {
        let began = self
            .not_running_reason(now, id, task, run)
            .is_none_or(|(reason, _)| !is_start_pending(reason));
        let run_end = if began { RunEnd::Lost } else { RunEnd::NeverBegan };
        self.on_run_over(now, id, task, run, run_end);
    }

    fn on_run_over(&mut self, now: Time, id: &WorkerId, task: TaskId, run: RunId, run_end: RunEnd) {
        let not_running = self.not_running_reason(now, id, task, run);
        let attempt = self.workers.get(id).and_then(|worker| worker.attempts.get(&(task, run)));
        let stop = attempt.and_then(|attempt| attempt.stop);
        // A cancelled workflow is removed before its runs have ended; the run may also be known
        // only to a predecessor.
        let long_running =
            attempt.map_or_else(|| self.is_long_running(task), |attempt| attempt.long_running);
        let worker_unresponsive =
            not_running.is_some_and(|(reason, _)| reason == Reason::SilentWorker);
        // It may have been down since the last contact with its worker.
        let last_contact = not_running
            .filter(|_| worker_unresponsive && matches!(run_end, RunEnd::Lost))
            .map(|(_, since)| since);
        match (run_end, not_running) {
            // It has been down since before that start.
            (RunEnd::NeverBegan, Some((_, placed))) => self.set_down_since_if_unset(task, placed),
            _ => self.set_down_since(task, last_contact.unwrap_or(now)),
        }
        if !long_running || !self.waits.runs.0.take(now, 0) {
            return;
        }
        let why = match (stop, run_end) {
            (Some(stop), _) => stop.reason.to_string(),
            (None, RunEnd::Lost) if worker_unresponsive => "worker_silent".to_owned(),
            (None, RunEnd::Lost) => "not_there".to_owned(),
            (None, _) => "-".to_owned(),
        };
        let down_ms = last_contact.map_or(0, |at| ms(now.since(at)));
        log::info!(task:%, run:%, worker:% = id, end:% = run_end, why:%, down_ms; "lasting_task_ended");
    }
}

/// Whether the run's start has no result yet.
fn is_start_pending(reason: Reason) -> bool {
    matches!(reason, Reason::BeingStarted | Reason::StartInDoubt)
}
