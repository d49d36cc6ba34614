//! The interface to the platform's log service.

use {
    crate::stream::StreamName,
    egretlb_types::Offset,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Why an append certainly had no effect.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum NotAppendedReason {
    /// The log couldn't be reached: no byte of the record was sent.
    Unreachable,
    /// The log responded that it is down or overloaded.
    Refused,
    /// The log responded that the record is too large.
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

/// The outcome of an append. The response may be lost after the append took effect; treating
/// that as a failure would run work twice.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The record is in the stream at this offset.
    Appended(Offset),
    /// The record is not in the stream and won't be.
    NotAppended(NotAppendedReason),
    /// The record may be in the stream, or may still be added later. Append it again: readers
    /// drop the duplicate.
    Unknown,
}

/// One record of a stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its position in the stream.
    pub offset: Offset,
    /// The appended bytes.
    pub bytes: Vec<u8>,
}

/// The outcome of a read.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ReadOutcome {
    /// Records in the order of their offsets, starting at the requested offset.
    Page {
        /// The records; empty if there are none at or after the requested offset.
        records: Vec<Record>,
        /// The offset of the next read.
        next: Offset,
        /// Whether the stream had no record at or after `next`.
        ///
        /// Such a read is assumed to be linearizable: it reflects every append that was
        /// acknowledged, or returned by another read, before this read was sent.
        end: bool,
    },
    /// The requested offset has expired.
    Gone {
        /// The oldest retained offset; the end of the stream if all records have expired.
        oldest: Offset,
    },
    /// The log is down or unreachable.
    Unavailable,
}

/// The platform's log service. Calls block for a bounded time; the runtime makes them on
/// separate threads.
pub trait LogService: Send + Sync {
    /// Appends one record to the stream; the first append creates it.
    fn append(&self, stream: &StreamName, record: &[u8]) -> AppendOutcome;

    /// Reads records from the offset on. An empty stream gives an empty page with `end` set.
    fn read(&self, stream: &StreamName, from: Offset) -> ReadOutcome;
}
