//! Speeds and run times observed by the leader, see [`crate::run_times`]. They are only kept under
//! `Policies::straggler_evidence`.

use {
    super::{
        Attempt, Phase, PollReply, Scheduler, Worker, stragglers::SPEED_VALIDITY, waits::LineBudget,
    },
    crate::{
        RunId, Step, TaskId, WorkerId,
        run_times::{
            FailureRates, FailureScore, HealthySpeeds, RunTimes, SiblingSpeed, SpeedMeter, Verdict,
        },
    },
    egretlb_types::Time,
    std::{collections::VecDeque, time::Duration},
};

/// How long the speed of a run counts against or for its worker. An earlier one shows the worker as it was.
const SPEED_WINDOW: Duration = Duration::from_millis(1_200);

/// Replies to earlier polls are read after this process was frozen, and say nothing about the present.
const MAX_REPLY_AGE: Duration = Duration::from_secs(3);

/// A slow worker is avoided for 6 s, and for twice as long each time that it is found slow again, up to 24 s: tasks that try it
/// lose up to a second.
const MAX_AVOIDED_DOUBLINGS: u32 = 3;

/// Maximum number of ended runs of a worker whose speeds are kept.
const MAX_ENDED_SPEEDS: usize = 16;

/// Maximum number of lines on moves at once, and a second. A day with a slow rack moves some hundred tasks in a second.
const MOVE_LINES: (u32, u32) = (40, 20);

/// What the leader has learned about run times, speeds and failures.
#[derive(Debug)]
pub(super) struct Experience {
    pub(super) run_times: RunTimes,
    pub(super) healthy_speeds: HealthySpeeds,
    pub(super) failure_rates: FailureRates,
    pub(super) move_lines: LineBudget,
}

impl Default for Experience {
    fn default() -> Experience {
        Experience {
            run_times: RunTimes::default(),
            healthy_speeds: HealthySpeeds::default(),
            failure_rates: FailureRates::default(),
            move_lines: LineBudget::new("straggler", MOVE_LINES.0, MOVE_LINES.1),
        }
    }
}

/// The last speed sample of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastSpeed {
    /// As a multiple of the estimated speed.
    pub(super) speed: f32,
    /// As a multiple of the speed of its siblings elsewhere, or of its image; none if there is nothing to compare with.
    pub(super) relative: Option<f32>,
    at: Time,
}

/// Observed progress of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ObservedProgress {
    pub(super) meter: SpeedMeter,
    pub(super) last: Option<LastSpeed>,
    /// It was counted as a long task that stays where it is.
    pub(super) counted_as_long: bool,
}

impl ObservedProgress {
    fn relative_speed(&self, now: Time) -> Option<f32> {
        self.last.filter(|last| now.since(last.at) < SPEED_WINDOW)?.relative
    }
}

/// Evidence on a worker.
#[derive(Debug, Default)]
pub(crate) struct WorkerEvidence {
    /// Relative speeds of runs that have ended.
    ended_speeds: VecDeque<(Time, f32)>,
    pub(super) verdict: Verdict,
    /// Number of times that it was found slow since it last was healthy.
    slow_periods: u32,
    /// Number of times that it stalled its tasks since it last made progress.
    pub(super) stalls: u32,
    pub(super) failures: FailureScore,
}

impl Worker {
    /// Recent relative speeds of its runs other than `excluded`.
    fn relative_speeds(&self, now: Time, excluded: Option<(TaskId, RunId)>) -> Vec<f32> {
        let running = self.attempts.iter().filter(|(key, _)| Some(**key) != excluded);
        let running = running.filter_map(|(_, attempt)| attempt.progress.relative_speed(now));
        let ended = self.evidence.ended_speeds.iter();
        let ended = ended.filter(|(at, _)| now.since(*at) < SPEED_WINDOW);
        running.chain(ended.map(|(_, relative)| *relative)).collect()
    }

    /// Sets what is known of its speed, for the placement of other tasks.
    fn note_verdict(&mut self, now: Time, verdict: Verdict) {
        self.evidence.verdict = verdict;
        if verdict.is_slow() {
            if !self.is_slow(now) {
                self.evidence.slow_periods += 1;
            }
            let doublings = self.evidence.slow_periods.min(MAX_AVOIDED_DOUBLINGS);
            let avoided_for = SPEED_VALIDITY * (1 << doublings);
            self.speed = Some((1.0 / verdict.slowdown, now + (avoided_for - SPEED_VALIDITY)));
        } else if verdict.is_healthy() {
            self.speed = None;
            self.evidence.slow_periods = 0;
        }
    }

    /// Whether it has runs whose estimate can be compared with their progress.
    pub(super) fn has_measured_runs(&self) -> bool {
        self.attempts.values().any(|attempt| attempt.estimate_ms > 0)
    }
}

impl Scheduler {
    /// How long a task of the step is expected to run: its estimate, corrected by the median of what its image has taken lately
    /// as a multiple of the estimates. Tails don't change it.
    pub fn expected_run_time(&self, step: &Step) -> Duration {
        let estimate = Duration::from_millis(u64::from(step.estimate_ms));
        if !self.limits.policies.straggler_evidence || step.long_running || step.best_effort {
            return estimate;
        }
        let ratio = self.experience.run_times.quantile(&step.image, false, 0.5);
        ratio.map_or(estimate, |ratio| estimate.mul_f32(ratio))
    }

