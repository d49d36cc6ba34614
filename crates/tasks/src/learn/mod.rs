//! What is learned of classes from late reports: sizes, run times, and who slows whom down.
//!
//! Learned figures rank and size; they never let a VM be given more than it holds. The trade-off
//! is that a class is learned anew by each node that runs it: a few dozen reports, against a
//! stream of statistics between nodes that the control budget has no room for.

mod interference;
mod sizes;

pub use {interference::InterferenceModel, sizes::SizeTable};

use {
    egretlb_types::{ClassName, Resources, Time, worker::WorkerReport},
    std::time::Duration,
};

/// All that a node has learned.
#[derive(Debug)]
pub struct ClassStatistics {
    enabled: bool,
    sizes: SizeTable,
    interference: InterferenceModel,
}

impl ClassStatistics {
    /// Nothing learned yet. With `enabled` false nothing ever is, as a baseline to measure against.
    pub fn new(enabled: bool) -> Self {
        ClassStatistics {
            enabled,
            sizes: SizeTable::default(),
            interference: InterferenceModel::default(),
        }
    }

    /// Takes in one report of a VM. `class_of` tells the class of an ended task, if still known.
    pub fn observe(
        &mut self,
        now: Time,
        report: &WorkerReport,
        mut class_of: impl FnMut(&egretlb_types::worker::TaskFence) -> Option<ClassName>,
    ) {
        if !self.enabled {
            return;
        }
        for running in &report.running {
            self.sizes.record_usage(&running.class, &running.used);
        }
        for ended in &report.ended {
            if let Some(class) = class_of(&ended.of) {
                let ran = Duration::from_millis(ended.ran_ms);
                self.sizes.record_end(&class, &ended.peak, ran, ended.end);
            }
        }
        self.interference.observe(now, &report.running);
    }

    /// What to commit for a task of the class that is declared to take `declared`.
    pub fn committed_size(&self, class: &ClassName, declared: &Resources) -> Resources {
        self.sizes.committed_size(class, declared)
    }

    /// How long a task of the class runs, once enough of them have ended.
    pub fn run_time(&self, class: &ClassName) -> Option<Duration> {
        self.sizes.run_time(class)
    }

    /// How much a task of `by` is expected to slow a task of `of` down: 1.0 doubles its time.
    pub fn pair_slowdown(&self, of: &ClassName, by: &ClassName) -> f64 {
        self.interference.pair_slowdown(of, by)
    }

    /// Whether tasks of `by` are known to leave tasks of `of` alone.
    pub fn is_harmless(&self, of: &ClassName, by: &ClassName) -> bool {
        self.interference.is_harmless(of, by)
    }

    /// The slowdown expected from putting one more task among `neighbours`, summed over all who
    /// would suffer; a service's counts most, since callers wait for it.
    pub fn slowdown<'a>(
        &self,
        class: &ClassName,
        service: bool,
        neighbours: impl Iterator<Item = (&'a ClassName, bool)>,
    ) -> f64 {
        /// A batch task that runs longer costs throughput, a service's slowness costs callers.
        const BATCH_SHARE: f64 = 0.25;
        if !self.enabled {
            return 0.0;
        }
        let weight = |service: bool| if service { 1.0 } else { BATCH_SHARE };
        let both_ways = |(other, other_service): (&ClassName, bool)| {
            self.pair_slowdown(other, class) * weight(other_service)
                + self.pair_slowdown(class, other) * weight(service)
        };
        neighbours.map(both_ways).sum()
    }
}
