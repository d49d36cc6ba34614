//! The command line: parsed into [`low::LowArgs`], then checked and converted into [`Args`].
//!
//! The second step reports flags that the command doesn't use.

mod low;
mod lowered;

pub(crate) use self::lowered::{Action, Args, Command, JobSource, Servers, parse};

use std::{env, ffi::OsString};

/// Environment variables that the command reads.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Env {
    /// `EGRETLB_SERVER`: default of `--server`.
    pub server: Option<OsString>,
    /// `USER`: default of `--by`.
    pub user: Option<OsString>,
}

impl Env {
    /// Reads the environment of this process.
    pub fn of_process() -> Self {
        Env { server: env::var_os("EGRETLB_SERVER"), user: env::var_os("USER") }
    }
}
