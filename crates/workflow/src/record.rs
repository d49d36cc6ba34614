//! Records in the platform's store: a key and its newest value.
//!
//! All records are in one partition, so that every reader sees them in the same order. A workflow
//! has up to three records: submission, cancellation and progress. The first two are written by the
//! process that handles the client's request and never change. Only the leader writes progress,
//! under its epoch.

use {
    crate::{
        AdviceTerms, AnnouncedRun, Bits, Crash, RunId, SpecError, TaskId, WorkerId, Workflow,
        WorkflowId,
    },
    compact_str::CompactString,
    egretlb_types::{Epoch, Seq},
    serde::{Deserialize, Deserializer, Serialize, de::DeserializeOwned},
    smallvec::SmallVec,
    std::{fmt, net::SocketAddr},
};

/// Version of the value encoding. Records of other versions are skipped.
const FORMAT_VERSION: u8 = 8;

/// What a record describes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Key {
    /// The current leader.
    Leader,
    /// This page of the list of workers that may run tasks on a leader's command.
    Roster(u32),
    /// The interference model that the leader learned.
    InterferenceModel,
    /// The load that the leader estimates.
    Load,
    /// Progress of the maintenance wave with this number.
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
    /// The key isn't one of the forms of [`Key`].
    UnknownKey,
    /// The value has another format version.
    UnsupportedVersion {
        /// The value's version.
        version: u8,
    },
    /// The value can't be decoded.
    Broken,
    /// The submission is beyond the limits for stored workflows.
    Limits(SpecError),
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
            RecordError::Limits(error) => {
                write!(
                    f,
                    "workflow beyond the limits ({error}); does something else write to this topic?"
                )
            }
        }
    }
}

impl std::error::Error for RecordError {}

impl Key {
    /// Encodes the key as stored.
    pub fn to_bytes(self) -> Vec<u8> {
        match self {
            Key::Leader => b"leader".to_vec(),
            Key::Roster(page) => format!("roster/{page}").into_bytes(),
            Key::InterferenceModel => b"learned".to_vec(),
            Key::Load => b"load".to_vec(),
            Key::Wave(number) => format!("u/{number}").into_bytes(),
            Key::Submission(id) => format!("w/{id}").into_bytes(),
            Key::Cancel(id) => format!("c/{id}").into_bytes(),
            Key::Progress(id) => format!("p/{id}").into_bytes(),
        }
    }

    /// Decodes a key.
    ///
    /// # Errors
    ///
    /// The key has an unknown form.
    pub fn from_bytes(bytes: &[u8]) -> Result<Key, RecordError> {
        match bytes {
            b"leader" => return Ok(Key::Leader),
            b"learned" => return Ok(Key::InterferenceModel),
            b"load" => return Ok(Key::Load),
            _ => {}
        }
        let text = std::str::from_utf8(bytes).map_err(|_| RecordError::UnknownKey)?;
        let (kind, id) = text.split_once('/').ok_or(RecordError::UnknownKey)?;
        if kind == "u" {
            return id.parse().map(Key::Wave).map_err(|_| RecordError::UnknownKey);
        }
        if kind == "roster" {
            return id.parse().map(Key::Roster).map_err(|_| RecordError::UnknownKey);
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

/// The current leader and its latest heartbeat.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the leader's process.
    pub node: CompactString,
    /// Random number drawn when the process starts.
    pub incarnation: u64,
    /// The leader's term, which is also the fencing token of its commands.
    pub epoch: Epoch,
    /// Whether the leader has ended its term and sends no more commands.
    pub released: bool,
    /// Address that accepts records from followers.
    pub addr: Option<SocketAddr>,
    /// Sequence number of the append that included this record. A leader that reads it knows that
    /// the append succeeded, even if the answer was lost.
    pub seq: Seq,
    /// Time since the start of the term at which this was sent, in milliseconds. Times in the
    /// roster use the same origin.
    pub term_ms: u64,
    /// Earlier terms, the newest first. A successor uses them if this leader has recorded no roster.
    pub earlier: SmallVec<[EarlierTerm; 2]>,
}

/// What a leader knows of an earlier term when it sends a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EarlierTerm {
    /// Its epoch.
    pub epoch: Epoch,
    /// Time since its start, in milliseconds.
    pub term_ms: u64,
    /// How much longer its leader, and those between it and the sender, may send commands, in milliseconds.
    pub commands_ms: u64,
}

/// A page of the list of workers that may run tasks on a leader's command.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RosterPage {
    /// Epoch of the leader that wrote it.
    pub epoch: Epoch,
    /// The workers.
    pub entries: Vec<RosterEntry>,
}

