//! Errors of the quick start.

use {
    egretlb_net::{StartError, http::CallFailure},
    std::{fmt, io},
};

/// An error that stops the quick start.
#[derive(Debug)]
pub enum QuickstartError {
    /// A stand-in can't start.
    StandIn(io::Error),
    /// A daemon can't start.
    Daemon(StartError),
    /// A call got no answer.
    Call(CallFailure),
    /// An answer can't be decoded.
    Answer(serde_json::Error),
    /// A condition didn't hold in time.
    TimedOut {
        /// The condition.
        what: &'static str,
    },
    /// The recorded history violates a guarantee.
    Violation {
        /// The violation.
        violation: String,
    },
    /// The output can't be written.
    Write(io::Error),
}

impl fmt::Display for QuickstartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            QuickstartError::StandIn(e) => {
                write!(f, "a stand-in can't start: {e}; free some ports on 127.0.0.1")
            }
            QuickstartError::Daemon(e) => write!(f, "a daemon can't start: {e}"),
            QuickstartError::Call(e) => write!(f, "a call failed: {e}; run it again"),
            QuickstartError::Answer(e) => {
                write!(f, "an answer can't be read: {e}; build all parts from one checkout")
            }
            QuickstartError::TimedOut { what } => {
                write!(f, "gave up waiting until {what}; run it again on a less busy machine")
            }
            QuickstartError::Violation { violation } => {
                write!(f, "a promise was broken, please report this: {violation}")
            }
            QuickstartError::Write(e) => write!(f, "can't write: {e}; check the output"),
        }
    }
}

impl std::error::Error for QuickstartError {}

impl From<CallFailure> for QuickstartError {
    fn from(e: CallFailure) -> Self {
        QuickstartError::Call(e)
    }
}

impl From<serde_json::Error> for QuickstartError {
    fn from(e: serde_json::Error) -> Self {
        QuickstartError::Answer(e)
    }
}

impl From<io::Error> for QuickstartError {
    fn from(e: io::Error) -> Self {
        QuickstartError::Write(e)
    }
}
