//! Throttles best-effort tasks that share a worker with latency-critical tasks: their pace is the
//! share of their CPU that they may use.
//!
//! The load of latency-critical tasks changes within seconds, and a best-effort task that doesn't
//! interfere at low load may interfere at peak load. If only those that the peak tolerates were
//! placed, many would wait; if they were stopped when a target is missed, their work would be lost.
//! A change of pace takes effect within a tenth of a second and loses no work.
//!
//! Each poll reply of a worker gives an estimate of the headroom below their targets that its
//! latency-critical tasks would have without best-effort tasks. That is divided among the
//! best-effort tasks that interfere.

use {
    super::{
        Attempt, Effect, Phase, Scheduler, Worker, attempt::FULL_PACE_PERCENT, waits::StopReason,
    },
    crate::{RunId, TaskId, WorkerId},
    egretlb_types::Time,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Result of a change of pace.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum PaceResult {
    /// The pace is in force.
    Paced,
    /// The worker obeys a higher epoch.
    Outranked,
    /// Another incarnation answers at this address.
    OtherIncarnation,
    /// No answer: it may have had no effect.
    Unknown,
}

/// Paces are multiples of this many percent; finer steps are within the noise of the measurements.
const PACE_STEP_PERCENT: f32 = 10.0;

/// A smaller change, in percentage points, is only sent if it pauses a task or restores its full pace.
const MIN_PACE_CHANGE_PERCENT: u32 = 20;

/// A best-effort task at or below this pace, in percent, is moved if another worker can take it.
const SLOW_PACE_PERCENT: u32 = 30;

/// How long a task must be at or below [`SLOW_PACE_PERCENT`] before it is moved.
const MOVE_SLOW_AFTER: Duration = Duration::from_millis(1_200);

/// A task without checkpoints isn't moved once its progress, in percent, has reached this.
const MAX_MOVED_PROGRESS_PERCENT: u32 = 30;

impl Scheduler {
    /// Handles the result of a change of pace.
    pub fn on_pace(
        &mut self,
        now: Time,
        id: &WorkerId,
        task: TaskId,
        run: RunId,
        result: PaceResult,
        out: &mut Vec<Effect>,
    ) {
        match result {
            PaceResult::Paced => {}
            PaceResult::Outranked => out.push(Effect::Outranked),
            PaceResult::OtherIncarnation => self.on_other_incarnation(now, id),
            PaceResult::Unknown => {
                let worker = self.workers.get_mut(id);
                if let Some(attempt) =
                    worker.and_then(|worker| worker.attempts.get_mut(&(task, run)))
                {
                    attempt.pace_sent = None;
                }
            }
        }
    }

    /// Sets the paces of a worker's best-effort tasks to what its latency-critical tasks tolerate.
    pub(super) fn pace_best_effort(&mut self, now: Time, id: &WorkerId, out: &mut Vec<Effect>) {
        self.update_own_headrooms(id);
        let Some(worker) = self.workers.get(id) else { return };
        if worker.best_effort == 0 {
            return;
        }
        let changes = self.pace_changes(worker);
        let (epoch, addr) = (self.epoch, worker.info.addr);
        self.stats.paced += changes.len() as u64;
        let Some(worker) = self.workers.get_mut(id) else { return };
        for (task, run, percent) in changes {
            worker.set_pace(task, run, percent);
            if let Some(attempt) = worker.attempts.get_mut(&(task, run)) {
                attempt.pace_sent = Some(percent);
                // Restarts the timeout for stalled tasks.
                attempt.progressed_at = now;
                let slow = percent <= SLOW_PACE_PERCENT;
                attempt.throttled_since = slow.then(|| attempt.throttled_since.unwrap_or(now));
            }
            log::debug!(task:%, run:%, worker:% = id, percent; "filler_paced");
            out.push(Effect::Pace { worker: id.clone(), addr, epoch, task, run, percent });
        }
        self.move_throttled(now, id, out);
    }

    /// Updates the headroom that a worker's latency-critical tasks would have without best-effort tasks.
    fn update_own_headrooms(&mut self, id: &WorkerId) {
        let Some(Worker { attempts, neighbours, .. }) = self.workers.get_mut(id) else { return };
        let latency_critical = attempts.iter().filter(|(_, attempt)| attempt.latency_critical);
        let latency_critical =
            latency_critical.map(|((task, _), attempt)| (task.workflow, attempt.image));
        self.colocation.update_own_headroom(neighbours, latency_critical);
    }

    /// Returns a worker's best-effort tasks whose pace is to change, with the new paces in percent.
    fn pace_changes(&self, worker: &Worker) -> Vec<(TaskId, RunId, u32)> {
        let best_effort = worker
            .attempts
            .values()
            .filter(|attempt| attempt.best_effort)
            .map(Attempt::best_effort_demand);
        let tolerated = self.colocation.tolerated_paces(&worker.neighbours, best_effort);
        let mut changes: Vec<(TaskId, RunId, u32)> = Vec::new();
        for ((task, run), attempt) in &worker.attempts {
            if attempt.best_effort && matches!(attempt.phase, Phase::Running { .. }) {
                let share = if attempt.paused_over_target && worker.latency_critical > 0 {
                    0.0
                } else {
                    self.colocation.allowed_pace(
                        &worker.neighbours,
                        &tolerated,
                        attempt.best_effort_demand(),
                        self.is_short_of_time(*task, attempt.percent),
                    )
                };
                let pace = pace_from_share(share);
                if is_worth_sending(attempt, pace) {
                    changes.push((*task, *run, pace));
                }
            }
        }
        changes
    }

    /// Moves best-effort tasks that were throttled for [`MOVE_SLOW_AFTER`] if another worker can take them.
    fn move_throttled(&mut self, now: Time, id: &WorkerId, out: &mut Vec<Effect>) {
        let Some(worker) = self.workers.get(id) else { return };
        let is_throttled_for_long = |attempt: &Attempt| {
            let running = matches!(attempt.phase, Phase::Running { .. });
            let worth_moving = attempt.movable || attempt.percent < MAX_MOVED_PROGRESS_PERCENT;
            running
                && worth_moving
                && attempt.throttled_since.is_some_and(|at| now.since(at) >= MOVE_SLOW_AFTER)
        };
        let throttled: Vec<(TaskId, RunId)> = worker
            .attempts
            .iter()
            .filter(|(_, attempt)| is_throttled_for_long(attempt))
            .map(|(key, _)| *key)
            .collect();
        for (task, run) in throttled {
            if let Some(grant) = self.grant_stop(task, run, StopReason::Throttled)
                && self.fits_elsewhere(now, id, task)
            {
                self.stats.evicted += 1;
                log::info!(task:%, run:%, worker:% = id; "slowed_filler_moved");
                self.stop_run(now, id, grant, out);
            }
        }
    }
}

/// Converts a share to a pace in percent, rounded down to a whole step.
fn pace_from_share(share: f32) -> u32 {
    let steps = (share * FULL_PACE_PERCENT as f32 / PACE_STEP_PERCENT).floor();
    (steps * PACE_STEP_PERCENT) as u32
}

/// Whether a change of pace is large enough to be sent.
fn is_worth_sending(attempt: &Attempt, pace: u32) -> bool {
    match attempt.pace_sent {
        None => true,
        Some(sent) => {
            sent.abs_diff(pace) >= MIN_PACE_CHANGE_PERCENT
                || (sent != pace && (pace == 0 || pace == FULL_PACE_PERCENT))
        }
    }
}