/// A worker that may run tasks on a leader's command.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// The worker's incarnation.
    pub id: WorkerId,
    /// Address that accepts commands.
    pub addr: SocketAddr,
    /// What may run there, as far as the leader knows.
    pub state: RosterState,
}

/// What may run on a worker, and whether runs may be started there. Times are in milliseconds since
/// the start of the writer's term. A new leader converts them with the writer's last heartbeat.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum RosterState {
    /// The worker answered in this term, and any task may be started there.
    Open,
    /// The worker lost contact with the leader. No start or renewal is sent to it until a roster that
    /// lists it as open or draining is recorded.
    Unresponsive {
        /// All runs that may be active there.
        runs: Vec<(TaskId, RunId)>,
        /// The runs that had just started when contact was lost: one may have crashed the worker.
        just_started: Vec<(TaskId, RunId)>,
        /// When the leases of these runs have expired, in milliseconds of the writer's term.
        lapses_ms: u64,
    },
    /// The worker is shutting down: no new starts, but leases may be renewed.
    Draining {
        /// All runs that may be active there.
        runs: Vec<(TaskId, RunId)>,
    },
    /// The worker hasn't answered in this term. An earlier leader may have started any task there.
    Unreconciled {
        /// When the leases of all runs there have expired, in milliseconds of the writer's term.
        lapses_ms: u64,
    },
}

/// An accepted workflow, with its queue's settings, so that it can finish after the queue is
/// deleted.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredSubmission", into = "StoredSubmission")]
pub struct Submission {
    /// Name of the queue that the workflow was submitted to.
    pub route: CompactString,
    /// The service whose workers run the tasks.
    pub service: CompactString,
    /// Priority; 0 is most urgent.
    pub priority: u64,
    /// Number of failed runs of one task after which the workflow fails.
    pub max_attempts: u32,
    /// Target duration of the workflow as a multiple of its critical path, in thousandths.
    pub stretch_permille: u32,
    /// Additional time in the target duration, in milliseconds.
    pub slack_ms: u32,
    /// Set if a policy restricts which workers may run a step.
    pub advice: Option<AdviceTerms>,
    /// Wall-clock time of acceptance, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// The workflow as submitted.
    pub workflow: Workflow,
}

/// A submission as stored. Processes of earlier versions ignore what follows the workflow.
#[derive(Serialize, Deserialize)]
struct StoredSubmission {
    route: CompactString,
    service: CompactString,
    /// The priority, or 255 if it is lower.
    priority_byte: u8,
    max_attempts: u32,
    stretch_permille: u32,
    slack_ms: u32,
    advice: Option<AdviceTerms>,
    accepted_ms: u64,
    workflow: Workflow,
    /// Missing in records of earlier versions.
    #[serde(deserialize_with = "deserialize_last")]
    priority: Option<u64>,
}

/// Deserializes the last field of a record, which may be missing.
fn deserialize_last<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u64>, D::Error> {
    Ok(Option::deserialize(deserializer).unwrap_or(None))
}

impl From<Submission> for StoredSubmission {
    fn from(submission: Submission) -> StoredSubmission {
        StoredSubmission {
            route: submission.route,
            service: submission.service,
            priority_byte: u8::try_from(submission.priority).unwrap_or(u8::MAX),
            max_attempts: submission.max_attempts,
            stretch_permille: submission.stretch_permille,
            slack_ms: submission.slack_ms,
            advice: submission.advice,
            accepted_ms: submission.accepted_ms,
            workflow: submission.workflow,
            priority: Some(submission.priority),
        }
    }
}

impl From<StoredSubmission> for Submission {
    fn from(stored: StoredSubmission) -> Submission {
        Submission {
            route: stored.route,
            service: stored.service,
            priority: stored.priority.unwrap_or(u64::from(stored.priority_byte)),
            max_attempts: stored.max_attempts,
            stretch_permille: stored.stretch_permille,
            slack_ms: stored.slack_ms,
            advice: stored.advice,
            accepted_ms: stored.accepted_ms,
            workflow: stored.workflow,
        }
    }
}

