//! Counts intervals of workflows with latency-critical tasks by result and cause.
//!
//! Callers value such a workflow for each interval of 2 s: the share of its tasks at work, less the share over their
//! target, which counts four times while best-effort tasks run beside them. These counts show what was taken off, as the
//! leader saw it; nothing is decided by them.

use {
    super::{Attempt, Phase, Scheduler, Worker, attempt::FULL_PACE_PERCENT},
    crate::WorkflowId,
    egretlb_types::Time,
    std::{collections::BTreeMap, time::Duration},
};

const INTERVAL: Duration = Duration::from_secs(2);

/// How often the tasks' states are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// How often a task counts that is over its target beside best-effort tasks.
const BEST_EFFORT_FACTOR: f32 = 4.0;

/// An interval is whole if no more than this was taken off: less than one task of 14 for the whole interval.
const MAX_WHOLE_LOSS: f32 = 0.05;

/// An interval with this value or less has failed.
const FAILED_VALUE: f32 = 0.01;

/// Maximum number of log lines per interval.
const MAX_LINES: usize = 4;

/// What took most off an interval.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum IntervalCause {
    /// Over target beside best-effort tasks, some of them at full pace.
    BestEffort,
    /// Over target beside best-effort tasks that were all throttled or paused.
    ThrottledBestEffort,
    /// Over target without best-effort tasks.
    OwnLoad,
    /// Never started, or starting for the first time.
    NotStarted,
    /// Stopped, moved or lost, and not at work again.
    Down,
}

impl IntervalCause {
    /// Its name, as in metrics.
    pub fn name(self) -> &'static str {
        match self {
            IntervalCause::BestEffort => "BestEffort",
            IntervalCause::ThrottledBestEffort => "ThrottledBestEffort",
            IntervalCause::OwnLoad => "OwnLoad",
            IntervalCause::NotStarted => "NotStarted",
            IntervalCause::Down => "Down",
        }
    }

    /// All causes, in the order of [`IntervalCounts`].
    pub const ALL: [IntervalCause; 5] = [
        IntervalCause::BestEffort,
        IntervalCause::ThrottledBestEffort,
        IntervalCause::OwnLoad,
        IntervalCause::NotStarted,
        IntervalCause::Down,
    ];
}

/// Number of intervals by result; those with a loss by their main cause, in the order of [`IntervalCause::ALL`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct IntervalCounts {
    /// Nearly nothing was taken off.
    pub whole: u64,
    /// Something was taken off.
    pub degraded: [u64; IntervalCause::ALL.len()],
    /// Nothing was left.
    pub failed: [u64; IntervalCause::ALL.len()],
}

/// Sampled states of a workflow's latency-critical tasks in the current interval, as sums over samples.
#[derive(Clone, Copy, Debug, Default)]
struct Samples {
    tasks: f32,
    by_cause: [f32; IntervalCause::ALL.len()],
}

impl Samples {
    /// Returns what each cause took off, as a share.
    fn losses(&self) -> [f32; IntervalCause::ALL.len()] {
        let mut losses = self.by_cause.map(|samples| samples / self.tasks.max(1.0));
        for (loss, cause) in losses.iter_mut().zip(IntervalCause::ALL) {
            if matches!(cause, IntervalCause::BestEffort | IntervalCause::ThrottledBestEffort) {
                *loss *= BEST_EFFORT_FACTOR;
            }
        }
        losses
    }
}

/// The current interval.
#[derive(Debug, Default)]
pub(super) struct IntervalMeter {
    began_at: Time,
    sampled_at: Time,
    workflows: BTreeMap<WorkflowId, Samples>,
}

impl IntervalMeter {
    /// Ends the interval: counts each workflow's result.
    fn finish(&mut self, now: Time, counts: &mut IntervalCounts) {
        self.began_at = now;
        let mut lines = 0;
        for (workflow, samples) in std::mem::take(&mut self.workflows) {
            let losses = samples.losses();
            let lost: f32 = losses.iter().sum();
            let worst =
                (0..losses.len()).max_by(|left, right| losses[*left].total_cmp(&losses[*right]));
            let worst = worst.unwrap_or(0);
            if lost <= MAX_WHOLE_LOSS {
                counts.whole += 1;
            } else if 1.0 - lost > FAILED_VALUE {
                counts.degraded[worst] += 1;
            } else {
                counts.failed[worst] += 1;
                if lines < MAX_LINES {
                    let cause = IntervalCause::ALL[worst];
                    log::info!(workflow:%, cause:?, lost:? = losses; "interval_failed");
                }
                lines += 1;
            }
        }
    }
}

/// Why a latency-critical attempt is over its target, or not at work; `None` if neither.
fn loss_of(worker: &Worker, attempt: &Attempt) -> Option<IntervalCause> {
    let at_work = matches!(attempt.phase, Phase::Running { .. }) && attempt.percent >= 100;
    if !at_work {
        let cause =
            if attempt.is_restart { IntervalCause::Down } else { IntervalCause::NotStarted };
        return Some(cause);
    }
    if attempt.measurement <= attempt.target_ms {
        return None;
    }
    let best_effort = worker.attempts.values().filter(|other| other.best_effort);
    // Paused tasks count as throttled: a sample is an average that still shows them for half a second.
    Some(match best_effort.map(|other| other.pace).max() {
        None => IntervalCause::OwnLoad,
        Some(FULL_PACE_PERCENT) => IntervalCause::BestEffort,
        Some(_) => IntervalCause::ThrottledBestEffort,
    })
}

impl Scheduler {
    /// Samples the states of all latency-critical tasks, and counts the interval when it is over.
    pub(super) fn sample_intervals(&mut self, now: Time) {
        if now.since(self.intervals.sampled_at) < SAMPLE_INTERVAL {
            return;
        }
        let gap = now.since(self.intervals.sampled_at);
        self.intervals.sampled_at = now;
        if gap > INTERVAL {
            // The first sample of a term, or the first after a freeze: what was before isn't known.
            self.intervals.began_at = now;
            self.intervals.workflows.clear();
        }
        if now.since(self.intervals.began_at) >= INTERVAL {
            self.intervals.finish(now, &mut self.stats.intervals);
        }
        self.sample_running();
        self.sample_pending();
    }

    fn sample_running(&mut self) {
        for worker in self.workers.values().filter(|worker| worker.latency_critical > 0) {
            for ((task, _), attempt) in &worker.attempts {
                if !attempt.latency_critical {
                    continue;
                }
                let samples = self.intervals.workflows.entry(task.workflow).or_default();
                samples.tasks += 1.0;
                if let Some(cause) = loss_of(worker, attempt) {
                    samples.by_cause[cause as usize] += 1.0;
                }
            }
        }
    }

    fn sample_pending(&mut self) {
        for key in &self.queued_steps {
            let Some(active) = self.workflows.get(&key.workflow) else { continue };
            let step = active.submission.workflow.steps.get(usize::from(key.step));
            if step.is_none_or(|step| step.target_ms == 0) {
                continue;
            }
            let occurrence = active.occurrences.get(&key.occurrence);
            let state = occurrence.and_then(|state| state.steps.get(usize::from(key.step)));
            let Some(state) = state else { continue };
            let samples = self.intervals.workflows.entry(key.workflow).or_default();
            for index in &state.queue {
                let Some(task) = state.tasks.get(*index as usize) else { continue };
                samples.tasks += 1.0;
                let cause = match task.down_since {
                    Some(_) => IntervalCause::Down,
                    None => IntervalCause::NotStarted,
                };
                samples.by_cause[cause as usize] += 1.0;
            }
        }
    }
}
