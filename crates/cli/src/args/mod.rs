//! The command line: read in one pass into [`low::LowArgs`], then lowered into one checked
//! [`Args`].
//!
//! The two steps keep apart what was typed and what it means, so that a flag which the command has
//! no use for is an error instead of being passed over.

mod low;
mod lowered;

pub(crate) use self::lowered::{Action, Args, Command, JobSource, Servers, parse};

use std::{env, ffi::OsString};

/// What the command takes from its environment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Env {
    /// `EGRETLB_SERVER`, the servers if `--server` isn't given.
    pub server: Option<OsString>,
    /// `USER`, who proposes a configuration if `--by` isn't given.
    pub user: Option<OsString>,
}

impl Env {
    /// The environment of this process.
    pub fn of_process() -> Self {
        Env { server: env::var_os("EGRETLB_SERVER"), user: env::var_os("USER") }
    }
}
