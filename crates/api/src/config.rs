//! Messages to read and propose configurations.

use {
    compact_str::CompactString,
    egretlb_types::{ConfigDocument, Offset, RetryAfter},
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Configuration in force at the queried node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigView {
    /// Version: the offset of its proposal in the log; `None` before the first configuration.
    pub version: Option<Offset>,
    /// The document.
    pub document: ConfigDocument,
}

/// Id of a proposal. A retried proposal keeps its id, so that it takes effect once.
///
/// Serialized as 16 hexadecimal digits, since some JSON parsers lose digits of 64-bit numbers.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ProposalId(pub u64);

impl fmt::Display for ProposalId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Error of parsing a [`ProposalId`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseProposalIdError;

impl fmt::Display for ParseProposalIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a proposal id; write it as 16 hexadecimal digits")
    }
}

impl std::error::Error for ParseProposalIdError {}

impl FromStr for ProposalId {
    type Err = ParseProposalIdError;

    fn from_str(text: &str) -> Result<Self, ParseProposalIdError> {
        if text.len() != 16 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(ParseProposalIdError);
        }
        u64::from_str_radix(text, 16).map(ProposalId).map_err(|_| ParseProposalIdError)
    }
}

impl Serialize for ProposalId {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ProposalId {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = CompactString::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Proposal to replace the configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProposeConfig {
    /// Id of the proposal.
    pub proposal: ProposalId,
    /// Version that the proposal is based on; `None` for the first configuration. If another version
    /// is in force by then, the proposal is rejected, since it would undo changes.
    pub base: Option<Offset>,
    /// Complete new configuration.
    pub document: ConfigDocument,
    /// Author, for the audit record.
    pub by: CompactString,
}

/// Answer to a proposal.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ProposeAnswer {
    /// In the log and accepted; every node applies it within seconds.
    Accepted {
        /// The new version.
        version: Offset,
    },
    /// Rejected because another proposal was accepted first; it has no effect.
    Lost {
        /// Version in force.
        version: Option<Offset>,
        /// Document in force.
        document: Box<ConfigDocument>,
    },
    /// The document is invalid; it wasn't appended to the log.
    Invalid {
        /// Faults, each with its position in the document and how to fix it.
        faults: Vec<String>,
    },
    /// The log couldn't be reached in time. The proposal may or may not be in the log; retry with the
    /// same id.
    Unavailable {
        /// When to retry.
        retry_after: RetryAfter,
    },
}

impl ProposeAnswer {
    /// HTTP status code of the answer.
    pub fn status_code(&self) -> u16 {
        match self {
            ProposeAnswer::Accepted { .. } => 200,
            ProposeAnswer::Lost { .. } => 409,
            ProposeAnswer::Invalid { .. } => 422,
            ProposeAnswer::Unavailable { .. } => 503,
        }
    }
}
