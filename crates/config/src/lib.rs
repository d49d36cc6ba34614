//! The two file formats: operators' class configuration and a daemon's settings, both JSON with
//! comments.
//!
//! Class configuration holds the targets of all classes; it is proposed through the log and
//! applies to the whole system. Settings hold the addresses and limits of one process, which reads
//! them once at start. Passing one kind of file for the other reports faults.
//!
//! A parse reports all faults of a file, each with line, column, what was found, what was expected
//! and the remedy. The syntax tree is therefore lowered by hand: derived deserialization would stop
//! at the first fault.

mod check;
mod classes;
mod diff;
mod fault;
mod job;
mod nearest;
mod reader;
mod render;
mod settings;
mod units;

pub use crate::{
    check::{CheckFault, MAX_CLASSES, MAX_TEAMS, Place, check_document},
    classes::parse_config,
    diff::diff,
    fault::{Fault, FaultKind, Faults, MAX_FAULTS, MAX_FAULTS_SHOWN, Position},
    job::{JobFile, parse_job},
    nearest::nearest,
    reader::{MAX_TEXT_BYTES, read_text},
    render::{render, render_compact},
    settings::{Limits, Listen, Settings, SettingsError, parse_settings, read_settings},
    units::{ByteSize, ParseUnitError, Percentile, Period},
};