    /// Whether a worker isn't on the rack that holds a step's data.
    fn is_away(&self, step: &Step, id: &WorkerId) -> bool {
        let label = step.data_rack.as_ref();
        label.is_some_and(|rack| {
            self.workers.get(id).is_some_and(|worker| !worker.info.has_label(rack))
        })
    }

    /// The speed of a task as a multiple of that of its siblings on other workers, or else of its image.
    fn relative_speed(&self, now: Time, id: &WorkerId, task: TaskId, speed: f32) -> Option<f32> {
        Some(speed / self.usual_speed(now, id, task)?)
    }

    /// The speed of a task's siblings on other workers, or else of its image.
    pub(super) fn usual_speed(&self, now: Time, id: &WorkerId, task: TaskId) -> Option<f32> {
        let step = self.step(task)?;
        let away = self.is_away(step, id);
        let occurrence = self.workflows.get(&task.workflow)?.occurrences.get(&task.occurrence)?;
        let siblings = &occurrence.steps.get(usize::from(task.step))?.speeds;
        siblings.median_elsewhere(now, id, away).or_else(|| {
            let ratio = self.experience.run_times.reliable_median(&step.image, away)?;
            Some(1.0 / ratio)
        })
    }

    fn note_speed(&mut self, now: Time, id: &WorkerId, task: TaskId, speed: f32) {
        let Some(away) = self.step(task).map(|step| self.is_away(step, id)) else { return };
        let sibling = SiblingSpeed { index: task.index, worker: id.clone(), away, speed, at: now };
        if let Some(state) = self.step_state(task) {
            state.speeds.note(sibling);
        }
    }

    /// Measures the speeds of a worker's runs by its reply to the poll sent at `sent`, and judges the worker. Returns whether
    /// the reply is recent enough to judge by.
    pub(super) fn observe_speeds(
        &mut self,
        now: Time,
        id: &WorkerId,
        sent: Time,
        reply: &PollReply,
    ) -> bool {
        if now.since(sent) > MAX_REPLY_AGE {
            return false;
        }
        self.experience.run_times.advance(now);
        let Some(worker) = self.workers.get_mut(id) else { return false };
        let mut sampled = Vec::new();
        for ((task, run), attempt) in &mut worker.attempts {
            let measured = matches!(attempt.phase, Phase::Running { .. }) && attempt.listed;
            if !measured || reply.may_omit(*task, *run) {
                continue;
            }
            let (percent, estimate_ms) = (attempt.percent, attempt.estimate_ms);
            if let Some(sample) =
                attempt.progress.meter.observe(reply.clock_ms, percent, estimate_ms)
            {
                attempt.progress.last =
                    Some(LastSpeed { speed: sample.speed, relative: None, at: now });
                if sample.speed > 0.0 {
                    worker.evidence.stalls = 0;
                }
                sampled.push(((*task, *run), sample));
            }
        }
        for ((task, _), sample) in &sampled {
            self.note_speed(now, id, *task, sample.speed);
        }
        let mut compared = Vec::new();
        for (key, sample) in sampled {
            let Some(relative) = self.relative_speed(now, id, key.0, sample.speed) else {
                continue;
            };
            compared.push((key, relative, sample.span));
            let worker = self.workers.get_mut(id);
            let attempt = worker.and_then(|worker| worker.attempts.get_mut(&key));
            if let Some(last) = attempt.and_then(|attempt| attempt.progress.last.as_mut()) {
                last.relative = Some(relative);
            }
        }
        let Some(worker) = self.workers.get_mut(id) else { return false };
        for (key, relative, span) in compared {
            let mut others = worker.relative_speeds(now, Some(key));
            self.experience.healthy_speeds.learn(now, relative, span, &mut others);
        }
        let verdict = self.experience.healthy_speeds.judge(now, &worker.relative_speeds(now, None));
        worker.note_verdict(now, verdict);
        true
    }

    /// Learns from a run that has succeeded, by the worker's clock when it listed the end.
    pub(super) fn learn_from_completed(
        &mut self,
        now: Time,
        id: &WorkerId,
        task: TaskId,
        attempt: &Attempt,
        clock_ms: u64,
    ) {
        let Phase::Running { clock_ms: started_ms } = attempt.phase else { return };
        // A run that was taken over, or that resumed from a checkpoint, has run for longer than is known here.
        let resumed = attempt.is_restart && attempt.movable;
        if attempt.estimate_ms == 0 || attempt.start_deadline_ms.is_none() || resumed {
            return;
        }
        let run_time_ms = clock_ms.saturating_sub(started_ms).max(1);
        let ratio = run_time_ms as f32 / attempt.estimate_ms as f32;
        let Some(step) = self.step(task) else { return };
        let (image, away) = (step.image.clone(), self.is_away(step, id));
        self.note_speed(now, id, task, 1.0 / ratio);
        let relative = attempt.progress.relative_speed(now);
        let relative = relative.or_else(|| self.relative_speed(now, id, task, 1.0 / ratio));
        let Some(worker) = self.workers.get_mut(id) else { return };
        if let Some(relative) = relative {
            let ended_speeds = &mut worker.evidence.ended_speeds;
            ended_speeds.push_back((now, relative));
            if ended_speeds.len() > MAX_ENDED_SPEEDS {
                ended_speeds.pop_front();
            }
        }
        if !worker.evidence.verdict.is_slow() {
            self.experience.run_times.advance(now);
            self.experience.run_times.add(&image, away, ratio);
        }
    }
}
