//! The records that the system keeps in the platform's store: a key and its newest value.
//!
//! All are kept in one partition, so that every reader sees them in the same order. A workflow has up
//! to three records: its submission, a mark if it is cancelled, and its progress. The first two are
//! written by whichever process takes the client's request and never change; the third is written by
//! the leader alone, under its epoch.

use {
    crate::{
        AdviceTerms, AnnouncedRun, Bits, Crash, RunId, TaskId, WorkerId, Workflow, WorkflowId,
    },
    compact_str::CompactString,
    egretlb_types::{Epoch, Seq},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{fmt, net::SocketAddr},
};

/// The version of the values' form; a process passes over a record of another one.
const FORMAT_VERSION: u8 = 5;

/// What a record is about.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Key {
    /// Who leads.
    Leader,
    /// Which workers may run something by a leader's orders.
    Roster,
    /// What a leader has learned of images.
    InterferenceModel,
    /// How far a wave of upkeep is.
    Wave(u64),
    /// A workflow's submission.
    Submission(WorkflowId),
    /// A workflow's cancellation.
    Cancel(WorkflowId),
    /// A workflow's progress.
    Progress(WorkflowId),
}

/// Why a record can't be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordError {
    /// The key is of no known kind.
    UnknownKey,
    /// The value is of another form.
    UnsupportedVersion {
        /// The form's number.
        version: u8,
    },
    /// The value is broken.
    Broken,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordError::UnknownKey => {
                write!(f, "unknown key; does something else write to this topic?")
            }
            RecordError::UnsupportedVersion { version } => {
                write!(f, "value of form {version}; run one version everywhere")
            }
            RecordError::Broken => write!(f, "broken value; read the record again"),
        }
    }
}

impl std::error::Error for RecordError {}

impl Key {
    /// The key as bytes in the store.
    pub fn to_bytes(self) -> Vec<u8> {
        match self {
            Key::Leader => b"leader".to_vec(),
            Key::Roster => b"roster".to_vec(),
            Key::InterferenceModel => b"learned".to_vec(),
            Key::Wave(number) => format!("u/{number}").into_bytes(),
            Key::Submission(id) => format!("w/{id}").into_bytes(),
            Key::Cancel(id) => format!("c/{id}").into_bytes(),
            Key::Progress(id) => format!("p/{id}").into_bytes(),
        }
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// The key is of no known kind.
    pub fn from_bytes(bytes: &[u8]) -> Result<Key, RecordError> {
        match bytes {
            b"leader" => return Ok(Key::Leader),
            b"roster" => return Ok(Key::Roster),
            b"learned" => return Ok(Key::InterferenceModel),
            _ => {}
        }
        let text = std::str::from_utf8(bytes).map_err(|_| RecordError::UnknownKey)?;
        let (kind, id) = text.split_once('/').ok_or(RecordError::UnknownKey)?;
        if kind == "u" {
            return id.parse().map(Key::Wave).map_err(|_| RecordError::UnknownKey);
        }
        let id = id.parse().map_err(|_| RecordError::UnknownKey)?;
        match kind {
            "w" => Ok(Key::Submission(id)),
            "c" => Ok(Key::Cancel(id)),
            "p" => Ok(Key::Progress(id)),
            _ => Err(RecordError::UnknownKey),
        }
    }
}

/// Who leads, and a sign of its life.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The process.
    pub node: CompactString,
    /// Its incarnation, drawn at random when it starts.
    pub incarnation: u64,
    /// Its term; also the fencing token of its orders.
    pub epoch: Epoch,
    /// It has given up its term and gives no more orders.
    pub released: bool,
    /// Where it takes records from followers.
    pub addr: Option<SocketAddr>,
    /// The number of the append that this record came with: a leader that reads it knows that the append
    /// took effect, also if its answer was lost.
    pub seq: Seq,
    /// How long it had led when it sent this, in milliseconds. The roster's times count from the same moment.
    pub term_ms: u64,
}

/// The workers that may run something by a leader's orders.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Roster {
    /// The leader that wrote it.
    pub epoch: Epoch,
    /// The workers.
    pub entries: Vec<RosterEntry>,
}

/// A worker that may run something by a leader's orders.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// The incarnation.
    pub id: WorkerId,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// What a successor has to know of what runs there.
    pub state: RosterState,
}

