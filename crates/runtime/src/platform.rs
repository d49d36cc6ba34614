//! The interface to the platform, implemented by the platform adapter.

use {
    bytes::Bytes,
    compact_str::CompactString,
    egretlb_types::{Epoch, Offset, Seq},
    egretlb_workflow::{
        AdviceResult, AdviceTerms, AppendResult, DirectoryChange, MaintenanceResult, PaceResult,
        PollResult, Record, RouteTable, RunId, SpecError, StartResult, StepId, StopResult, TaskId,
        VmId, VmList, Wave, WaveState, WorkerId, Workflow, WorkflowState,
    },
    futures::future::LocalBoxFuture,
    std::{fmt, net::SocketAddr, rc::Rc, time::Duration},
};

pub use {
    crate::bad_entries::{BadEntry, Decoded},
    egretlb_telemetry::{EntryKind, ReadFailure},
};

/// A topic of the store.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Topic {
    /// The system's own records: submissions, cancellations, progress, leadership.
    #[default]
    Work,
    /// The leaders' announcements of their terms and standbys.
    Terms,
    /// Configurations, maintenance waves and evacuations, published by the operator.
    Operator,
    /// The entries of the workers.
    Directory,
}

impl Topic {
    /// The topic's name in log lines and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Topic::Work => "work",
            Topic::Terms => "terms",
            Topic::Operator => "operator",
            Topic::Directory => "directory",
        }
    }
}

impl fmt::Display for Topic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A record as the store returns it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRecord {
    /// Its offset.
    pub offset: Offset,
    /// Its key.
    pub key: Bytes,
    /// Its value; empty if the key is deleted.
    pub value: Bytes,
}

/// The result of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadResult {
    /// Records in order; may be empty.
    Records {
        /// The records.
        records: Vec<StoredRecord>,
        /// Offset of the next read, past unreadable records too.
        next: Offset,
        /// End offset of the partition.
        end: Offset,
    },
    /// Records at the offset have been deleted; the topic must be reloaded.
    OffsetTooOld,
    /// No usable answer.
    Failed(ReadFailure),
}

/// The result of a read of the newest record of each key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NewestResult {
    /// A page.
    Page {
        /// The records.
        records: Vec<StoredRecord>,
        /// Keys whose newest records are unreadable.
        unreadable: Vec<Bytes>,
        /// End offset of the partition.
        end: Offset,
        /// Whether there is a next page.
        has_more: bool,
        /// The key after which the next page starts. `None` without a next page, or if no key can be read.
        next_after: Option<Bytes>,
        /// Whether all keys were readable. If not, an absent key may exist in the store.
        complete: bool,
    },
    /// No usable answer.
    Failed(ReadFailure),
}

/// Fencing of a leader's append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fence {
    /// The leader's epoch; the store rejects an epoch lower than the highest it has seen.
    pub epoch: Epoch,
    /// Number of the append within the epoch, for deduplication of retries.
    pub seq: Seq,
}

/// An append.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Append {
    /// The topic: that of the work, or that of terms.
    pub topic: Topic,
    /// The records, appended atomically.
    pub records: Vec<Record>,
    /// Set for appends of a leader.
    pub fence: Option<Fence>,
}

/// The platform's store.
pub trait Store {
    /// Appends records.
    fn append<'a>(&'a self, append: &'a Append) -> LocalBoxFuture<'a, AppendResult>;

    /// Reads up to `max_kb` KB of records from an offset on, waiting up to `wait` for the first one.
    fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
        max_kb: u32,
    ) -> LocalBoxFuture<'_, Decoded<ReadResult>>;

    /// Reports the state of a maintenance wave to the operator.
    fn report_wave(&self, wave: u64, state: WaveState) -> LocalBoxFuture<'_, AppendResult>;

    /// Reads a page of the newest record of each key, starting after the key `after`, within `limit`.
    fn newest(
        &self,
        topic: Topic,
        after: Option<Bytes>,
        limit: Duration,
    ) -> LocalBoxFuture<'_, Decoded<NewestResult>>;
}

/// A poll of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PollCall {
    /// The worker's incarnation.
    pub worker: WorkerId,
    /// The worker's address for commands.
    pub addr: SocketAddr,
    /// The leader's epoch, as fencing token.
    pub epoch: Epoch,
    /// Highest recorded end number; the worker may drop ends up to it.
    pub recorded: u64,
    /// Expiry of the leases, on the worker's clock in milliseconds.
    pub until_ms: Option<u64>,
    /// How long the worker may wait for a new end before it answers, in milliseconds.
    pub wait_ms: u64,
}

/// A start of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartCall<'a> {
    /// The worker's incarnation.
    pub worker: &'a WorkerId,
    /// The worker's address for commands.
    pub addr: SocketAddr,
    /// The leader's epoch, as fencing token.
    pub epoch: Epoch,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunId,
    /// Input of the task.
    pub payload: &'a str,
    /// Expiry of the lease, on the worker's clock in milliseconds.
    pub until_ms: u64,
    /// The checkpoint to resume from; empty for none.
    pub checkpoint: &'a str,
    /// Permission to run the task on the worker; empty if none is needed.
    pub ticket: &'a str,
    /// The worker's data centre.
    pub data_centre: &'a str,
}

