//! Request outcomes that callers receive.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr, time::Duration},
};

/// Whether a request ran on a backend server; sent to callers as `Egretlb-Ran`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum Ran {
    /// It didn't run: any request may be retried.
    No,
    /// It ran to completion.
    Yes,
    /// It may have run: only idempotent requests may be retried.
    Unknown,
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        })
    }
}

/// The text isn't `no`, `yes` or `unknown`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseRanError;

impl fmt::Display for ParseRanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not an outcome; expected no, yes or unknown")
    }
}

impl std::error::Error for ParseRanError {}

impl FromStr for Ran {
    type Err = ParseRanError;

    fn from_str(text: &str) -> Result<Self, ParseRanError> {
        match text {
            "no" => Ok(Ran::No),
            "yes" => Ok(Ran::Yes),
            "unknown" => Ok(Ran::Unknown),
            _ => Err(ParseRanError),
        }
    }
}

/// Why a request was refused without being run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The class isn't in the current configuration.
    UnknownClass,
    /// It couldn't be answered within the class's target or the caller's deadline.
    TooLate,
    /// The queue of the class is full.
    QueueFull,
    /// No backend server runs the class's service, or all of them are ejected.
    NoBackendServer,
    /// No permit for the request key: its owner is unreachable or lacks authority.
    NoPermit,
    /// Another request with the key is in progress.
    KeyInProgress,
    /// The key was used before with a different request body.
    KeyReused,
    /// The entry is shutting down.
    ShuttingDown,
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NotRunReason::UnknownClass => {
                "unknown class; check the class name with `egretlb config show`"
            }
            NotRunReason::TooLate => "can't be answered in time; come back after Retry-After",
            NotRunReason::QueueFull => "the class's queue is full; come back after Retry-After",
            NotRunReason::NoBackendServer => {
                "no backend server is available for the class; come back after Retry-After"
            }
            NotRunReason::NoPermit => {
                "the request key can't be recorded now; come back after Retry-After"
            }
            NotRunReason::KeyInProgress => {
                "a request with this key is in progress; ask again after Retry-After"
            }
            NotRunReason::KeyReused => {
                "the key was used with another body; use a new key for a new request"
            }
            NotRunReason::ShuttingDown => "this entry is shutting down; send it to another one",
        })
    }
}

/// Value of the `Retry-After` header, in whole seconds, at least one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Serialize, Deserialize)]
pub struct RetryAfter(u32);

impl RetryAfter {
    /// Maximum value, in seconds.
    pub const MAX_SECS: u32 = 600;

    /// Rounds the wait up to a whole second, between 1 s and [`RetryAfter::MAX_SECS`].
    pub fn from_wait(wait: Duration) -> Self {
        let secs = wait.as_micros().div_ceil(1_000_000);
        let secs = u32::try_from(secs).unwrap_or(RetryAfter::MAX_SECS);
        RetryAfter(secs.clamp(1, RetryAfter::MAX_SECS))
    }

    /// The value in seconds.
    pub fn as_secs(self) -> u32 {
        self.0
    }
}

impl fmt::Display for RetryAfter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
