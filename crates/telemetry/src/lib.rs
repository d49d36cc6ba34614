//! Structured logs, metrics and the state dump.
