//! Errors at the start of a daemon.

use std::{fmt, io, net::SocketAddr};

/// Why a daemon can't start.
#[derive(Debug)]
pub enum StartError {
    /// Listening on an address of the settings failed.
    Listen {
        /// The field under `listen` in the settings.
        field: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The error.
        error: io::Error,
    },
    /// The settings of an entry lack an address for callers.
    NoCallersAddress,
    /// Starting threads failed.
    Threads(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Listen { field, addr, error } => write!(
                f,
                "can't listen on {addr} (listen.{field}): {error}; end the process that uses it \
                 or change the settings"
            ),
            StartError::NoCallersAddress => {
                write!(f, "the settings name no address for callers; add listen.callers")
            }
            StartError::Threads(error) => {
                write!(f, "can't start threads: {error}; raise the limit of threads")
            }
        }
    }
}

impl std::error::Error for StartError {}
