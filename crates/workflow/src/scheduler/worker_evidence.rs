//! Straggler mitigation and quarantine by what a worker does to its other tasks, see `docs/design/stragglers.md`.

use {
    super::{
        Attempt, Effect, Phase, PollReply, Scheduler, Worker,
        attempt::FULL_PACE_PERCENT,
        stragglers::{MAX_MOVES_PER_REPLY, MOVE_COST, STALL_BACKOFF},
    },
    crate::{
        RunId, TaskId, WorkerId,
        run_times::{HealthySpeeds, Verdict},
    },
    egretlb_types::Time,
    std::{fmt, time::Duration},
};

/// A speculative task is copied if the expected gain is at least this share of a whole run elsewhere, which the copy costs.
const MIN_COPY_GAIN: f32 = 0.5;

/// Maximum number of waiting steps that are searched for one that needs the capacity of a copy.
const MAX_SEARCHED_STEPS: usize = 256;

/// Probabilities of a slow worker between which the worker is polled more often.
const POLLED_PROBABILITY: std::ops::Range<f32> = 0.05..0.95;

/// How often the backoff after a stall is doubled at most: 16 s.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Why a task is moved.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Cause {
    /// No progress.
    Stalled,
    /// Its worker is slow.
    Slow,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Cause::Stalled => "stalled",
            Cause::Slow => "slow",
        })
    }
}

/// What a move rests on.
#[derive(Clone, Copy, Debug)]
pub(super) struct MoveEvidence {
    pub(super) cause: Cause,
    pub(super) verdict: Verdict,
    /// Speed of the task as a multiple of that of its siblings elsewhere.
    pub(super) relative: f32,
    pub(super) percent: u32,
}

/// Expected times until a task ends.
#[derive(Clone, Copy, Debug)]
struct Outlook {
    /// If it stays.
    here: f32,
    /// If it starts over, or resumes, on a worker that isn't slow.
    elsewhere: f32,
}

impl Outlook {
    /// By the last speed of the run, if its worker is slow by `verdict`. A task that is long by itself takes long elsewhere too.
    fn new(attempt: &Attempt, speed: f32, verdict: &Verdict, has_checkpoints: bool) -> Outlook {
        let whole = attempt.estimate_ms as f32 / 1_000.0 / speed.max(0.01);
        let remaining = whole * (100 - attempt.percent.min(100)) as f32 / 100.0;
        let repeated = if has_checkpoints { remaining } else { whole };
        let elsewhere = repeated / verdict.slowdown.max(1.0) + MOVE_COST.as_secs_f32();
        Outlook { here: remaining, elsewhere }
    }

    /// Gain of a copy elsewhere as a share of its cost, if the worker is slow with this probability. If it isn't, the copy takes
    /// as long.
    fn copy_gain(&self, probability: f32) -> f32 {
        probability * (self.here - self.elsewhere) / self.elsewhere
    }
}

impl Worker {
    /// Keeps new tasks away. A worker that makes no progress at all between two stalls is left alone for longer each time, since
    /// every task that tries it loses a second.
    fn back_off_after_stall(&mut self, now: Time) {
        if now < self.backoff_until {
            return;
        }
        let backoff = STALL_BACKOFF * (1 << self.evidence.stalls.min(MAX_BACKOFF_DOUBLINGS));
        self.backoff_until = now + backoff;
        self.evidence.stalls += 1;
    }

    /// Whether its next speeds may decide whether it is slow.
    pub(super) fn awaits_verdict(&self) -> bool {
        let verdict = &self.evidence.verdict;
        self.has_measured_runs() && POLLED_PROBABILITY.contains(&verdict.probability)
    }
}