/// A stop of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StopCall {
    /// The worker's incarnation.
    pub worker: WorkerId,
    /// The worker's address for commands.
    pub addr: SocketAddr,
    /// The leader's epoch, as fencing token.
    pub epoch: Epoch,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunId,
}

/// A change of a best-effort task's pace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PaceCall {
    /// The worker's incarnation.
    pub worker: WorkerId,
    /// The worker's address for commands.
    pub addr: SocketAddr,
    /// The leader's epoch, as fencing token.
    pub epoch: Epoch,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunId,
    /// Share of full speed at which it may work, in percent.
    pub percent: u32,
}

/// The workers.
pub trait Workers {
    /// Asks for the runs in progress and the ended runs.
    fn poll(&self, call: PollCall) -> LocalBoxFuture<'_, Decoded<PollResult>>;

    /// Starts a task.
    fn start<'a>(&'a self, call: StartCall<'a>) -> LocalBoxFuture<'a, StartResult>;

    /// Stops a run, or prevents it from starting.
    fn stop(&self, call: StopCall) -> LocalBoxFuture<'_, StopResult>;

    /// Changes the pace of a best-effort task.
    fn pace(&self, call: PaceCall) -> LocalBoxFuture<'_, PaceResult>;

    /// Closes idle connections to the worker at `addr`, which will be called through a relay.
    fn close_idle(&self, addr: SocketAddr);
}

/// The policy service that decides which workers may run a step.
pub trait Advisor {
    /// Asks which of these workers may run the step.
    fn advise<'a>(
        &'a self,
        step: StepId,
        workers: &'a [WorkerId],
        terms: AdviceTerms,
    ) -> LocalBoxFuture<'a, Decoded<AdviceResult>>;
}

/// The platform's VMs.
pub trait Fleet {
    /// Lists all VMs; `None` if the platform doesn't answer.
    fn list(&self) -> LocalBoxFuture<'_, Decoded<Option<VmList>>>;

    /// Starts the maintenance of a VM. `holder` is the name of the leader, which holds the epoch.
    fn begin_maintenance<'a>(
        &'a self,
        holder: &'a str,
        epoch: Epoch,
        vm: &'a VmId,
        wave: u64,
    ) -> LocalBoxFuture<'a, MaintenanceResult>;
}

/// The platform services that a node uses.
#[derive(Clone)]
pub struct Platform {
    /// The store.
    pub store: Rc<dyn Store>,
    /// The workers.
    pub workers: Rc<dyn Workers>,
    /// The policy service.
    pub advisor: Rc<dyn Advisor>,
    /// The VMs.
    pub fleet: Rc<dyn Fleet>,
    /// The formats of requests and entries.
    pub formats: Rc<dyn Formats>,
}

/// A change published by the operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorChange {
    /// A configuration.
    Routes(RouteTable),
    /// A maintenance wave is requested or withdrawn.
    Wave {
        /// Its number.
        number: u64,
        /// The wave; `None` if it is withdrawn.
        wave: Option<Wave>,
    },
    /// A data centre is evacuated: nothing may be started on its workers, until it is taken back.
    Evacuation {
        /// The data centre.
        data_centre: CompactString,
        /// Whether it is evacuated; false if it is taken back.
        in_force: bool,
    },
    /// Not relevant to the scheduler.
    Other,
}

/// Why an entry of the operator or of the directory is unreadable.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryError {
    /// Kind of the entry.
    pub kind: EntryKind,
    /// Error message of the decoder.
    pub detail: CompactString,
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for EntryError {}

/// The formats of client requests and of operator and directory entries.
pub trait Formats {
    /// Decodes a client's workflow.
    ///
    /// # Errors
    ///
    /// The body is malformed, or the workflow exceeds a limit.
    fn workflow(&self, body: &[u8]) -> Result<Workflow, SpecError>;

    /// Encodes the response body for a workflow's state.
    fn state(&self, state: WorkflowState) -> Bytes;

    /// Encodes the response body for the number of pending workflows.
    fn pending(&self, count: usize) -> Bytes;

    /// Encodes the response body for an error.
    fn error(&self, message: &str) -> Bytes;

    /// The client's deadline from the request headers, relative to the arrival.
    fn deadline(&self, headers: &http::HeaderMap) -> Option<Duration>;

    /// Decodes an entry of the operator.
    ///
    /// # Errors
    ///
    /// The key or value is malformed.
    fn operator(&self, key: &[u8], value: &[u8]) -> Result<OperatorChange, EntryError>;

    /// Decodes a worker's entry.
    ///
    /// # Errors
    ///
    /// The entry is malformed.
    fn directory(&self, key: &[u8], value: &[u8]) -> Result<DirectoryChange, EntryError>;
}
