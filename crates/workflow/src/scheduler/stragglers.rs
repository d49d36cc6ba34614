//! Straggler mitigation: tasks that stall or run far slower than estimated.
//!
//! Some workers stall their tasks for seconds or slow them down several times while they report healthy. A workflow
//! waits for its slowest task, so a few such workers delay many workflows. A speculative task gets a second attempt
//! on another worker; any other task is stopped and restarts there.

use {
    super::{
        Attempt, Effect, Phase, PollReply, Requirements, Scheduler, Worker,
        attempt::FULL_PACE_PERCENT, waits::StopReason, worker_evidence::MoveEvidence,
    },
    crate::{RunId, Step, TaskId, WorkerId},
    egretlb_types::Time,
    std::time::Duration,
};

/// A task without progress for this long is stalled. A task of 1 s progresses by 1% every 10 ms, and resuming from a
/// checkpoint takes 250 ms.
const STALLED_AFTER: Duration = Duration::from_millis(900);

/// How long a worker with a stalled task gets no new tasks.
pub(super) const STALL_BACKOFF: Duration = Duration::from_secs(2);

/// A task is slow once it has run for this share of its estimate, in percent, plus [`SLOW_MARGIN`].
const SLOW_PERCENT: u32 = 180;

/// Added to [`SLOW_PERCENT`] of the estimate, since a short task takes this long to start.
const SLOW_MARGIN: Duration = Duration::from_millis(200);

/// A task slow by [`SLOW_PERCENT`] isn't moved once its progress has reached this, since elsewhere it starts over.
const MAX_MOVED_PROGRESS_PERCENT: u32 = 50;

/// Maximum number of tasks of one worker moved at a time.
pub(super) const MAX_MOVES_PER_REPLY: usize = 6;

/// Minimum run time before a run is judged by its progress: about a quarter of a task of 0.8 s.
const MIN_JUDGED_RUN_TIME: Duration = Duration::from_millis(220);

/// Minimum run time before a task with checkpoints is judged by its progress; it makes none for up to 250 ms while it
/// resumes.
const MIN_RESUMED_RUN_TIME: Duration = Duration::from_millis(600);

/// A run is moved if its remaining time exceeds this share of the whole task's estimate, in percent. Estimates are
/// off by at most a half; slow workers take four times as long or more.
const MIN_REMAINING_PERCENT: u32 = 150;

/// Added to [`MIN_REMAINING_PERCENT`] of the estimate, for the stop and the new start.
pub(super) const MOVE_COST: Duration = Duration::from_millis(150);

/// Maximum number of moves of a task; if it is slow everywhere, its estimate is wrong.
const MAX_MOVES: u8 = 2;

/// Minimum span of a speed sample.
const MIN_SPEED_SPAN: Duration = Duration::from_millis(100);

/// Minimum span of a speed sample as a share of the task's estimate, in percent: progress is in whole percents, so a
/// shorter span is imprecise.
const MIN_SPEED_SPAN_PERCENT: u32 = 8;

/// A worker is slow below this multiple of the expected speed.
const SLOW_SPEED: f32 = 0.5;

/// How long a worker's speed stays valid; it may have recovered since.
pub(super) const SPEED_VALIDITY: Duration = Duration::from_secs(3);

/// Weight of a new sample in a worker's speed.
const SPEED_SAMPLE_WEIGHT: f32 = 0.5;

impl Attempt {
    /// Marks the attempt as running, as confirmed by the worker.
    pub(super) fn set_running(&mut self, now: Time, clock_ms: u64) {
        self.phase = Phase::Running { clock_ms };
        self.confirmed = true;
        (self.running_since, self.progressed_at, self.speed_sample) = (now, now, (now, 0));
    }

    /// Minimum span over which its progress is meaningful.
    fn min_sample_span(&self) -> Duration {
        Duration::from_millis(u64::from(self.estimate_ms)) * MIN_SPEED_SPAN_PERCENT / 100
    }

    /// Whether it has run too briefly to be judged by its progress.
    pub(super) fn is_too_recent_to_judge(&self, now: Time) -> bool {
        let min_run_time = MIN_JUDGED_RUN_TIME.max(self.min_sample_span());
        self.estimate_ms > 0 && now.since(self.running_since) < min_run_time
    }

    /// Speed since the last sample, as a multiple of the estimated speed; none if it can't be sampled yet.
    pub(super) fn sample_speed(&mut self, now: Time, percent: u32) -> Option<f32> {
        let (since, previous_percent) = self.speed_sample;
        let elapsed = now.since(since);
        let runs = matches!(self.phase, Phase::Running { .. });
        // No progress is expected while it resumes from a checkpoint.
        let resuming = percent == previous_percent && elapsed < MIN_RESUMED_RUN_TIME;
        let too_soon = elapsed < MIN_SPEED_SPAN.max(self.min_sample_span());
        if self.estimate_ms == 0 || !runs || too_soon || resuming || percent < previous_percent {
            return None;
        }
        self.speed_sample = (now, percent);
        let done = (percent - previous_percent) as f32 / 100.0 * self.estimate_ms as f32 / 1_000.0;
        Some(done / elapsed.as_secs_f32())
    }

    /// Whether its remaining time exceeds that of a new attempt elsewhere.
    fn is_slower_than_restart(&self, now: Time, has_checkpoints: bool) -> bool {
        let ran = now.since(self.running_since);
        let min_run_time = if has_checkpoints { MIN_RESUMED_RUN_TIME } else { MIN_JUDGED_RUN_TIME };
        if self.estimate_ms == 0 || ran < min_run_time.max(self.min_sample_span()) {
            return false;
        }
        let max_remaining =
            Duration::from_millis(u64::from(self.estimate_ms)) * MIN_REMAINING_PERCENT / 100;
        let remaining = ran * (100 - self.percent.min(100)) / self.percent.max(1);
        remaining >= max_remaining + MOVE_COST
    }
}

