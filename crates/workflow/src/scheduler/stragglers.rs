//! Tasks that stand still or are far slower than expected.
//!
//! Load: now and then a few workers let their tasks stand still for seconds, or run them several times
//! slower, while they look well otherwise. A workflow waits for its slowest task, so with ten tasks each
//! a twentieth of such workers delays nearly half of all workflows. A task that may run twice gets a
//! copy elsewhere; another one is stopped and goes on elsewhere.

use {
    super::{
        Attempt, Effect, Phase, PollReply, Requirements, Scheduler, Worker,
        attempt::FULL_PACE_PERCENT, waits::StopReason,
    },
    crate::{RunId, Step, TaskId, WorkerId},
    egretlb_types::Time,
    std::time::Duration,
};

/// A task that hasn't got on for so long stands still. A task of a second gets on by a percent each
/// 10 ms, and one that resumes from a checkpoint waits for a quarter of a second.
const STANDS_AFTER: Duration = Duration::from_millis(900);

/// A worker where tasks stand still gets nothing new for so long.
const STANDING_BAR: Duration = Duration::from_secs(2);

/// A task is slow once it has run for its estimate times this, in percent; estimates of interactive
/// steps are off by a fifth.
const SLOW_PERCENT: u32 = 180;

/// And this much longer, which a short task takes to start.
const SLOW_SLACK: Duration = Duration::from_millis(200);

/// A slow task that is further than this is nearly done: elsewhere it would begin anew.
const WORTH_MOVING_PERCENT: u32 = 50;

/// The most tasks of one worker that are moved at a time.
const MOVES_PER_ANSWER: usize = 6;

/// A run can be judged by its progress after this long: at a usual pace a task of 0.8 s is a third through.
const JUDGED_AFTER: Duration = Duration::from_millis(220);

/// One that resumes from a checkpoint stands still at first, for up to a quarter of a second.
const RESUMED_AFTER: Duration = Duration::from_millis(600);

/// A run is moved if what is left of it takes longer than the whole task elsewhere, times this in percent.
/// Estimates are off by a half at most, slow workers take four times as long and more.
const WORTH_LEAVING_PERCENT: u32 = 150;

/// And this much longer, for the stop and the new start.
const LEAVING_COST: Duration = Duration::from_millis(150);

/// A task is moved so often at most: if it is slow wherever it runs, its estimate is wrong.
const MOST_MOVES: u8 = 2;

/// A speed is measured over this long at least.
const SPEED_SPAN: Duration = Duration::from_millis(100);

/// And over this share of a task's estimate, in percent: progress comes in whole percents, and one of two
/// would be off by a half.
const SPEED_PERCENT: u32 = 8;

/// A worker below this share of the usual speed is slow.
const SLOW_SPEED: f32 = 0.5;

/// What is known of a worker's speed is forgotten after this long; it may have recovered.
const SPEED_FORGOTTEN: Duration = Duration::from_secs(3);

/// The share of a new measurement in a worker's speed.
const SPEED_SHARE: f32 = 0.5;

impl Attempt {
    /// It runs, by the worker's word.
    pub(super) fn set_running(&mut self, now: Time, clock_ms: u64) {
        self.phase = Phase::Running { clock_ms };
        self.confirmed = true;
        (self.running_since, self.progressed_at, self.speed_sample) = (now, now, (now, 0));
    }

    /// The shortest time over which its progress says anything.
    fn telling_span(&self) -> Duration {
        Duration::from_millis(u64::from(self.estimate_ms)) * SPEED_PERCENT / 100
    }

    /// Whether it began too lately to be judged by its progress.
    pub(super) fn is_too_recent_to_judge(&self, now: Time) -> bool {
        let judged_after = JUDGED_AFTER.max(self.telling_span());
        self.estimate_ms > 0 && now.since(self.running_since) < judged_after
    }

    /// How fast it got on since that was last measured, as a multiple of what was estimated.
    pub(super) fn sample_speed(&mut self, now: Time, percent: u32) -> Option<f32> {
        let (since, before) = self.speed_sample;
        let passed = now.since(since);
        let runs = matches!(self.phase, Phase::Running { .. });
        // While it resumes from a checkpoint it stands still in any case.
        let stands = percent == before && passed < RESUMED_AFTER;
        let soon = passed < SPEED_SPAN.max(self.telling_span());
        if self.estimate_ms == 0 || !runs || soon || stands || percent < before {
            return None;
        }
        self.speed_sample = (now, percent);
        let done = (percent - before) as f32 / 100.0 * self.estimate_ms as f32 / 1_000.0;
        Some(done / passed.as_secs_f32())
    }

    /// Whether what is left of it takes longer than the whole task would elsewhere.
    fn lags(&self, now: Time, resumed: bool) -> bool {
        let ran = now.since(self.running_since);
        let patience = if resumed { RESUMED_AFTER } else { JUDGED_AFTER };
        if self.estimate_ms == 0 || ran < patience.max(self.telling_span()) {
            return false;
        }
        let whole =
            Duration::from_millis(u64::from(self.estimate_ms)) * WORTH_LEAVING_PERCENT / 100;
        let left = ran * (100 - self.percent.min(100)) / self.percent.max(1);
        left >= whole + LEAVING_COST
    }
}

