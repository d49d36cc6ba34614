//! Label sets and label values.

use {
    compact_str::CompactString,
    egretlb_types::{ClassName, NotRunReason},
    prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder},
    std::fmt::{self, Write},
};

/// Outcome of a request, as its caller saw it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The caller got the whole answer.
    Answered,
    /// It was refused without being run.
    Refused,
    /// The caller got an error; the request may have run.
    Failed,
    /// The caller disconnected before the answer.
    CallerGone,
}

impl EncodeLabelValue for Outcome {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        encoder.write_str(match self {
            Outcome::Answered => "answered",
            Outcome::Refused => "refused",
            Outcome::Failed => "failed",
            Outcome::CallerGone => "caller_gone",
        })
    }
}

/// Result of an append to the log.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AppendResult {
    /// It is in the log.
    Appended,
    /// It isn't in the log.
    NotAppended,
    /// It may be in the log; the answer was lost.
    Unknown,
}

impl EncodeLabelValue for AppendResult {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        encoder.write_str(match self {
            AppendResult::Appended => "appended",
            AppendResult::NotAppended => "not_appended",
            AppendResult::Unknown => "unknown",
        })
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Reason(pub(super) NotRunReason);

impl EncodeLabelValue for Reason {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        encoder.write_str(match self.0 {
            NotRunReason::UnknownClass => "unknown_class",
            NotRunReason::TooLate => "too_late",
            NotRunReason::QueueFull => "queue_full",
            NotRunReason::NoBackendServer => "no_backend_server",
            NotRunReason::NoPermit => "no_permit",
            NotRunReason::KeyInProgress => "key_in_progress",
            NotRunReason::KeyReused => "key_reused",
            NotRunReason::ShuttingDown => "shutting_down",
        })
    }
}

/// Name of a class; its characters need no escapes.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Class(CompactString);

impl From<&ClassName> for Class {
    fn from(name: &ClassName) -> Self {
        Class(CompactString::new(name.as_str()))
    }
}

impl EncodeLabelValue for Class {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        encoder.write_str(&self.0)
    }
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct ByClass {
    pub(super) class: Class,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct ByOutcome {
    pub(super) class: Class,
    pub(super) outcome: Outcome,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct ByReason {
    pub(super) reason: Reason,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct ByAppendResult {
    pub(super) result: AppendResult,
}
