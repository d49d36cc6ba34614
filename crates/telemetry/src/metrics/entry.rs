//! Metrics of an entry.

use {
    super::{
        CommonMetrics,
        labels::{ByClass, ByOutcome, ByReason, Outcome, Reason},
        latency_histogram, new_registry, render_registry,
    },
    egretlb_types::{ClassName, NotRunReason},
    prometheus_client::{
        metrics::{
            counter::Counter,
            family::{Family, MetricConstructor},
            gauge::Gauge,
            histogram::Histogram,
        },
        registry::{Registry, Unit},
    },
    std::time::Duration,
};

/// Totals over all shares of backend servers that an entry holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Shares {
    /// Slots granted to the entry.
    pub granted: u32,
    /// Granted slots in use.
    pub used: u32,
    /// Backend servers that the entry holds a share of.
    pub servers: u32,
    /// Backend servers among them that are ejected because they are slow or failing.
    pub ejected: u32,
}

/// The metrics of an entry.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    common: CommonMetrics,
    requests: Family<ByOutcome, Counter>,
    latency: Family<ByClass, Histogram, LatencyConstructor>,
    refusals: Family<ByReason, Counter>,
    refusal_latency: Histogram,
    retries: Counter,
    queue_depth: Family<ByClass, Gauge>,
    in_progress: Gauge,
    slots_granted: Gauge,
    slots_used: Gauge,
    servers: Gauge,
    servers_ejected: Gauge,
}

#[derive(Clone, Debug)]
struct LatencyConstructor;

impl MetricConstructor<Histogram> for LatencyConstructor {
    fn new_metric(&self) -> Histogram {
        latency_histogram()
    }
}

impl EntryMetrics {
    /// Creates the metrics, all zero.
    pub fn new() -> Self {
        let mut registry = new_registry();
        let common = CommonMetrics::new(&mut registry);
        let mut metrics = EntryMetrics {
            registry,
            common,
            requests: Family::default(),
            latency: Family::new_with_constructor(LatencyConstructor),
            refusals: Family::default(),
            refusal_latency: latency_histogram(),
            retries: Counter::default(),
            queue_depth: Family::default(),
            in_progress: Gauge::default(),
            slots_granted: Gauge::default(),
            slots_used: Gauge::default(),
            servers: Gauge::default(),
            servers_ejected: Gauge::default(),
        };
        metrics.register_requests();
        metrics.register_gauges();
        metrics
    }

    fn register_requests(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests by class and outcome; those of unknown classes count as refusals only",
            self.requests.clone(),
        );
        registry.register_with_unit(
            "request_latency",
            "Time from a request's arrival to its whole answer, answered requests only",
            Unit::Seconds,
            self.latency.clone(),
        );
        registry.register("refusals", "Requests not run, by reason", self.refusals.clone());
        registry.register_with_unit(
            "refusal_latency",
            "Time from a request's arrival to its refusal",
            Unit::Seconds,
            self.refusal_latency.clone(),
        );
        registry.register(
            "retries",
            "Requests sent to a backend server again, hedges included",
            self.retries.clone(),
        );
    }

    fn register_gauges(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "queue_depth_requests",
            "Requests that wait for a backend server, by class",
            self.queue_depth.clone(),
        );
        registry.register(
            "in_progress_requests",
            "Requests from their arrival to the last byte of their answer",
            self.in_progress.clone(),
        );
        registry.register(
            "share_granted_slots",
            "Slots of backend servers granted to this entry",
            self.slots_granted.clone(),
        );
        registry.register(
            "share_used_slots",
            "Slots of backend servers in use by this entry",
            self.slots_used.clone(),
        );
        registry.register(
            "backend_servers",
            "Backend servers that this entry holds a share of",
            self.servers.clone(),
        );
        registry.register(
            "backend_servers_ejected",
            "Backend servers that get no requests from this entry, as they are slow or failing",
            self.servers_ejected.clone(),
        );
    }

    /// Returns the metrics common to entries and schedulers.
    pub fn common(&self) -> &CommonMetrics {
        &self.common
    }

    /// Records the end of a request of a known class; `took` is the time since its arrival.
    pub fn ended(&self, class: &ClassName, outcome: Outcome, took: Duration) {
        self.requests.get_or_create(&ByOutcome { class: class.into(), outcome }).inc();
        if outcome == Outcome::Answered {
            let label = ByClass { class: class.into() };
            self.latency.get_or_create(&label).observe(took.as_secs_f64());
        }
    }

    /// Records a refusal; `took` is the time since the request's arrival. Call it in addition to
    /// [`EntryMetrics::ended`], which doesn't count requests of unknown classes.
    pub fn refused(&self, reason: NotRunReason, took: Duration) {
        self.refusals.get_or_create(&ByReason { reason: Reason(reason) }).inc();
        self.refusal_latency.observe(took.as_secs_f64());
    }

    /// Counts a retry or hedge.
    pub fn retried(&self) {
        self.retries.inc();
    }

    /// Sets the number of queued requests of a class.
    pub fn set_queue_depth(&self, class: &ClassName, requests: usize) {
        let label = ByClass { class: class.into() };
        self.queue_depth.get_or_create(&label).set(requests as i64);
    }

    /// Sets the number of requests in progress.
    pub fn set_in_progress(&self, requests: usize) {
        self.in_progress.set(requests as i64);
    }

    /// Sets the totals of the shares held.
    pub fn set_shares(&self, shares: Shares) {
        self.slots_granted.set(i64::from(shares.granted));
        self.slots_used.set(i64::from(shares.used));
        self.servers.set(i64::from(shares.servers));
        self.servers_ejected.set(i64::from(shares.ejected));
    }

    /// Removes the series of a class that was removed from the configuration, to free their memory.
    pub fn forget_class(&self, class: &ClassName) {
        let outcomes = [Outcome::Answered, Outcome::Refused, Outcome::Failed, Outcome::CallerGone];
        for outcome in outcomes {
            self.requests.remove(&ByOutcome { class: class.into(), outcome });
        }
        self.latency.remove(&ByClass { class: class.into() });
        self.queue_depth.remove(&ByClass { class: class.into() });
    }

    /// Renders all metrics as OpenMetrics text.
    pub fn render(&self) -> String {
        render_registry(&self.registry)
    }
}

impl Default for EntryMetrics {
    fn default() -> Self {
        EntryMetrics::new()
    }
}
