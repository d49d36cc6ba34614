//! The border to the platform's log service.

use {
    crate::stream::StreamName,
    egretlb_types::Offset,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Why an append certainly had no effect.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum NotAppendedReason {
    /// The log couldn't be reached: no byte of the record left this process.
    Unreachable,
    /// The log answered that it is down or that it takes no more appends now.
    Refused,
    /// The log answered that the record is too large for it.
    TooLarge,
}

impl fmt::Display for NotAppendedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NotAppendedReason::Unreachable => {
                "the log service can't be reached; check its address in the settings"
            }
            NotAppendedReason::Refused => {
                "the log service refused the append; it is tried again, check the service's load"
            }
            NotAppendedReason::TooLarge => {
                "the record is too large for the log service; lower the batch size"
            }
        })
    }
}

/// What became of an append. There are three outcomes, not two: an answer may be lost after the
/// append took effect, and a caller who takes that for a failure runs something twice.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The record is in the stream at this offset.
    Appended(Offset),
    /// The record is not in the stream and won't be.
    NotAppended(NotAppendedReason),
    /// The record may be in the stream, or may still get there later. Append it again: readers
    /// drop the second one.
    Unknown,
}

/// One record of a stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its place in the stream.
    pub offset: Offset,
    /// What was appended.
    pub bytes: Vec<u8>,
}

/// What a read gave.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ReadOutcome {
    /// Records in the order of their offsets, beginning at the offset asked for.
    Page {
        /// The records; none if there is nothing after the offset asked for.
        records: Vec<Record>,
        /// Where to read on.
        next: Offset,
        /// Whether the stream had no record at or after `next`.
        ///
        /// The platform is assumed to have seen, for a read that says so, every append that was
        /// acknowledged, or shown by another read, before this read was sent.
        end: bool,
    },
    /// The offset asked for has expired; the oldest record still kept is at `oldest`.
    Gone {
        /// The oldest offset kept; the end of the stream if all has expired.
        oldest: Offset,
    },
    /// The log is down or out of reach.
    Unavailable,
}

/// The platform's log service. Calls block; the runtime makes them on threads of their own and
/// gives up on them in bounded time.
pub trait LogService: Send + Sync {
    /// Appends one record to the stream, which exists from its first record on.
    fn append(&self, stream: &StreamName, record: &[u8]) -> AppendOutcome;

    /// Reads records from the offset on. A stream without records is a page with `end`.
    fn read(&self, stream: &StreamName, from: Offset) -> ReadOutcome;
}
