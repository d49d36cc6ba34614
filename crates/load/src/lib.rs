//! Load generator: callers send a bounded number of requests over sockets and measure the answers.
//!
//! It sends to an entry, or directly to a backend server for comparison. A closed load (each caller
//! sends the next request after the answer) measures capacity; an open load (a fixed rate) measures
//! latency. Latency counts from when a request was due, which avoids coordinated omission.
//!
//! Only loopback addresses are accepted.

mod args;
mod callers;
mod report;

use std::process::ExitCode;

pub use crate::{
    args::{Load, Parsed, help, parse},
    callers::{LoadResult, run},
    report::report,
};

/// The program's exit codes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The load was sent.
    Done = 0,
    /// The load was sent, and no request was answered.
    NothingAnswered = 1,
    /// The command line is wrong; nothing was sent.
    Usage = 2,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}
