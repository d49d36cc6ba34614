//! What the daemon that runs workflows measures.

use {
    super::{latencies, new_registry, render_registry},
    prometheus_client::{
        encoding::{EncodeLabelSet, EncodeLabelValue},
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::{Registry, Unit},
    },
    std::time::Duration,
};

/// How a client's request was answered.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, EncodeLabelValue)]
pub enum Answered {
    /// Stored, or told what was asked.
    Done,
    /// Told what is wrong with it.
    Wrong,
    /// Told to come back; nothing was stored.
    Refused,
    /// Told that nobody knows.
    Unknown,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct ByAnswer {
    answered: Answered,
}

/// What became of runs of tasks.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, EncodeLabelValue)]
pub enum RunEvent {
    /// Ordered to start.
    Started,
    /// Done.
    Done,
    /// Failed.
    Failed,
    /// Stopped by an order, or ended by its lease or its gang.
    Stopped,
    /// Lost with its worker.
    Lost,
    /// Given up with its task, which crashes the workers that start it.
    GivenUp,
    /// Stopped for a task that ends soon.
    Preempted,
    /// Stopped for a serving task over its target.
    Relieved,
    /// Given another pace.
    Paced,
    /// Stopped to run beside serving tasks on which the same fillers press.
    Regrouped,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct ByRunEvent {
    event: RunEvent,
}

/// What kind of entry couldn't be read.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, EncodeLabelValue)]
pub enum EntryKind {
    /// A worker's entry in the directory.
    Worker,
    /// A configuration of the operator.
    Configuration,
    /// A wave of upkeep that the operator asks for.
    Wave,
    /// A record of the system's own.
    Record,
    /// A VM in the list of all VMs.
    Vm,
    /// A run in a worker's list.
    Run,
    /// An end in a worker's list.
    End,
    /// A ticket in an answer on which workers may run a step.
    Advice,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct ByEntryKind {
    kind: EntryKind,
}

/// The metrics of the daemon that runs workflows.
#[derive(Debug)]
pub struct WorkflowMetrics {
    registry: Registry,
    answers: Family<ByAnswer, Counter>,
    answer_latency: Histogram,
    runs: Family<ByRunEvent, Counter>,
    start_wait: Histogram,
    append_latency: Histogram,
    terms: Counter,
    relays: Gauge,
    workers_scanned: Counter,
    leads: Gauge,
    active: Gauge,
    waiting: Gauge,
    config_version: Gauge,
    unreadable: Family<ByEntryKind, Counter>,
}

impl Default for WorkflowMetrics {
    fn default() -> Self {
        WorkflowMetrics::new()
    }
}

impl WorkflowMetrics {
    /// Metrics of which nothing has happened yet.
    pub fn new() -> Self {
        let mut metrics = WorkflowMetrics {
            registry: new_registry(),
            answers: Family::default(),
            answer_latency: latencies(),
            runs: Family::default(),
            start_wait: latencies(),
            append_latency: latencies(),
            terms: Counter::default(),
            relays: Gauge::default(),
            workers_scanned: Counter::default(),
            leads: Gauge::default(),
            active: Gauge::default(),
            waiting: Gauge::default(),
            config_version: Gauge::default(),
            unreadable: Family::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("answers", "Clients' requests by answer", self.answers.clone());
        registry.register_with_unit(
            "answer_latency",
            "Time from a client's request to its answer",
            Unit::Seconds,
            self.answer_latency.clone(),
        );
        registry.register("runs", "Runs of tasks by what became of them", self.runs.clone());
        registry.register_with_unit(
            "start_wait",
            "Time that a step's tasks waited for a worker, leader only",
            Unit::Seconds,
            self.start_wait.clone(),
        );
        registry.register_with_unit(
            "append_latency",
            "Time from the first try of a leader's append to its success",
            Unit::Seconds,
            self.append_latency.clone(),
        );
        registry.register("terms", "Terms that this process led", self.terms.clone());
        registry.register("leads", "1 while this process leads", self.leads.clone());
        registry.register("relays", "VMs that carry this leader's calls", self.relays.clone());
        registry.register(
            "workers_looked_at",
            "Workers that were looked at to place tasks",
            self.workers_scanned.clone(),
        );
        registry.register(
            "active_workflows",
            "Workflows that haven't ended, leader only",
            self.active.clone(),
        );
        registry.register(
            "waiting_steps",
            "Steps with tasks that wait for a worker, leader only",
            self.waiting.clone(),
        );
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "unreadable_entries",
            "Entries that couldn't be read, each counted when it is first seen",
            self.unreadable.clone(),
        );
    }

    /// A client was answered, so long after its request.
    pub fn answered(&self, answered: Answered, took: Duration) {
        self.answers.get_or_create(&ByAnswer { answered }).inc();
        self.answer_latency.observe(took.as_secs_f64());
    }

    /// So many runs had this happen.
    pub fn runs(&self, event: RunEvent, count: u64) {
        if count > 0 {
            self.runs.get_or_create(&ByRunEvent { event }).inc_by(count);
        }
    }

    /// A task was started that had waited so long.
    pub fn started_after(&self, wait: Duration) {
        self.start_wait.observe(wait.as_secs_f64());
    }

    /// An append of the leader got through, so long after its first try.
    pub fn appended(&self, took: Duration) {
        self.append_latency.observe(took.as_secs_f64());
    }

    /// A term of this process began.
    pub fn elected(&self) {
        self.terms.inc();
    }

    /// Whether this process leads, and how much it has to do.
    pub fn set_load(&self, leads: bool, active: usize, waiting: usize) {
        self.leads.set(i64::from(leads));
        self.active.set(active as i64);
        self.waiting.set(waiting as i64);
    }

    /// How many VMs carry this leader's calls.
    pub fn set_relays(&self, relays: usize) {
        self.relays.set(relays as i64);
    }

    /// So many workers were looked at to place tasks.
    pub fn workers_scanned(&self, workers: u64) {
        self.workers_scanned.inc_by(workers);
    }

    /// The configuration in force.
    pub fn set_config(&self, version: u64) {
        self.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// An entry that can't be read was seen for the first time.
    pub fn unreadable(&self, kind: EntryKind) {
        self.unreadable.get_or_create(&ByEntryKind { kind }).inc();
    }

    /// All metrics as text.
    pub fn render(&self) -> String {
        render_registry(&self.registry)
    }
}