impl Submission {
    /// Returns the target duration of the workflow, in milliseconds.
    pub fn target_ms(&self) -> u64 {
        let critical_path_ms = self.workflow.critical_path_ms();
        let stretched = critical_path_ms.saturating_mul(u64::from(self.stretch_permille)) / 1_000;
        stretched.saturating_add(u64::from(self.slack_ms))
    }

    /// Returns by when the workflow should be complete, in milliseconds since 1970.
    pub(crate) fn due_ms(&self) -> u64 {
        self.accepted_ms.saturating_add(self.target_ms())
    }
}

/// How a workflow ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// All tasks completed.
    Completed,
    /// A task used up its attempts, or has crashed too many workers.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// Recorded progress of a step.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Finished tasks.
    pub done: Bits,
    /// Failed runs with their task indexes. Each counts once, however often its end is read.
    pub failed: Vec<(u32, RunId)>,
    /// Runs whose worker was lost, with their task indexes; of an announced run, one whose worker has stopped replying and
    /// may be lost.
    pub crashes: Vec<(u32, Crash)>,
    /// Isolated starts, and runs that may have crashed an unresponsive worker, with their task
    /// indexes.
    pub announced: Vec<(u32, AnnouncedRun)>,
    /// Checkpoints of tasks that aren't running, with the tasks' indexes.
    pub saved: Vec<(u32, CompactString)>,
}

/// Recorded progress of an occurrence that has started but isn't complete.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct OccurrenceProgress {
    /// Occurrence number.
    pub number: u32,
    /// Progress of each step.
    pub steps: Vec<StepProgress>,
}

/// Recorded progress of a workflow.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Whether any task has been started.
    pub started: bool,
    /// How the workflow ended, or `None` if it hasn't.
    pub outcome: Option<Outcome>,
    /// All occurrences below this number are complete.
    pub complete_below: u32,
    /// Completed occurrences above `complete_below`.
    pub complete: Vec<u32>,
    /// Active occurrences.
    pub occurrences: Vec<OccurrenceProgress>,
}

/// A key with its new value, or a tombstone that deletes the key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The key.
    pub key: Vec<u8>,
    /// The value; empty for a tombstone.
    pub value: Vec<u8>,
}

impl Record {
    /// Creates a record with a value.
    pub fn new(key: Key, value: &impl Serialize) -> Record {
        let mut buf = vec![FORMAT_VERSION];
        // Serializing plain data into memory can't fail.
        let value = postcard::to_stdvec(value).unwrap_or_default();
        buf.extend_from_slice(&value);
        Record { key: key.to_bytes(), value: buf }
    }

    /// Creates a record that deletes `key`.
    pub fn tombstone(key: Key) -> Record {
        Record { key: key.to_bytes(), value: Vec::new() }
    }

    /// Encodes the record for transfer between processes: key length as one byte, key, value.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(1 + self.size());
        buf.push(u8::try_from(self.key.len()).unwrap_or(u8::MAX));
        buf.extend_from_slice(&self.key);
        buf.extend_from_slice(&self.value);
        buf
    }

    /// Decodes the output of [`Record::to_bytes`]. Returns `None` if it is malformed or not a
    /// client's record.
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

    /// Decodes a submission; `None` if it is another record or unreadable.
    pub fn submission(&self) -> Option<(WorkflowId, Submission)> {
        let Ok(Key::Submission(id)) = Key::from_bytes(&self.key) else { return None };
        Some((id, read_value(&self.value).ok()?))
    }

    /// Returns the size of key and value in bytes.
    pub fn size(&self) -> usize {
        self.key.len() + self.value.len()
    }
}

/// Decodes a non-empty value.
///
/// # Errors
///
/// The value has another format version or can't be decoded.
pub(crate) fn read_value<T: DeserializeOwned>(value: &[u8]) -> Result<T, RecordError> {
    match value.split_first() {
        Some((&FORMAT_VERSION, rest)) => {
            postcard::from_bytes(rest).map_err(|_| RecordError::Broken)
        }
        Some((&version, _)) => Err(RecordError::UnsupportedVersion { version }),
        None => Err(RecordError::Broken),
    }
}
