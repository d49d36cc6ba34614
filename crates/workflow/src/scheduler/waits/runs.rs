//! Lines on the runs of lasting tasks.
//!
//! A lasting task is missed while it doesn't run, for as long as its workflow isn't cancelled. Few of
//! them start or end in a second, so each does in a line; of a flood, as of a wide service that is
//! accepted or cancelled, only the first are written.

use {
    super::{super::Scheduler, Reason, budget::LineBudget, ms},
    crate::{EndKind, RunId, TaskId, WorkerId},
    egretlb_types::Time,
    std::fmt,
};

/// The most lines at once: 80 KB at 200 bytes a line, a fifth of what waits to be written at most. An outage
/// of the store ends all runs at once, some 330 on a deployment of 50 workers.
const BURST: u32 = 400;

/// The most lines each second in the long run: 4 KB. A worker that is lost takes some ten lasting tasks with
/// it.
const LINES_PER_SECOND: u32 = 20;

/// What first starts leave to ends and later starts, which are missed more: a wide service that begins must
/// not hide the end of another.
const SPARE: u32 = BURST / 2;

/// Why a run was stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::scheduler) enum StopReason {
    /// It made room for tasks that end soon.
    Preempted,
    /// Its worker is about to leave.
    Evacuated,
    /// Its worker's VM goes down for upkeep.
    Maintenance,
    /// It pressed on a serving task.
    Evicted,
    /// It was held back beside a serving task for so long that it is done sooner elsewhere.
    Throttled,
    /// It stands better elsewhere, beside serving tasks on which the same fillers press.
    Regrouped,
    /// Its worker is slow.
    Slow,
    /// Its start got no answer and isn't listed.
    StartUnconfirmed,
    /// Another run of its task is done.
    OtherAttemptDone,
    /// It was found, and another run of its task counts.
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

/// A stop that was ordered.
#[derive(Clone, Copy, Debug)]
pub(in crate::scheduler) struct Stop {
    pub(in crate::scheduler) reason: StopReason,
    /// When it was first ordered.
    pub(in crate::scheduler) since: Time,
}

/// How a run is over.
#[derive(Clone, Copy, Debug)]
enum Over {
    /// Its worker lists its end.
    Listed(EndKind),
    /// Its start was turned away.
    NeverBegan,
    /// It can't be under way any more, and nothing tells its end.
    Lost,
}

impl fmt::Display for Over {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Over::Listed(EndKind::Done) => "done",
            Over::Listed(EndKind::Failed) => "failed",
            Over::Listed(EndKind::Stopped) => "stopped",
            Over::Listed(EndKind::Lapsed) => "lapsed",
            Over::Listed(EndKind::Broken) => "broken",
            Over::Listed(EndKind::Alone) => "alone",
            Over::Listed(EndKind::Unknown) => "unknown",
            Over::NeverBegan => "rejected",
            Over::Lost => "lost",
        })
    }
}

#[derive(Debug)]
pub(super) struct RunLines(LineBudget);

impl Default for RunLines {
    fn default() -> RunLines {
        RunLines(LineBudget::new("lasting_tasks", BURST, LINES_PER_SECOND))
    }
}

impl RunLines {
    pub(super) fn log_suppressed(&mut self, now: Time) {
        self.0.log_suppressed(now);
    }
}

impl Scheduler {
    /// A task is about to be started.
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
        let again = self.task(task).is_some_and(|state| state.down_since.is_some());
        if !self.waits.runs.0.take(now, if again { 0 } else { SPARE }) {
            return;
        }
        let waited_ms = self.down_since(task).map_or(0, |since| ms(now.since(since)));
        log::info!(task:%, run:%, worker:% = id, waited_ms; "lasting_task_started");
    }

    pub(super) fn is_long_running(&self, task: TaskId) -> bool {
        self.step(task).is_some_and(|step| step.long_running)
    }

    /// A worker lists the end of a run.
    pub(in crate::scheduler) fn log_end(
        &mut self,
        now: Time,
        id: &WorkerId,
        task: TaskId,
        run: RunId,
        kind: EndKind,
    ) {
        self.note_over(now, id, task, run, Over::Listed(kind));
    }

    /// A run is certainly not under way, and no list tells its end.
    pub(in crate::scheduler) fn log_dropped(
        &mut self,
        now: Time,
        id: &WorkerId,
        task: TaskId,
        run: RunId,
    ) {
        let began = self.doubt_of(now, id, task, run).is_none_or(|(reason, _)| !is_start(reason));
        let over = if began { Over::Lost } else { Over::NeverBegan };
        self.note_over(now, id, task, run, over);
    }

    fn note_over(&mut self, now: Time, id: &WorkerId, task: TaskId, run: RunId, over: Over) {
        let doubt = self.doubt_of(now, id, task, run);
        let copy = self.workers.get(id).and_then(|worker| worker.attempts.get(&(task, run)));
        let stop = copy.and_then(|copy| copy.stop);
        // A workflow that was cancelled is forgotten before its runs have ended; an end may also be of
        // a run that only a predecessor knew.
        let lasts = copy.map_or_else(|| self.is_long_running(task), |copy| copy.long_running);
        let silent = doubt.is_some_and(|(reason, _)| reason == Reason::SilentWorker);
        // Its user has been without it since its worker was last heard, as far as anybody knows.
        let heard = doubt.filter(|_| silent && matches!(over, Over::Lost)).map(|(_, heard)| heard);
        match (over, doubt) {
            // It has been down since before that start.
            (Over::NeverBegan, Some((_, placed))) => self.note_still_down(task, placed),
            _ => self.note_down(task, heard.unwrap_or(now)),
        }
        if !lasts || !self.waits.runs.0.take(now, 0) {
            return;
        }
        let why = match (stop, over) {
            (Some(stop), _) => stop.reason.to_string(),
            (None, Over::Lost) if silent => "worker_silent".to_owned(),
            (None, Over::Lost) => "not_there".to_owned(),
            (None, _) => "-".to_owned(),
        };
        let down_ms = heard.map_or(0, |heard| ms(now.since(heard)));
        log::info!(task:%, run:%, worker:% = id, end:% = over, why:%, down_ms; "lasting_task_ended");
    }
}

/// Whether what isn't known of a run is how its start went.
fn is_start(reason: Reason) -> bool {
    matches!(reason, Reason::BeingStarted | Reason::StartInDoubt)
}
