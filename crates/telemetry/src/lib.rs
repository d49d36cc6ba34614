//! Logs, metrics and the state dump.
//!
//! A log line is one event: `key=value` pairs, the first of them the time, the level and the
//! event's name. It is made for grep and for machines alike, and a value can never look like a
//! second line or a second pair, whoever sent it.

mod logs;

pub use crate::logs::{InitError, LogOptions, format_line, init};