impl Scheduler {
    /// Moves tasks of a worker that stalls them or is slow, after its reply to the poll sent at `sent`.
    pub(super) fn handle_stragglers_by_evidence(
        &mut self,
        now: Time,
        id: &WorkerId,
        sent: Time,
        reply: &PollReply,
        out: &mut Vec<Effect>,
    ) {
        if !self.observe_speeds(now, id, sent, reply) {
            return;
        }
        let Some(worker) = self.workers.get(id) else { return };
        let verdict = worker.evidence.verdict;
        let mut moves: Vec<(TaskId, RunId, MoveEvidence)> = Vec::new();
        let mut long_tasks = Vec::new();
        for ((task, run), attempt) in &worker.attempts {
            if reply.may_omit(*task, *run) {
                continue;
            }
            match self.cause_to_move(now, id, *task, attempt, reply.clock_ms) {
                Some(evidence) => moves.push((*task, *run, evidence)),
                None if is_long(attempt, &verdict) => long_tasks.push((*task, *run)),
                None => {}
            }
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        if moves.iter().any(|(.., evidence)| evidence.cause == Cause::Stalled) {
            worker.back_off_after_stall(now);
        }
        for key in long_tasks {
            if let Some(attempt) = worker.attempts.get_mut(&key) {
                attempt.progress.counted_as_long = true;
                self.stats.long_kept += 1;
            }
        }
        for (task, run, evidence) in moves.into_iter().take(MAX_MOVES_PER_REPLY) {
            self.relocate_straggler(now, id, (task, run), Some(&evidence), out);
        }
    }

    /// Whether a task is to be moved or copied, and why.
    fn cause_to_move(
        &self,
        now: Time,
        id: &WorkerId,
        task: TaskId,
        attempt: &Attempt,
        clock_ms: u64,
    ) -> Option<MoveEvidence> {
        let verdict = self.workers.get(id)?.evidence.verdict;
        let step = self.step(task)?;
        let runs = matches!(attempt.phase, Phase::Running { .. });
        // A throttled task is expected to be slow.
        if step.long_running || step.gang || !runs || attempt.pace < FULL_PACE_PERCENT {
            return None;
        }
        let last = attempt.progress.last;
        let relative = last.and_then(|last| last.relative);
        let evidence = |cause| MoveEvidence {
            cause,
            verdict,
            relative: relative.unwrap_or(0.0),
            percent: attempt.percent,
        };
        if self.is_stalled(now, id, task, attempt, clock_ms) {
            return Some(evidence(Cause::Stalled));
        }
        let speed = last?.speed;
        if !HealthySpeeds::is_slow_task(relative?) {
            return None;
        }
        let outlook = Outlook::new(attempt, speed, &verdict, step.checkpoints);
        let worthwhile = if step.speculative {
            outlook.copy_gain(verdict.probability) >= MIN_COPY_GAIN
                && !self.is_capacity_needed(now, task)
        } else {
            verdict.is_slow() && outlook.here > outlook.elsewhere
        };
        worthwhile.then(|| evidence(Cause::Slow))
    }

    fn is_stalled(
        &self,
        now: Time,
        id: &WorkerId,
        task: TaskId,
        attempt: &Attempt,
        clock_ms: u64,
    ) -> bool {
        let meter = &attempt.progress.meter;
        // The usual speed only matters for a run that may be stalled by its estimate.
        meter.is_stalled(clock_ms, attempt.estimate_ms, 1.0) && {
            let usual_speed = self.usual_speed(now, id, task).unwrap_or(1.0);
            meter.is_stalled(clock_ms, attempt.estimate_ms, usual_speed.min(1.0))
        }
    }

    /// Whether tasks other than best-effort ones wait for capacity of the same service.
    fn is_capacity_needed(&self, now: Time, task: TaskId) -> bool {
        let Some(workflow) = self.workflows.get(&task.workflow) else { return true };
        let service = &workflow.submission.service;
        self.queued_steps.iter().take(MAX_SEARCHED_STEPS).any(|key| {
            let waiting = self.workflows.get(&key.workflow);
            waiting.is_some_and(|waiting| waiting.submission.service == *service)
                && !self.is_best_effort(*key)
                && self.step_wait(now, *key) > Duration::ZERO
        })
    }

    /// Counts and logs a move or a copy.
    pub(super) fn note_move(
        &mut self,
        now: Time,
        id: &WorkerId,
        (task, run): (TaskId, RunId),
        copied: bool,
        evidence: &MoveEvidence,
    ) {
        let MoveEvidence { cause, verdict, relative, percent } = evidence;
        match (cause, copied) {
            (Cause::Stalled, _) => self.stats.moved_stalled += 1,
            (Cause::Slow, false) => self.stats.moved_slow += 1,
            (Cause::Slow, true) => self.stats.copied += 1,
        }
        if !self.experience.move_lines.take(now, 0) {
            return;
        }
        let Verdict { probability, slowdown, tasks } = verdict;
        log::info!(
            task:%, run:%, worker:% = id, copied, why:% = cause, percent, relative_speed = relative,
            slow_probability = probability, slowdown, compared_tasks = tasks;
            "straggler_moved"
        );
    }

    /// Notes the end of a run for the evidence on its worker; quarantines the worker if chance doesn't explain its failures.
    pub(super) fn note_end_as_evidence(
        &mut self,
        now: Time,
        id: &WorkerId,
        task: TaskId,
        failed: bool,
    ) {
        let Some(workflow) = self.workflows.get(&task.workflow) else { return };
        let route = workflow.submission.route.clone();
        let rate = self.experience.failure_rates.rate(&route);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let first_failure = worker.evidence.failures.is_clear();
        worker.evidence.failures.add(failed, rate);
        // Failures in a row may be due to the worker, and then say nothing about the route.
        if !failed || first_failure {
            self.experience.failure_rates.add(now, &route, failed);
        }
        if !failed {
            worker.failures = 0;
            worker.evidence.stalls = 0;
            return;
        }
        worker.failures += 1;
        let failures = worker.failures;
        let score = worker.evidence.failures;
        if score.is_faulty() {
            worker.quarantined_until = now + self.limits.quarantine;
            self.stats.quarantined += 1;
            self.quarantined.push(id.clone());
            let odds = score.odds().min(1e9) as u64;
            log::warn!(worker:% = id, failures, odds, usual_rate = rate; "worker_quarantined");
        } else if failures >= self.limits.worker_fault_threshold {
            self.stats.failures_by_chance += 1;
        }
    }
}

/// Whether a task is slow by itself, so that it stays, and hasn't been counted yet.
fn is_long(attempt: &Attempt, verdict: &Verdict) -> bool {
    let relative = attempt.progress.last.and_then(|last| last.relative);
    !attempt.progress.counted_as_long
        && !verdict.is_slow()
        && relative.is_some_and(HealthySpeeds::is_slow_task)
}
