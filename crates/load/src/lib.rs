//! Load over sockets: callers that send a bounded number of requests and measure what comes back.
//!
//! It sends to an entry, or straight to a backend server for comparison, with the same client. A
//! closed load (each caller sends the next request when it has the answer) measures capacity; an
//! open one (a fixed rate, whatever the answers) measures what callers see, since it doesn't slow
//! down together with the system. Times count from when a request was due, so that a caller who is
//! late because of a slow answer before doesn't hide it.
//!
//! It refuses any address that isn't on the loopback: it is a measuring tool, not a weapon.

mod args;
mod callers;
mod report;

use std::process::ExitCode;

pub use crate::{
    args::{Load, Parsed, help, parse},
    callers::{Seen, run},
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
