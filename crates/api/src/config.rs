//! Configuration: what is in force, and proposals.

use {
    compact_str::CompactString,
    egretlb_types::{ConfigDocument, Offset, RetryAfter},
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// The configuration in force at the asked node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigView {
    /// Its version, the offset of its proposal in the log; none before the first.
    pub version: Option<Offset>,
    /// The document.
    pub document: ConfigDocument,
}

/// Names one proposal. A proposal that is sent again, because its answer was lost, keeps its id and
/// takes effect once.
///
/// Written as 16 hexadecimal digits: a number of this size loses digits in some JSON readers.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ProposalId(pub u64);

impl fmt::Display for ProposalId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The text isn't a proposal id.
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

/// Proposes a configuration in place of the one that its author read.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProposeConfig {
    /// The id of the proposal.
    pub proposal: ProposalId,
    /// The version that it was made from; none for the first configuration. If another version has
    /// come into force meanwhile, the proposal loses: its author hasn't seen what it would undo.
    pub base: Option<Offset>,
    /// The whole new configuration.
    pub document: ConfigDocument,
    /// Who proposes it, for the record.
    pub by: CompactString,
}

/// What became of a proposal.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ProposeAnswer {
    /// It is in the log and accepted; every node has it in force within seconds.
    Accepted {
        /// The new version.
        version: Offset,
    },
    /// Another proposal came first. Nothing has changed by this one, and nothing will.
    Lost {
        /// The version now in force.
        version: Option<Offset>,
        /// The document now in force.
        document: Box<ConfigDocument>,
    },
    /// The document has faults; it wasn't put in the log.
    Invalid {
        /// The faults, each with its place in the document and its remedy.
        faults: Vec<String>,
    },
    /// The log couldn't be reached in time. The proposal may or may not be in the log: send the
    /// same one again.
    Unavailable {
        /// When to send it again.
        retry_after: RetryAfter,
    },
}

impl ProposeAnswer {
    /// The HTTP status that the answer is sent with.
    pub fn status_code(&self) -> u16 {
        match self {
            ProposeAnswer::Accepted { .. } => 200,
            ProposeAnswer::Lost { .. } => 409,
            ProposeAnswer::Invalid { .. } => 422,
            ProposeAnswer::Unavailable { .. } => 503,
        }
    }
}
