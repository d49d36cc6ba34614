//! Identifier types.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Maximum length of the name of a VM, class, team, organisation, rack, data centre or job, in
/// bytes. Names are used in headers, log lines and metric labels.
pub const NAME_MAX_BYTES: usize = 64;

/// Maximum length of an idempotency key, in bytes.
pub const KEY_MAX_BYTES: usize = 128;

/// Why a text isn't a valid identifier.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ParseIdError {
    /// The text is empty.
    Empty,
    /// The text is too long.
    TooLong {
        /// Maximum number of bytes.
        limit: usize,
    },
    /// The text contains a character that isn't allowed.
    BadCharacter {
        /// The first such character.
        character: char,
    },
    /// Not a number, or one out of range.
    BadNumber,
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ParseIdError::Empty => write!(f, "the name is empty; give at least one character"),
            ParseIdError::TooLong { limit } => {
                write!(f, "the name is too long; use at most {limit} bytes")
            }
            ParseIdError::BadCharacter { character } => write!(
                f,
                "the character {character:?} isn't allowed; use letters, digits, '-', '_' and '.'"
            ),
            ParseIdError::BadNumber => write!(f, "not a number in range; use decimal digits"),
        }
    }
}

impl std::error::Error for ParseIdError {}

fn check_name(text: &str) -> Result<CompactString, ParseIdError> {
    if text.is_empty() {
        return Err(ParseIdError::Empty);
    }
    if text.len() > NAME_MAX_BYTES {
        return Err(ParseIdError::TooLong { limit: NAME_MAX_BYTES });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|c| !allowed(*c)) {
        Some(character) => Err(ParseIdError::BadCharacter { character }),
        None => Ok(CompactString::new(text)),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(CompactString);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                check_name(text).map($name)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = CompactString::deserialize(d)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

name_type!(
    /// A VM of the platform. It is a worker, and the backend server of the services it runs.
    VmId
);
name_type!(
    /// A data centre of the platform.
    DataCentre
);
name_type!(
    /// A rack of VMs; a failure domain.
    Rack
);
name_type!(
    /// An organisation, which owns classes and teams.
    Organisation
);
name_type!(
    /// A team of an organisation; it has a quota.
    TeamName
);
name_type!(
    /// A class of work with a target.
    ClassName
);
name_type!(
    /// A job: one submission of one or more tasks. Its submitter chooses the name, which makes
    /// submissions idempotent.
    JobId
);

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the next number.
            pub fn next(self) -> Self {
                $name(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                text.parse().map($name).map_err(|_| ParseIdError::BadNumber)
            }
        }
    };
}

number_type!(
    /// The position of a record in a stream of the log service; consecutive within a stream.
    Offset,
    u64
);
number_type!(
    /// Sequence number of a writer's record; duplicates of a record have the same number.
    Seq,
    u64
);
number_type!(
    /// A partition of the state, with one owner at a time.
    ShardId,
    u16
);
number_type!(
    /// The term of a shard's owner; grows with every claim.
    Epoch,
    u64
);
number_type!(
    /// The number of a task's attempt, from 1.
    Attempt,
    u32
);
number_type!(
    /// One incarnation of an egretlb process, drawn at random when it starts. Processes keep no
    /// local state, so a restarted process is a new node.
    NodeId,
    u64
);

number_type!(
    /// Correlates a journal entry or a call with its result, within one reducer.
    Ticket,
    u64
);

/// One of the numbered tasks of a job.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The number of the task in its job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (job, index) = text.rsplit_once('/').ok_or(ParseIdError::BadNumber)?;
        let index = index.parse().map_err(|_| ParseIdError::BadNumber)?;
        Ok(TaskId { job: job.parse()?, index })
    }
}

/// The fencing token of a task's attempt: a worker rejects a start whose token is lower than the
/// highest one it has received for the task.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Fence {
    /// The epoch of the shard's owner that issued the start.
    pub epoch: Epoch,
    /// The number of the attempt.
    pub attempt: Attempt,
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.attempt)
    }
}

/// A caller's `Idempotency-Key`, scoped to one organisation.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestKey {
    /// The organisation that owns the request's class.
    pub member: Organisation,
    /// The caller's text: printable ASCII, at most [`KEY_MAX_BYTES`].
    pub text: CompactString,
}

impl RequestKey {
    /// Validates a caller's text: printable ASCII without blanks, 1 to [`KEY_MAX_BYTES`] bytes.
    pub fn new(member: Organisation, text: &str) -> Result<Self, ParseIdError> {
        RequestKey::check(text).map(|text| RequestKey { member, text })
    }

    /// Validates a caller's text when the organisation isn't known yet.
    pub fn check(text: &str) -> Result<CompactString, ParseIdError> {
        if text.is_empty() {
            return Err(ParseIdError::Empty);
        }
        if text.len() > KEY_MAX_BYTES {
            return Err(ParseIdError::TooLong { limit: KEY_MAX_BYTES });
        }
        match text.chars().find(|c| !c.is_ascii_graphic()) {
            Some(character) => Err(ParseIdError::BadCharacter { character }),
            None => Ok(CompactString::new(text)),
        }
    }
}
