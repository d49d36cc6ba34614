//! Why a daemon can't start.

use std::{fmt, io, net::SocketAddr};

/// Why a daemon can't start.
#[derive(Debug)]
pub enum StartError {
    /// It can't listen on an address of its settings.
    Listen {
        /// The field of the settings.
        field: &'static str,
        /// The address.
        addr: SocketAddr,
        /// Why not.
        error: io::Error,
    },
    /// An entry's settings name no address for callers.
    NoCallersAddress,
    /// Threads can't be started.
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
