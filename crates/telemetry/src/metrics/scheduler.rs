//! What a scheduler measures.

use {
    super::{
        CommonMetrics, SecondsGauge,
        labels::{ByTaskPhase, TaskPhase},
        latencies, new_registry, render_registry, set_seconds,
    },
    prometheus_client::{
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::{Registry, Unit},
    },
    std::time::Duration,
};

/// The metrics of a scheduler.
#[derive(Debug)]
pub struct SchedulerMetrics {
    registry: Registry,
    common: CommonMetrics,
    shards_owned: Gauge,
    authority_age: SecondsGauge,
    journal_lag: SecondsGauge,
    journal_waiting: Gauge,
    tasks: Family<ByTaskPhase, Gauge>,
    starts: Counter,
    start_delay: Histogram,
    urgent_start_delay: Histogram,
    evictions: Counter,
    lost_attempts: Counter,
    vms_quarantined: Gauge,
    vms_known: Gauge,
}

impl SchedulerMetrics {
    /// Metrics of which nothing has happened yet.
    pub fn new() -> Self {
        let mut registry = new_registry();
        let common = CommonMetrics::new(&mut registry);
        let mut metrics = SchedulerMetrics {
            registry,
            common,
            shards_owned: Gauge::default(),
            authority_age: SecondsGauge::default(),
            journal_lag: SecondsGauge::default(),
            journal_waiting: Gauge::default(),
            tasks: Family::default(),
            starts: Counter::default(),
            start_delay: latencies(),
            urgent_start_delay: latencies(),
            evictions: Counter::default(),
            lost_attempts: Counter::default(),
            vms_quarantined: Gauge::default(),
            vms_known: Gauge::default(),
        };
        metrics.register_ownership();
        metrics.register_tasks();
        metrics
    }

    fn register_ownership(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "shards_owned",
            "Shards that this scheduler owns and decides for",
            self.shards_owned.clone(),
        );
        registry.register_with_unit(
            "authority_age",
            "Time since the read that this scheduler's authority rests on was sent",
            Unit::Seconds,
            self.authority_age.clone(),
        );
        registry.register_with_unit(
            "journal_lag",
            "Age of the oldest journal entry that isn't acknowledged by the log",
            Unit::Seconds,
            self.journal_lag.clone(),
        );
        registry.register(
            "journal_waiting_entries",
            "Journal entries that aren't acknowledged by the log",
            self.journal_waiting.clone(),
        );
    }

    fn register_tasks(&mut self) {
        let registry = &mut self.registry;
        registry.register("tasks", "Tasks of the owned jobs by state", self.tasks.clone());
        registry.register("task_starts", "Starts asked of VMs", self.starts.clone());
        registry.register_with_unit(
            "task_start_delay",
            "Time from a task's submission or eviction to its start",
            Unit::Seconds,
            self.start_delay.clone(),
        );
        registry.register_with_unit(
            "urgent_start_delay",
            "The same for tasks of urgent classes",
            Unit::Seconds,
            self.urgent_start_delay.clone(),
        );
        registry.register(
            "evictions",
            "Tasks stopped to make room or for a service's latency",
            self.evictions.clone(),
        );
        registry.register(
            "lost_attempts",
            "Starts that ended with their VM or with their lease",
            self.lost_attempts.clone(),
        );
        registry.register(
            "vms_quarantined",
            "VMs that get no tasks since they failed what they started",
            self.vms_quarantined.clone(),
        );
        registry.register("vms_known", "VMs of the owned racks", self.vms_known.clone());
    }

    /// What both daemons measure.
    pub fn common(&self) -> &CommonMetrics {
        &self.common
    }

    /// Owns so many shards, under authority of this age.
    pub fn set_ownership(&self, shards: usize, authority_age: Duration) {
        self.shards_owned.set(shards as i64);
        set_seconds(&self.authority_age, authority_age);
    }

    /// So many journal entries wait for the log, the oldest for so long.
    pub fn set_journal(&self, waiting: usize, lag: Duration) {
        self.journal_waiting.set(waiting as i64);
        set_seconds(&self.journal_lag, lag);
    }

    /// So many tasks are in the state.
    pub fn set_tasks(&self, state: TaskPhase, tasks: usize) {
        self.tasks.get_or_create(&ByTaskPhase { state }).set(tasks as i64);
    }

    /// A task was started, so long after its submission or eviction.
    pub fn started(&self, urgent: bool, delay: Duration) {
        self.starts.inc();
        let histogram = if urgent { &self.urgent_start_delay } else { &self.start_delay };
        histogram.observe(delay.as_secs_f64());
    }

    /// A task was evicted.
    pub fn evicted(&self) {
        self.evictions.inc();
    }

    /// A start was lost with its VM or its lease.
    pub fn attempt_lost(&self) {
        self.lost_attempts.inc();
    }

    /// Of so many VMs, so many are in quarantine.
    pub fn set_vms(&self, known: usize, quarantined: usize) {
        self.vms_known.set(known as i64);
        self.vms_quarantined.set(quarantined as i64);
    }

    /// All metrics as OpenMetrics text.
    pub fn render(&self) -> String {
        render_registry(&self.registry)
    }
}

impl Default for SchedulerMetrics {
    fn default() -> Self {
        SchedulerMetrics::new()
    }
}