impl Worker {
    /// Takes in how fast a task got on here.
    pub(super) fn add_speed_sample(&mut self, now: Time, speed: f32) {
        let known = self.speed.filter(|(_, at)| now.since(*at) < SPEED_FORGOTTEN);
        let mean = known.map_or(speed, |(known, _)| known + SPEED_SHARE * (speed - known));
        self.speed = Some((mean, now));
    }

    /// Whether tasks lately got on slowly here.
    pub(super) fn is_slow(&self, now: Time) -> bool {
        self.speed.is_some_and(|(speed, at)| speed < SLOW_SPEED && now.since(at) < SPEED_FORGOTTEN)
    }
}

enum Straggler {
    Standing,
    Slow,
}

fn judge(now: Time, copy: &Attempt, step: &Step, resumed: bool) -> Option<Straggler> {
    if step.long_running || step.gang || !matches!(copy.phase, Phase::Running { .. }) {
        return None;
    }
    // One that is held back gets on as slowly as it should.
    if copy.pace < FULL_PACE_PERCENT {
        return None;
    }
    let ran = now.since(copy.placed_at);
    if now.since(copy.progressed_at) >= STANDS_AFTER && ran >= STANDS_AFTER {
        return Some(Straggler::Standing);
    }
    if copy.lags(now, resumed) {
        return Some(Straggler::Slow);
    }
    // Fillers are slowed down by what else runs, and their estimates are off by any factor.
    let expected = Duration::from_millis(u64::from(step.estimate_ms)) * SLOW_PERCENT / 100;
    let slow = !step.best_effort && step.estimate_ms > 0 && ran >= expected + SLOW_SLACK;
    (slow && copy.percent < WORTH_MOVING_PERCENT).then_some(Straggler::Slow)
}

impl Scheduler {
    /// Moves what stands still or is slow at a worker that has just been heard.
    pub(super) fn handle_stragglers(
        &mut self,
        now: Time,
        id: &WorkerId,
        reply: &PollReply,
        out: &mut Vec<Effect>,
    ) {
        let Some(worker) = self.workers.get(id) else { return };
        let mut found: Vec<(TaskId, RunId)> = Vec::new();
        let mut standing = 0;
        for ((task, run), copy) in &worker.attempts {
            if reply.may_omit(*task, *run) {
                continue;
            }
            let Some(step) = self.step(*task) else { continue };
            let resumed = step.checkpoints;
            match judge(now, copy, step, resumed) {
                Some(Straggler::Standing) => standing += 1,
                Some(Straggler::Slow) => {}
                None => continue,
            }
            found.push((*task, *run));
        }
        if standing > 0
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.backoff_until = worker.backoff_until.max(now + STANDING_BAR);
        }
        for (task, run) in found.into_iter().take(MOVES_PER_ANSWER) {
            self.relocate_straggler(now, id, task, run, out);
        }
    }

    /// Whether another worker would take a task now.
    pub(super) fn fits_elsewhere(&mut self, now: Time, id: &WorkerId, task: TaskId) -> bool {
        let Some(step) = self.step(task).cloned() else { return false };
        let Some(flow) = self.workflows.get(&task.workflow) else { return false };
        let service = flow.submission.service.clone();
        self.avoid(now, task, id);
        let need = Requirements::new(&step, &mut self.colocation);
        if self.failed_searches.contains(now, &service, &step) {
            return false;
        }
        let fits = self.choose_elsewhere(now, task, &service, &need).is_some();
        if !fits {
            self.failed_searches.note(now, service, &step);
        }
        fits
    }

    fn relocate_straggler(
        &mut self,
        now: Time,
        id: &WorkerId,
        task: TaskId,
        run: RunId,
        out: &mut Vec<Effect>,
    ) {
        let Some(step) = self.step(task).cloned() else { return };
        let Some(flow) = self.workflows.get(&task.workflow) else { return };
        let service = flow.submission.service.clone();
        let Some(state) = self.task_mut(task) else { return };
        if state.attempts.len() > 1 || state.slow_moves >= MOST_MOVES {
            return;
        }
        self.avoid(now, task, id);
        if step.speculative && !self.may_start() {
            return;
        }
        let need = Requirements::new(&step, &mut self.colocation);
        // Without another place it is better off where it is.
        let Some(other) = self.choose_elsewhere(now, task, &service, &need) else { return };
        log::info!(task:%, run:%, worker:% = id, copied = step.speculative; "straggler_moved");
        if let Some(state) = self.task_mut(task) {
            state.slow_moves += 1;
        }
        if step.speculative {
            self.start_attempt(now, task, &need, &other, None, out);
        } else {
            self.stop_runs(now, id, StopReason::Slow, out, |of, number| {
                of == task && number == run
            });
        }
    }
}
