//! How many workers of a service are idle.
//!
//! Where idle workers are scarce, best-effort tasks first use what latency-critical tasks leave to them, so that the few
//! workers where anything may run stay open. Where many are idle that gains nothing, and each error of the estimates
//! puts a latency-critical task over its target; so tasks of the two kinds are kept apart.

use {
    super::{Scheduler, Worker},
    compact_str::CompactString,
    egretlb_types::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// Interval between two counts, which scan all workers.
const COUNT_INTERVAL: Duration = Duration::from_millis(250);

/// Share of idle workers from which the two kinds of tasks are kept apart, in percent.
const MIN_IDLE_PERCENT: usize = 50;

/// Workers of a service.
#[derive(Clone, Copy, Debug, Default)]
struct WorkerCount {
    eligible: usize,
    idle: usize,
}

/// The services of which many workers are idle.
#[derive(Debug, Default)]
pub(super) struct IdleShare {
    counted_at: Option<Time>,
    mostly_idle: Vec<CompactString>,
}

impl IdleShare {
    /// Whether many workers of a service are idle.
    pub(super) fn is_high(&self, service: &CompactString) -> bool {
        self.mostly_idle.contains(service)
    }
}

impl Worker {
    fn is_idle(&self) -> bool {
        self.attempts.is_empty()
    }
}

impl Scheduler {
    /// Counts the idle workers again if that is due.
    pub(super) fn count_idle_workers(&mut self, now: Time) {
        if self.idle_share.counted_at.is_some_and(|at| now.since(at) < COUNT_INTERVAL) {
            return;
        }
        let mut counts: BTreeMap<&CompactString, WorkerCount> = BTreeMap::new();
        for worker in self.workers.values().filter(|w| w.is_eligible(now, &self.limits)) {
            let count = counts.entry(&worker.info.service).or_default();
            count.eligible += 1;
            count.idle += usize::from(worker.is_idle());
        }
        let is_high = |count: &WorkerCount| count.idle * 100 >= count.eligible * MIN_IDLE_PERCENT;
        let high = counts.into_iter().filter(|(_, count)| is_high(count));
        let mostly_idle = high.map(|(service, _)| service.clone()).collect();
        self.idle_share = IdleShare { counted_at: Some(now), mostly_idle };
    }
}
