//! The two file formats: operators' class configuration and a daemon's settings, both JSON with
//! comments.
//!
//! They are two formats because they change at different times, by different people and with
//! different reach. Class configuration states what the co-operative wants of all VMs together; it
//! is proposed through the log and in force everywhere. Settings state where one process listens
//! and what it may use; they are read once at its start and never leave its VM. A file of the one
//! kind given for the other is a list of faults, not a surprise.
//!
//! Every fault of a file is found in one run, each with line and column, what was found, what was
//! expected and what to do. The price is a hand-written lowering from the syntax tree in place of
//! derived code, which would stop at the first fault and lose the places of the others.

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