impl Worker {
    /// Adds a speed sample to the worker's moving average.
    pub(super) fn add_speed_sample(&mut self, now: Time, speed: f32) {
        let recent = self.speed.filter(|(_, at)| now.since(*at) < SPEED_VALIDITY);
        let mean =
            recent.map_or(speed, |(recent, _)| recent + SPEED_SAMPLE_WEIGHT * (speed - recent));
        self.speed = Some((mean, now));
    }

    /// Whether tasks have recently run slowly here.
    pub(super) fn is_slow(&self, now: Time) -> bool {
        self.speed.is_some_and(|(speed, at)| speed < SLOW_SPEED && now.since(at) < SPEED_VALIDITY)
    }
}

enum Straggler {
    Stalled,
    Slow,
}

fn classify(now: Time, attempt: &Attempt, step: &Step, has_checkpoints: bool) -> Option<Straggler> {
    if step.long_running || step.gang || !matches!(attempt.phase, Phase::Running { .. }) {
        return None;
    }
    // A throttled task is expected to be slow.
    if attempt.pace < FULL_PACE_PERCENT {
        return None;
    }
    let ran = now.since(attempt.placed_at);
    if now.since(attempt.progressed_at) >= STALLED_AFTER && ran >= STALLED_AFTER {
        return Some(Straggler::Stalled);
    }
    if attempt.is_slower_than_restart(now, has_checkpoints) {
        return Some(Straggler::Slow);
    }
    // Best-effort tasks are slowed down by others, and their estimates are unreliable.
    let expected = Duration::from_millis(u64::from(step.estimate_ms)) * SLOW_PERCENT / 100;
    let slow = !step.best_effort && step.estimate_ms > 0 && ran >= expected + SLOW_MARGIN;
    (slow && attempt.percent < MAX_MOVED_PROGRESS_PERCENT).then_some(Straggler::Slow)
}

impl Scheduler {
    /// Moves stalled and slow tasks of a worker after its poll reply.
    pub(super) fn handle_stragglers(
        &mut self,
        now: Time,
        id: &WorkerId,
        reply: &PollReply,
        out: &mut Vec<Effect>,
    ) {
        let Some(worker) = self.workers.get(id) else { return };
        let mut stragglers: Vec<(TaskId, RunId)> = Vec::new();
        let mut stalled = 0;
        for ((task, run), attempt) in &worker.attempts {
            if reply.may_omit(*task, *run) {
                continue;
            }
            let Some(step) = self.step(*task) else { continue };
            let has_checkpoints = step.checkpoints;
            match classify(now, attempt, step, has_checkpoints) {
                Some(Straggler::Stalled) => stalled += 1,
                Some(Straggler::Slow) => {}
                None => continue,
            }
            stragglers.push((*task, *run));
        }
        if stalled > 0
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.backoff_until = worker.backoff_until.max(now + STALL_BACKOFF);
        }
        for (task, run) in stragglers.into_iter().take(MAX_MOVES_PER_REPLY) {
            self.relocate_straggler(now, id, (task, run), None, out);
        }
    }

    /// Whether another worker could take a task now. Also makes the task avoid its present worker.
    pub(super) fn fits_elsewhere(&mut self, now: Time, id: &WorkerId, task: TaskId) -> bool {
        let Some(step) = self.step(task).cloned() else { return false };
        let Some(workflow) = self.workflows.get(&task.workflow) else { return false };
        let service = workflow.submission.service.clone();
        self.avoid(now, task, id);
        let requirements = Requirements::new(&step, &mut self.colocation);
        if self.failed_searches.contains(now, &service, &step) {
            return false;
        }
        let fits = self.choose_elsewhere(now, task, &service, &requirements).is_some();
        if !fits {
            self.failed_searches.note(now, service, &step);
        }
        fits
    }

    /// Moves or copies a task to another worker, if one has room. Without `evidence`, it was found by its estimate.
    pub(super) fn relocate_straggler(
        &mut self,
        now: Time,
        id: &WorkerId,
        (task, run): (TaskId, RunId),
        evidence: Option<&MoveEvidence>,
        out: &mut Vec<Effect>,
    ) {
        let Some(step) = self.step(task).cloned() else { return };
        let Some(workflow) = self.workflows.get(&task.workflow) else { return };
        let service = workflow.submission.service.clone();
        let Some(state) = self.task_mut(task) else { return };
        if state.attempts.len() > 1 || state.slow_moves >= MAX_MOVES {
            return;
        }
        if !step.speculative && !self.may_be_unavailable(task) {
            return;
        }
        self.avoid(now, task, id);
        if step.speculative && !self.may_start() {
            return;
        }
        let requirements = Requirements::new(&step, &mut self.colocation);
        // Without another worker it stays where it is.
        let Some(new_worker) = self.choose_elsewhere(now, task, &service, &requirements) else {
            return;
        };
        match evidence {
            // Another slow worker would gain nothing.
            Some(_) if self.workers.get(&new_worker).is_some_and(|worker| worker.is_slow(now)) => {
                return;
            }
            Some(evidence) => self.note_move(now, id, (task, run), step.speculative, evidence),
            None => {
                let copied = step.speculative;
                log::info!(task:%, run:%, worker:% = id, copied; "straggler_moved");
            }
        }
        if let Some(state) = self.task_mut(task) {
            state.slow_moves += 1;
        }
        if step.speculative {
            self.start_attempt(now, task, &requirements, &new_worker, None, out);
        } else {
            self.stop_runs(now, id, StopReason::Slow, out, |other_task, other_run| {
                other_task == task && other_run == run
            });
        }
    }
}
