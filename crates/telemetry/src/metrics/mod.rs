//! The metrics of the daemons, each with its unit in its name.
//!
//! One struct for each role, with a method for each thing that happens, so that a caller can't
//! misspell a name or mix up a unit. Labels are only what is bounded: the classes of the
//! configuration, and enums. A caller's text never becomes a label, since each new one would take
//! memory for good, and the text format doesn't escape it.

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
    workflow::{Answered, EntryKind, RunEvent, WorkflowMetrics},
};

/// The content type of what `render` of the metrics gives.
pub const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// A gauge of seconds.
type SecondsGauge = Gauge<f64, AtomicU64>;

/// The prefix of all names.
const PREFIX: &str = "egretlb";

/// Bounds of latencies, in seconds: from the loopback's to the longest target of a class, each some
/// two and a half times the one before. Finer ones would multiply with up to 5,000 classes.
const LATENCY_BOUNDS: [f64; 11] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 5.0, 30.0];

fn latencies() -> Histogram {
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
