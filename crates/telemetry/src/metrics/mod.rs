//! The metrics of the daemons, each with its unit in its name.
//!
//! Each role has a struct, with a method per event or gauge. Label values are enums and the classes of
//! the configuration, never text from callers: that would make the number of series unbounded, and
//! the text format doesn't escape it.

mod common;
mod entry;
mod labels;
mod scheduler;
mod workflow;

use {
    prometheus_client::{
        encoding::text::encode,
        metrics::{gauge::Gauge, histogram::Histogram},
        registry::Registry,
    },
    std::{sync::atomic::AtomicU64, time::Duration},
};

pub use self::{
    common::CommonMetrics,
    entry::{EntryMetrics, Shares},
    labels::{AppendResult, Outcome},
    scheduler::{SchedulerMetrics, VmCounts},
    workflow::{
        Answered, EarlyCancellation, EntryKind, IntervalResult, PreemptionLimit, Reach,
        ReadFailure, RunEvent, WorkflowMetrics,
    },
};

/// Content type of the rendered metrics.
pub const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// A gauge of seconds.
type SecondsGauge = Gauge<f64, AtomicU64>;

/// Prefix of all metric names.
const PREFIX: &str = "egretlb";

/// Bucket bounds of latency histograms, in seconds. Few, since a configuration may have 5,000 classes.
const LATENCY_BOUNDS: [f64; 11] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 5.0, 30.0];

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BOUNDS)
}

fn new_registry() -> Registry {
    Registry::with_prefix(PREFIX)
}

fn render_registry(registry: &Registry) -> String {
    let mut text = String::new();
    match encode(&mut text, registry) {
        Ok(()) => text,
        Err(e) => unreachable!("writing to a string doesn't fail: {e}"),
    }
}

fn set_seconds(gauge: &SecondsGauge, duration: Duration) {
    gauge.set(duration.as_secs_f64());
}
