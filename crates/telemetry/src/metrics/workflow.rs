//! Metrics of the workflow scheduler.

use {
    super::{SecondsGauge, latency_histogram, new_registry, render_registry, set_seconds},
    prometheus_client::{
        encoding::{EncodeLabelSet, EncodeLabelValue},
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::{Registry, Unit},
    },
    std::time::Duration,
};

/// Kind of answer to a client's request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, EncodeLabelValue)]
pub enum Answered {
    /// Stored or answered.
    Done,
    /// Rejected as invalid.
    Wrong,
    /// Refused for now, nothing stored; the client may retry.
    Refused,
    /// The outcome is unknown.
    Unknown,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct ByAnswer {
    answered: Answered,
}

/// Event of a run of a task. Variant names are label values.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, EncodeLabelValue)]
pub enum RunEvent {
    /// Start command sent.
    Started,
    /// Completed.
    Done,
    /// Failed.
    Failed,
    /// Stopped by a command, or ended with its lease or its gang.
    Stopped,
    /// Lost with its worker.
    Lost,
    /// Abandoned because its task crashes workers.
    GivenUp,
    /// Preempted by a batch task.
    Preempted,
    /// Preempted by a batch task of lower priority; counted among the preempted as well.
    PreemptedByLower,
    /// Evicted for a latency-critical task above its latency target.
    Relieved,
    /// Pace changed.
    Paced,
    /// Stopped to move it next to latency-critical tasks of its colocation group.
    Regrouped,
    /// Moved or copied since it made no progress.
    MovedStalled,
    /// Moved since its worker is slow.
    MovedSlow,
    /// Copied to another worker since its worker is slow.
    Copied,
    /// Slower than its siblings, but left where it is since its worker isn't slow.
    LongKept,
    /// Failed, and its worker was quarantined.
    Quarantined,
    /// Failed in a row with others on its worker, as chance explains.
    FailedByChance,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct ByRunEvent {
    event: RunEvent,
}

/// Result of an interval of a workflow with latency-critical tasks. Variant names are label values.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, EncodeLabelValue)]
pub enum IntervalResult {
    /// Nearly nothing was taken off its value.
    Whole,
    /// Something was taken off.
    Degraded,
    /// Nothing was left.
    Failed,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct ByInterval {
    result: IntervalResult,
    cause: &'static str,
}

/// What a workflow could still reach when one of its tasks was started. Variant names are label values.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, EncodeLabelValue)]
pub enum Reach {
    /// Its end in time.
    InTime,
    /// Only a late end.
    Late,
    /// Only an end too late to be of use.
    Hopeless,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct ByReach {
    reach: Reach,
}

/// Which limit kept a batch task from preempting. Variant names are label values.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, EncodeLabelValue)]
pub enum PreemptionLimit {
    /// Minimum time between two stops of a task.
    StoppedRecently,
    /// Maximum number of a workflow's tasks that are away at once.
    MostlyAway,
    /// Maximum number of a workflow's stops in a minute.
    LimitReached,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct ByPreemptionLimit {
    cause: PreemptionLimit,
}

/// Kind of an unreadable entry. Variant names are label values.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, EncodeLabelValue)]
pub enum EntryKind {
    /// Entry of a worker in the directory.
    Worker,
    /// Configuration from the operator.
    Configuration,
    /// Maintenance wave requested by the operator.
    Wave,
    /// Evacuation requested by the operator.
    Evacuation,
    /// Record written by the scheduler.
    Record,
    /// VM in the list of all VMs.
    Vm,
    /// Run in a worker's list.
    Run,
    /// Ended run in a worker's list.
    End,
    /// Ticket in an answer about which workers may run a step.
    Advice,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct ByEntryKind {
    kind: EntryKind,
}

/// Why a read of the store failed. Variant names are label values.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, EncodeLabelValue)]
pub enum ReadFailure {
    /// More calls than the store allows.
    RateLimited,
    /// Rejected with another status.
    Rejected,
    /// No answer in time.
    TimedOut,
    /// The connection broke before the answer.
    Disconnected,
    /// No connection could be opened.
    NotConnected,
    /// The answer couldn't be decoded.
    Malformed,
}

/// What became of the cancellation of a workflow that isn't stored. Variant names are label values.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, EncodeLabelValue)]
pub enum EarlyCancellation {
    /// Stored: a submission that comes later is void.
    Stored,
    /// Refused, since there are too many.
    Refused,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct ByEarlyCancellation {
    result: EarlyCancellation,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct ByRoute {
    route: String,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct ByReadFailure {
    topic: &'static str,
    cause: ReadFailure,
}

/// Metrics of the workflow scheduler.
#[derive(Debug)]
pub struct WorkflowMetrics {
    registry: Registry,
    answers: Family<ByAnswer, Counter>,
    answer_latency: Histogram,
    runs: Family<ByRunEvent, Counter>,
    intervals: Family<ByInterval, Counter>,
    refused_preemptions: Family<ByPreemptionLimit, Counter>,
    starts: Family<ByReach, Counter>,
    start_wait: Histogram,
    append_latency: Histogram,
    terms: Counter,
    relays: Gauge,
    workers_scanned: Counter,
    leads: Gauge,
    active: Gauge,
    waiting: Gauge,
    config_version: Gauge,
    config_age: SecondsGauge,
    failed_reads: Family<ByReadFailure, Counter>,
    evacuated: Gauge,
    unreadable: Family<ByEntryKind, Counter>,
    refused_submissions: Family<ByRoute, Counter>,
    early_cancellations: Family<ByEarlyCancellation, Counter>,
    kept_early_cancellations: Gauge,
    estimated_delay: Family<ByRoute, SecondsGauge>,
    estimate_age: SecondsGauge,
    load_estimates: Counter,
}

impl Default for WorkflowMetrics {
    fn default() -> Self {
        WorkflowMetrics::new()
    }
}

impl WorkflowMetrics {
    /// Creates the metrics, all zero.
    pub fn new() -> Self {
        let mut metrics = WorkflowMetrics {
            registry: new_registry(),
            answers: Family::default(),
            answer_latency: latency_histogram(),
            runs: Family::default(),
            intervals: Family::default(),
            refused_preemptions: Family::default(),
            starts: Family::default(),
            start_wait: latency_histogram(),
            append_latency: latency_histogram(),
            terms: Counter::default(),
            relays: Gauge::default(),
            workers_scanned: Counter::default(),
            leads: Gauge::default(),
            active: Gauge::default(),
            waiting: Gauge::default(),
            config_version: Gauge::default(),
            config_age: SecondsGauge::default(),
            failed_reads: Family::default(),
            evacuated: Gauge::default(),
            unreadable: Family::default(),
            refused_submissions: Family::default(),
            early_cancellations: Family::default(),
            kept_early_cancellations: Gauge::default(),
            estimated_delay: Family::default(),
            estimate_age: SecondsGauge::default(),
            load_estimates: Counter::default(),
        };
        metrics.register();
        metrics.register_decisions();
        metrics
    }

    fn register_decisions(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "long_running_intervals",
            "Intervals of 2 s of workflows with latency-critical tasks, by result and main cause, leader only",
            self.intervals.clone(),
        );
        registry.register(
            "refused_preemptions",
            "Searches for a long-running task to stop that a limit made fail",
            self.refused_preemptions.clone(),
        );
        registry.register(
            "starts_by_reach",
            "Starts of tasks by what their workflow could still reach, if the queue is ordered by it",
            self.starts.clone(),
        );
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
        registry.register_with_unit(
            "config_age",
            "Time since the configuration in force was last known to be the newest; 0 before the first",
            Unit::Seconds,
            self.config_age.clone(),
        );
        registry.register(
            "failed_reads",
            "Reads of the store that failed, by topic and cause",
            self.failed_reads.clone(),
        );
        registry.register(
            "evacuated_data_centres",
            "Data centres in which nothing may be started",
            self.evacuated.clone(),
        );
        registry.register(
            "unreadable_entries",
            "Entries that couldn't be read, each counted when it is first seen",
            self.unreadable.clone(),
        );
        registry.register(
            "early_cancellations",
            "Cancellations of workflows that aren't stored, by result",
            self.early_cancellations.clone(),
        );
        registry.register(
            "kept_early_cancellations",
            "Cancellations in the store of workflows that aren't stored",
            self.kept_early_cancellations.clone(),
        );
        self.register_admission();
    }

    fn register_admission(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "refused_submissions",
            "Workflows refused since by the estimated delay they can't end in time, by route",
            self.refused_submissions.clone(),
        );
        registry.register_with_unit(
            "estimated_delay",
            "Estimated time until a new workflow starts, by route; none without a backlog",
            Unit::Seconds,
            self.estimated_delay.clone(),
        );
        registry.register_with_unit(
            "estimate_age",
            "Time since the newest estimate of the delays was made; 0 without one",
            Unit::Seconds,
            self.estimate_age.clone(),
        );
        registry.register(
            "load_estimates",
            "Estimates of the delays that this leader recorded",
            self.load_estimates.clone(),
        );
    }

    /// Records an answer to a client; `took` is the time since the request.
    pub fn answered(&self, answered: Answered, took: Duration) {
        self.answers.get_or_create(&ByAnswer { answered }).inc();
        self.answer_latency.observe(took.as_secs_f64());
    }

    /// Counts events of runs.
    pub fn runs(&self, event: RunEvent, count: u64) {
        if count > 0 {
            self.runs.get_or_create(&ByRunEvent { event }).inc_by(count);
        }
    }

    /// Counts intervals of workflows with latency-critical tasks by result and main cause.
    pub fn intervals(&self, result: IntervalResult, cause: &'static str, count: u64) {
        if count > 0 {
            self.intervals.get_or_create(&ByInterval { result, cause }).inc_by(count);
        }
    }

    /// Counts searches for a long-running task to stop that a limit made fail.
    pub fn refused_preemptions(&self, cause: PreemptionLimit, count: u64) {
        if count > 0 {
            self.refused_preemptions.get_or_create(&ByPreemptionLimit { cause }).inc_by(count);
        }
    }

    /// Counts starts by what the workflow could still reach.
    pub fn starts(&self, reach: Reach, count: u64) {
        if count > 0 {
            self.starts.get_or_create(&ByReach { reach }).inc_by(count);
        }
    }

    /// Records how long a started task waited for a worker.
    pub fn started_after(&self, wait: Duration) {
        self.start_wait.observe(wait.as_secs_f64());
    }

    /// Records a successful append of the leader; `took` is the time since its first try.
    pub fn appended(&self, took: Duration) {
        self.append_latency.observe(took.as_secs_f64());
    }

    /// Counts an election of this process as leader.
    pub fn elected(&self) {
        self.terms.inc();
    }

    /// Sets whether this process leads, and its numbers of active workflows and waiting steps.
    pub fn set_load(&self, leads: bool, active: usize, waiting: usize) {
        self.leads.set(i64::from(leads));
        self.active.set(active as i64);
        self.waiting.set(waiting as i64);
    }

    /// Sets the number of VMs that relay this leader's calls.
    pub fn set_relays(&self, relays: usize) {
        self.relays.set(relays as i64);
    }

    /// Counts workers scanned to place tasks.
    pub fn workers_scanned(&self, workers: u64) {
        self.workers_scanned.inc_by(workers);
    }

    /// Sets the version of the configuration in force.
    pub fn set_config(&self, version: u64) {
        self.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Sets the time since the configuration in force was last known to be the newest.
    pub fn set_config_age(&self, age: Duration) {
        set_seconds(&self.config_age, age);
    }

    /// Counts a failed read of a topic.
    pub fn read_failed(&self, topic: &'static str, cause: ReadFailure) {
        self.failed_reads.get_or_create(&ByReadFailure { topic, cause }).inc();
    }

    /// Sets the number of evacuated data centres.
    pub fn set_evacuated(&self, data_centres: usize) {
        self.evacuated.set(i64::try_from(data_centres).unwrap_or(i64::MAX));
    }

    /// Counts an unreadable entry; call it once per entry.
    pub fn unreadable(&self, kind: EntryKind) {
        self.unreadable.get_or_create(&ByEntryKind { kind }).inc();
    }

    /// Counts a workflow refused by the estimated delay.
    pub fn submission_refused(&self, route: &str) {
        self.refused_submissions.get_or_create(&ByRoute { route: route.to_string() }).inc();
    }

    /// Counts a cancellation of a workflow that isn't stored.
    pub fn early_cancellation(&self, result: EarlyCancellation) {
        self.early_cancellations.get_or_create(&ByEarlyCancellation { result }).inc();
    }

    /// Sets the number of cancellations in the store of workflows that aren't stored.
    pub fn set_early_cancellations(&self, count: usize) {
        self.kept_early_cancellations.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the estimated delays by route, and their age.
    pub fn set_estimated_load<'a>(
        &self,
        age: Duration,
        delays: impl Iterator<Item = (&'a str, Duration)>,
    ) {
        set_seconds(&self.estimate_age, age);
        // A route without a backlog must not keep its series.
        self.estimated_delay.clear();
        for (route, delay) in delays {
            let by_route = ByRoute { route: route.to_string() };
            set_seconds(&self.estimated_delay.get_or_create(&by_route), delay);
        }
    }

    /// Counts estimates of the load that this leader recorded.
    pub fn load_estimates(&self, count: u64) {
        self.load_estimates.inc_by(count);
    }

    /// Renders all metrics as OpenMetrics text.
    pub fn render(&self) -> String {
        render_registry(&self.registry)
    }
}
