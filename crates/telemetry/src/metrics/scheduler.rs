//! Metrics of a scheduler.

use {
    super::{CommonMetrics, SecondsGauge, new_registry, render_registry, set_seconds},
    prometheus_client::{
        metrics::{counter::Counter, gauge::Gauge},
        registry::{Registry, Unit},
    },
    std::time::Duration,
};

/// Counts of the VMs in a scheduler's racks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VmCounts {
    /// All VMs.
    pub known: usize,
    /// VMs in quarantine because tasks failed on them.
    pub quarantined: usize,
    /// Unreachable VMs whose leases must have expired.
    pub lost: usize,
    /// Tasks on these VMs: running, being started or being stopped.
    pub tasks: usize,
}

/// The metrics of a scheduler.
#[derive(Debug)]
pub struct SchedulerMetrics {
    registry: Registry,
    common: CommonMetrics,
    shards_owned: Gauge,
    authority_age: SecondsGauge,
    journal_held: Gauge,
    journal_failures: Gauge,
    starts: Counter,
    evictions: Counter,
    lost_attempts: Counter,
    parked: Counter,
    vms_known: Gauge,
    vms_quarantined: Gauge,
    vms_lost: Gauge,
    vm_tasks: Gauge,
}

impl SchedulerMetrics {
    /// Creates the metrics, all zero.
    pub fn new() -> Self {
        let mut registry = new_registry();
        let common = CommonMetrics::new(&mut registry);
        let mut metrics = SchedulerMetrics {
            registry,
            common,
            shards_owned: Gauge::default(),
            authority_age: SecondsGauge::default(),
            journal_held: Gauge::default(),
            journal_failures: Gauge::default(),
            starts: Counter::default(),
            evictions: Counter::default(),
            lost_attempts: Counter::default(),
            parked: Counter::default(),
            vms_known: Gauge::default(),
            vms_quarantined: Gauge::default(),
            vms_lost: Gauge::default(),
            vm_tasks: Gauge::default(),
        };
        metrics.register_ownership();
        metrics.register_tasks();
        metrics.register_vms();
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
            "journal_held",
            "Journal entries that the log hasn't acknowledged",
            Unit::Bytes,
            self.journal_held.clone(),
        );
        registry.register(
            "journal_failures",
            "Appends to the journal that failed in a row",
            self.journal_failures.clone(),
        );
    }

    fn register_tasks(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "task_starts_asked",
            "Starts asked of VMs, those asked again included",
            self.starts.clone(),
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
            "parked_tasks",
            "Tasks set aside, since they failed on several VMs",
            self.parked.clone(),
        );
    }

    fn register_vms(&mut self) {
        let registry = &mut self.registry;
        registry.register("vms_known", "VMs of the owned racks", self.vms_known.clone());
        registry.register(
            "vms_quarantined",
            "VMs that get no tasks since they failed what they started",
            self.vms_quarantined.clone(),
        );
        registry.register(
            "vms_lost",
            "VMs out of reach whose leases must have lapsed",
            self.vms_lost.clone(),
        );
        registry.register(
            "vm_tasks",
            "Tasks that the VMs of the owned racks hold: running, being started or stopped",
            self.vm_tasks.clone(),
        );
    }

    /// Returns the metrics common to entries and schedulers.
    pub fn common(&self) -> &CommonMetrics {
        &self.common
    }

    /// Sets the number of owned shards and the age of the authority over them.
    pub fn set_ownership(&self, shards: usize, authority_age: Duration) {
        self.shards_owned.set(shards as i64);
        set_seconds(&self.authority_age, authority_age);
    }

    /// Sets the size of unacknowledged journal entries and the number of consecutive failures.
    pub fn set_journal(&self, held_bytes: usize, failures: u32) {
        self.journal_held.set(held_bytes as i64);
        self.journal_failures.set(i64::from(failures));
    }

    /// Sets the counts of VMs in the owned racks.
    pub fn set_vms(&self, vms: VmCounts) {
        self.vms_known.set(vms.known as i64);
        self.vms_quarantined.set(vms.quarantined as i64);
        self.vms_lost.set(vms.lost as i64);
        self.vm_tasks.set(vms.tasks as i64);
    }

    /// Counts a start requested of a VM, repeats included.
    pub fn start_requested(&self) {
        self.starts.inc();
    }

    /// Counts an eviction.
    pub fn evicted(&self) {
        self.evictions.inc();
    }

    /// Counts an attempt that ended with its VM or its lease.
    pub fn attempt_lost(&self) {
        self.lost_attempts.inc();
    }

    /// Counts a parked task, which failed on several VMs.
    pub fn parked(&self) {
        self.parked.inc();
    }

    /// Renders all metrics as OpenMetrics text.
    pub fn render(&self) -> String {
        render_registry(&self.registry)
    }
}

impl Default for SchedulerMetrics {
    fn default() -> Self {
        SchedulerMetrics::new()
    }
}