/// What may run at a worker. Times are in milliseconds of the roster's writer's term: a successor learns from
/// the writer's last sign of life how much of them is over, and needn't wait anew for what has been waited out.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum RosterState {
    /// It has answered in this term, and anything may be started there.
    Open,
    /// It is silent: nothing is started or renewed there until a roster that says otherwise is recorded.
    Unresponsive {
        /// The runs that may be under way there, and no others.
        runs: Vec<(TaskId, RunId)>,
        /// Those of them that had just begun when it fell silent, and may have crashed it.
        just_started: Vec<(TaskId, RunId)>,
        /// When they must have lapsed.
        lapses_ms: u64,
    },
    /// It is about to leave: nothing is started there any more, but leases may still be renewed.
    Draining {
        /// The runs that may be under way there, and no others.
        runs: Vec<(TaskId, RunId)>,
    },
    /// It hasn't answered in this term: a leader before may have started anything there, this one nothing.
    Unreconciled {
        /// When all that runs there must have lapsed.
        lapses_ms: u64,
    },
}

/// A workflow as it was accepted. It holds all that its queue's configuration says of it, so that it
/// can be finished when the queue is gone.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The queue.
    pub route: CompactString,
    /// The service whose workers run the tasks.
    pub service: CompactString,
    /// Urgency: 0 comes first.
    pub priority: u8,
    /// After so many failed runs of one task the workflow has failed.
    pub max_attempts: u32,
    /// The workflow should take at most this many times its longest chain, in thousandths.
    pub stretch_permille: u32,
    /// And this much more, in milliseconds.
    pub slack_ms: u32,
    /// Set if a policy allows only some workers to run a step.
    pub advice: Option<AdviceTerms>,
    /// When it was taken, by the time of day of the process that took it, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// What the client sent.
    pub workflow: Workflow,
}

/// How a workflow ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// All tasks are done.
    Completed,
    /// A task failed as often as its queue allows, or crashes the workers that start it.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// What is recorded of a step.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Tasks that are done.
    pub done: Bits,
    /// Failed runs. Each is counted once, however often its end is read.
    pub failed: Vec<(u32, RunId)>,
    /// Workers that were lost under runs.
    pub crashes: Vec<(u32, Crash)>,
    /// Runs that are started alone, or that may have crashed a silent worker.
    pub announced: Vec<(u32, AnnouncedRun)>,
    /// Checkpoints of tasks that run nowhere.
    pub saved: Vec<(u32, CompactString)>,
}

/// What is recorded of an occurrence that has begun and isn't complete.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct OccurrenceProgress {
    /// Its number.
    pub number: u32,
    /// Its steps.
    pub steps: Vec<StepProgress>,
}

/// What is recorded of a workflow beyond its submission.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// A task has been started.
    pub started: bool,
    /// How the workflow ended, if it has.
    pub outcome: Option<Outcome>,
    /// All occurrences below this number are complete.
    pub complete_below: u32,
    /// Complete ones above it.
    pub complete: Vec<u32>,
    /// Occurrences under way.
    pub occurrences: Vec<OccurrenceProgress>,
}

/// A record: a key with its new value, or without one if the key is dropped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The key.
    pub key: Vec<u8>,
    /// The value; empty if the key is dropped.
    pub value: Vec<u8>,
}

impl Record {
    /// A record with a value.
    pub fn new(key: Key, value: &impl Serialize) -> Record {
        let mut buf = vec![FORMAT_VERSION];
        // Serializing plain data into memory can't fail.
        let value = postcard::to_stdvec(value).unwrap_or_default();
        buf.extend_from_slice(&value);
        Record { key: key.to_bytes(), value: buf }
    }

    /// A record that drops `key`.
    pub fn tombstone(key: Key) -> Record {
        Record { key: key.to_bytes(), value: Vec::new() }
    }

    /// The record as processes hand it to each other: the key's length in a byte, key and value.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(1 + self.size());
        buf.push(u8::try_from(self.key.len()).unwrap_or(u8::MAX));
        buf.extend_from_slice(&self.key);
        buf.extend_from_slice(&self.value);
        buf
    }

    /// Reads what [`Record::to_bytes`] wrote; none if it is broken or not a client's record.
    pub fn from_bytes(bytes: &[u8]) -> Option<Record> {
        let (length, rest) = bytes.split_first()?;
        let (key, value) = rest.split_at_checked(usize::from(*length))?;
        match Key::from_bytes(key) {
            Ok(Key::Submission(_) | Key::Cancel(_)) if !value.is_empty() => {
                Some(Record { key: key.to_vec(), value: value.to_vec() })
            }
            _ => None,
        }
    }

    /// Bytes of key and value.
    pub fn size(&self) -> usize {
        self.key.len() + self.value.len()
    }
}

/// Reads a value that isn't empty.
///
/// # Errors
///
/// The value is of another form, or broken.
pub(crate) fn read_value<T: DeserializeOwned>(value: &[u8]) -> Result<T, RecordError> {
    match value.split_first() {
        Some((&FORMAT_VERSION, rest)) => {
            postcard::from_bytes(rest).map_err(|_| RecordError::Broken)
        }
        Some((&version, _)) => Err(RecordError::UnsupportedVersion { version }),
        None => Err(RecordError::Broken),
    }
}
