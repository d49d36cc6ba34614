//! Statistics of classes learned from worker reports: sizes, run times and interference.
//!
//! They only rank VMs and size reservations; capacity checks don't depend on them. Each node learns
//! from its own VMs, which saves sending statistics between nodes.

mod interference;
mod sizes;

pub use {interference::InterferenceModel, sizes::SizeTable};

use {
    egretlb_types::{ClassName, Resources, Time, worker::WorkerReport},
    std::time::Duration,
};

/// Statistics learned by a node.
#[derive(Debug)]
pub struct ClassStatistics {
    enabled: bool,
    sizes: SizeTable,
    interference: InterferenceModel,
}

impl ClassStatistics {
    /// Creates empty statistics. With `enabled` false nothing is learned, as a baseline to compare
    /// with.
    pub fn new(enabled: bool) -> Self {
        ClassStatistics {
            enabled,
            sizes: SizeTable::default(),
            interference: InterferenceModel::default(),
        }
    }

    /// Learns from one worker report. `class_of` returns the class of an ended task, if known.
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

    /// Resources to reserve for a task of the class with the declared size.
    pub fn committed_size(&self, class: &ClassName, declared: &Resources) -> Resources {
        self.sizes.committed_size(class, declared)
    }

    /// Learned run time of the class, once enough tasks have ended.
    pub fn run_time(&self, class: &ClassName) -> Option<Duration> {
        self.sizes.run_time(class)
    }

    /// Expected slowdown of a task of `of` by one task of `by`; 1.0 doubles its run time.
    pub fn pair_slowdown(&self, of: &ClassName, by: &ClassName) -> f64 {
        self.interference.pair_slowdown(of, by)
    }

    /// Whether enough samples show that tasks of `by` don't slow tasks of `of`.
    pub fn is_harmless(&self, of: &ClassName, by: &ClassName) -> bool {
        self.interference.is_harmless(of, by)
    }

    /// Expected slowdown of all tasks if one more is placed among `neighbours`. Slowdowns of
    /// services have the higher weight.
    pub fn slowdown<'a>(
        &self,
        class: &ClassName,
        service: bool,
        neighbours: impl Iterator<Item = (&'a ClassName, bool)>,
    ) -> f64 {
        /// Weight of a batch task's slowdown, compared with 1 for a service, whose callers wait.
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
