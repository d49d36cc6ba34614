//! Logs, metrics and the state dump.
//!
//! A log line is one event: `key=value` pairs, starting with the time, the level, the node and the
//! event's name. Values are escaped, so that one can't inject another line or pair.

mod dump;
mod logs;
mod metrics;
mod panics;

pub use crate::{
    dump::{Dump, MAX_DUMP_ITEMS, MAX_DUMP_TEXT, render_dump},
    logs::{InitError, LogOptions, format_line, init, log_event},
    metrics::{
        Answered, AppendResult, CommonMetrics, EarlyCancellation, EntryKind, EntryMetrics,
        IntervalResult, METRICS_CONTENT_TYPE, Outcome, PreemptionLimit, Reach, ReadFailure,
        RunEvent, SchedulerMetrics, Shares, VmCounts, WorkflowMetrics,
    },
    panics::exit_on_panic,
};
