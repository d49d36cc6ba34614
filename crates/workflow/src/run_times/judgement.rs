//! Whether the tasks of a worker are slow because of the worker.
//!
//! The relative speed of a task is its speed divided by that of its siblings elsewhere. On a healthy worker most tasks run
//! at 1, and the tails of some images far below. On a worker slower by some factor, all of these are lower by that factor.
//! So the odds are the product, over the tasks, of how frequent its speed times the factor is on healthy workers, divided
//! by how frequent its speed is.

use {super::histogram::AgedHistogram, egretlb_types::Time, std::time::Duration};

/// Share of workers that are slow at a time, before anything is known of them.
const PRIOR_SLOW: f32 = 0.01;

/// Weight of the assumption on healthy speeds, in seconds of run time; hundreds of tasks outweigh it in a second.
const PRIOR_WEIGHT: f32 = 10.0;

/// Assumed share of tasks at about the speed of their siblings.
const PRIOR_NORMAL: f32 = 0.9;

/// Assumed share of tasks at any other speed, for each bin: a new leader doesn't know yet how many tasks are long.
const PRIOR_OTHER: f32 = 0.02;

/// Maximum weight of one task, as a logarithm of odds. A single task outweighs [`PRIOR_SLOW`] only if its speed is almost
/// never seen on healthy workers.
const MAX_TASK_EVIDENCE: f32 = 8.0;

/// Slowdowns that are considered, in half doublings: 2 to 32 times.
const SLOWDOWNS: std::ops::RangeInclusive<i16> = 2..=10;

/// Probability from which a worker counts as slow.
const SLOW_PROBABILITY: f32 = 0.95;

/// Interval at which the learned shares are applied.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Below this share of its siblings' speed a task is slow.
const SLOW_TASK: f32 = 0.6;

/// What is known of the tasks of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Verdict {
    /// Probability that the worker is slow.
    pub(crate) probability: f32,
    /// How many times it is slower, if it is.
    pub(crate) slowdown: f32,
    /// Number of tasks that were compared.
    pub(crate) tasks: usize,
}

impl Verdict {
    /// Whether the worker is slow.
    pub(crate) fn is_slow(&self) -> bool {
        self.probability >= SLOW_PROBABILITY
    }

    /// Whether the tasks speak for the worker.
    pub(crate) fn is_healthy(&self) -> bool {
        self.tasks > 0 && self.probability < PRIOR_SLOW
    }
}

/// Relative speeds of tasks on healthy workers.
#[derive(Debug)]
pub(crate) struct HealthySpeeds {
    speeds: AgedHistogram,
    /// Logarithms of the shares of the running tasks of healthy workers, by bin. A worker is judged after each of its
    /// replies, so they are kept.
    log_shares: Vec<f32>,
    refreshed_at: Time,
}

impl Default for HealthySpeeds {
    fn default() -> HealthySpeeds {
        let mut healthy = HealthySpeeds {
            speeds: AgedHistogram::of_speeds(),
            log_shares: Vec::new(),
            refreshed_at: Time::ZERO,
        };
        healthy.refresh(Time::ZERO);
        healthy
    }
}

impl HealthySpeeds {
    /// Whether a relative speed is that of a slow task.
    pub(crate) fn is_slow_task(relative: f32) -> bool {
        relative < SLOW_TASK
    }

    /// Adds a sample of a task if most of the other tasks of its worker run normally. Otherwise slow workers would make their
    /// own speed look usual.
    pub(crate) fn learn(&mut self, now: Time, relative: f32, span: Duration, others: &mut [f32]) {
        others.sort_unstable_by(f32::total_cmp);
        let median = others.get(others.len() / 2);
        if median.is_some_and(|median| *median >= SLOW_TASK) {
            // The longer a task runs at a speed, the more often a worker has one at that speed.
            self.speeds.add(now, relative, span.as_secs_f32());
        }
    }

    /// Share of the running tasks of healthy workers that are in a bin. Smoothed, since the samples of one task fall into
    /// neighbouring bins.
    fn frequency(&self, now: Time, bin: i16) -> f32 {
        let assumed = if bin.abs() <= 1 { PRIOR_NORMAL / 3.0 } else { PRIOR_OTHER };
        let weight = |bin| self.speeds.bin_weight(now, bin);
        let smoothed = 0.5 * weight(bin) + 0.25 * (weight(bin - 1) + weight(bin + 1));
        let weight = smoothed + PRIOR_WEIGHT * assumed;
        weight / (self.speeds.weight(now) + PRIOR_WEIGHT)
    }

    fn refresh(&mut self, now: Time) {
        let bins = self.speeds.bins();
        self.log_shares = bins.map(|bin| self.frequency(now, bin).ln()).collect();
        self.refreshed_at = now;
    }

    fn log_share(&self, bin: i16) -> f32 {
        self.log_shares[self.speeds.index(bin)]
    }

    /// Judges a worker by the relative speeds of its tasks.
    pub(crate) fn judge(&mut self, now: Time, relative: &[f32]) -> Verdict {
        if now.since(self.refreshed_at) >= REFRESH_INTERVAL {
            self.refresh(now);
        }
        let bins: Vec<i16> = relative.iter().map(|speed| self.speeds.bin(*speed)).collect();
        let evidence = |slowdown: i16| {
            let of_task = |bin: &i16| {
                let evidence = self.log_share(*bin + slowdown) - self.log_share(*bin);
                evidence.clamp(-MAX_TASK_EVIDENCE, MAX_TASK_EVIDENCE)
            };
            bins.iter().map(of_task).sum::<f32>()
        };
        let best = SLOWDOWNS.map(|slowdown| (evidence(slowdown), slowdown));
        let Some((evidence, slowdown)) = best.max_by(|a, b| a.0.total_cmp(&b.0)) else {
            return Verdict::default();
        };
        let odds = PRIOR_SLOW / (1.0 - PRIOR_SLOW) * evidence.exp();
        Verdict {
            probability: if relative.is_empty() { 0.0 } else { odds / (1.0 + odds) },
            slowdown: (f32::from(slowdown) / 2.0).exp2(),
            tasks: relative.len(),
        }
    }
}

#[cfg(test)]
#[path = "tests/judgement.rs"]
mod tests;
