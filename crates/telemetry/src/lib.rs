//! Logs, metrics and the state dump.
//!
//! A log line is one event: `key=value` pairs, the first of them the time, the level and the
//! event's name. It is made for grep and for machines alike, and a value can never look like a
//! second line or a second pair, whoever sent it.

mod dump;
mod logs;
mod metrics;
mod panics;

pub use crate::{
    dump::{Dump, MAX_DUMP_ITEMS, MAX_DUMP_TEXT, render_dump},
    logs::{InitError, LogOptions, format_line, init, log_event},
    metrics::{
        Answered, AppendResult, CommonMetrics, EntryKind, EntryMetrics, METRICS_CONTENT_TYPE,
        Outcome, RunEvent, SchedulerMetrics, Shares, VmCounts, WorkflowMetrics,
    },
    panics::exit_on_panic,
};
