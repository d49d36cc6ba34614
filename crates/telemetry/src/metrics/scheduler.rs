//! What a scheduler measures.

use {
    super::{CommonMetrics, SecondsGauge, new_registry, render_registry, set_seconds},
    prometheus_client::{
        metrics::{counter::Counter, gauge::Gauge},
        registry::{Registry, Unit},
    },
    std::time::Duration,
};

/// The VMs of a scheduler's racks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VmCounts {
    /// All of them.
    pub known: usize,
    /// Those in quarantine, as they failed what they were given.
    pub quarantined: usize,
    /// Those out of reach whose leases must have lapsed.
    pub lost: usize,
    /// Tasks that they hold: running, being started or being stopped.
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
    /// Metrics of which nothing has happened yet.
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

    /// What both daemons measure.
    pub fn common(&self) -> &CommonMetrics {
        &self.common
    }

    /// Owns so many shards, under authority of this age.
    pub fn set_ownership(&self, shards: usize, authority_age: Duration) {
        self.shards_owned.set(shards as i64);
        set_seconds(&self.authority_age, authority_age);
    }

    /// So many bytes of journal entries wait for the log, after so many failures in a row.
    pub fn set_journal(&self, held_bytes: usize, failures: u32) {
        self.journal_held.set(held_bytes as i64);
        self.journal_failures.set(i64::from(failures));
    }

    /// The VMs of the owned racks.
    pub fn set_vms(&self, vms: VmCounts) {
        self.vms_known.set(vms.known as i64);
        self.vms_quarantined.set(vms.quarantined as i64);
        self.vms_lost.set(vms.lost as i64);
        self.vm_tasks.set(vms.tasks as i64);
    }

    /// A VM is asked to start a task.
    pub fn start_requested(&self) {
        self.starts.inc();
    }

    /// A task is being evicted.
    pub fn evicted(&self) {
        self.evictions.inc();
    }

    /// A start was lost with its VM or its lease.
    pub fn attempt_lost(&self) {
        self.lost_attempts.inc();
    }

    /// A task was set aside.
    pub fn parked(&self) {
        self.parked.inc();
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
