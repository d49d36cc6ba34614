//! Metrics of both entries and schedulers.

use {
    super::{
        SecondsGauge,
        labels::{AppendResult, ByAppendResult},
        latency_histogram, set_seconds,
    },
    egretlb_types::Offset,
    prometheus_client::{
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::{Registry, Unit},
    },
    std::time::Duration,
};

/// Metrics of the control stream, the log and the configuration.
#[derive(Clone, Debug)]
pub struct CommonMetrics {
    config_version: Gauge,
    control_read_age: SecondsGauge,
    log_appends: Family<ByAppendResult, Counter>,
    log_append_latency: Histogram,
    peer_bytes: Counter,
}

impl CommonMetrics {
    pub(super) fn new(registry: &mut Registry) -> Self {
        let metrics = CommonMetrics {
            config_version: Gauge::default(),
            control_read_age: SecondsGauge::default(),
            log_appends: Family::default(),
            log_append_latency: latency_histogram(),
            peer_bytes: Counter::default(),
        };
        registry.register(
            "config_version",
            "Offset of the configuration in force; -1 while there is none",
            metrics.config_version.clone(),
        );
        registry.register_with_unit(
            "control_read_age",
            "Time since the last answered read of the control stream was sent",
            Unit::Seconds,
            metrics.control_read_age.clone(),
        );
        registry.register(
            "log_appends",
            "Appends to the log service by what is known of them",
            metrics.log_appends.clone(),
        );
        registry.register_with_unit(
            "log_append_latency",
            "Time from an append to its answer",
            Unit::Seconds,
            metrics.log_append_latency.clone(),
        );
        registry.register_with_unit(
            "peer_sent",
            "Payload sent to other egretlb processes",
            Unit::Bytes,
            metrics.peer_bytes.clone(),
        );
        metrics.config_version.set(NO_VERSION);
        metrics
    }

    /// Sets the version of the configuration in force.
    pub fn set_config_version(&self, version: Option<Offset>) {
        let version = version.and_then(|version| i64::try_from(version.0).ok());
        self.config_version.set(version.unwrap_or(NO_VERSION));
    }

    /// Sets the time since the last answered read of the control stream was sent.
    pub fn set_control_read_age(&self, age: Duration) {
        set_seconds(&self.control_read_age, age);
    }

    /// Records the result and latency of an append to the log.
    pub fn appended(&self, result: AppendResult, took: Duration) {
        self.log_appends.get_or_create(&ByAppendResult { result }).inc();
        self.log_append_latency.observe(took.as_secs_f64());
    }

    /// Counts bytes sent to another egretlb process.
    pub fn sent_to_peer(&self, bytes: u64) {
        self.peer_bytes.inc_by(bytes);
    }
}

/// Value of `config_version` while no configuration is in force; offsets start at 0.
const NO_VERSION: i64 = -1;
