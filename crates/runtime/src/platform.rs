//! What the runtime needs of the platform. Its adapter implements these traits and decides nothing.

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
    egretlb_telemetry::EntryKind,
};

/// A topic of the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Topic {
    /// The system's own records.
    Work,
    /// What the operator publishes.
    Operator,
    /// The workers' entries.
    Directory,
}

impl fmt::Display for Topic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Topic::Work => "work",
            Topic::Operator => "operator",
            Topic::Directory => "directory",
        })
    }
}

/// A record as the store returns it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRecord {
    /// Its offset.
    pub offset: Offset,
    /// Its key.
    pub key: Bytes,
    /// Its value; empty if the key is dropped.
    pub value: Bytes,
}

/// What a read returned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadResult {
    /// Records in order, perhaps none.
    Records {
        /// The records.
        records: Vec<StoredRecord>,
        /// Where to read on. It is past records that can't be read, too: they would be met again for good.
        next: Offset,
        /// Where the partition ended.
        end: Offset,
    },
    /// Records from the offset on were forgotten: the newest ones must be read.
    OffsetTooOld,
    /// No answer, or none that can be used.
    Failed,
}

/// A page of the newest record of each key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NewestResult {
    /// A page.
    Page {
        /// The records.
        records: Vec<StoredRecord>,
        /// Keys whose newest records can't be read.
        unreadable: Vec<Bytes>,
        /// Where the partition ended.
        end: Offset,
        /// The key after which another page follows, if there is one.
        next_after: Option<Bytes>,
        /// Whether each key could be read. Otherwise one that isn't here may be there all the same.
        complete: bool,
    },
    /// No answer, or none that can be used.
    Failed,
}

/// Who appends under an epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fence {
    /// The leader's epoch: the store rejects a lower one than it has seen.
    pub epoch: Epoch,
    /// The append's number under it, so that a repetition isn't appended twice.
    pub seq: Seq,
}

/// An append to the system's own records.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Append {
    /// The records; all are appended or none.
    pub records: Vec<Record>,
    /// Set for what only a leader appends.
    pub fence: Option<Fence>,
}

/// The platform's store.
pub trait Store {
    /// Appends to the system's own records.
    fn append<'a>(&'a self, append: &'a Append) -> LocalBoxFuture<'a, AppendResult>;

    /// Reads records from an offset on, waiting up to `wait` for the first.
    fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Decoded<ReadResult>>;

    /// Tells the operator how far a wave of upkeep is.
    fn report_wave(&self, wave: u64, state: WaveState) -> LocalBoxFuture<'_, AppendResult>;

    /// Reads a page of the newest records, the first or the one after a key.
    fn newest(
        &self,
        topic: Topic,
        after: Option<Bytes>,
    ) -> LocalBoxFuture<'_, Decoded<NewestResult>>;
}

/// A poll of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PollCall {
    /// The incarnation that is meant.
    pub worker: WorkerId,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// The fencing token.
    pub epoch: Epoch,
    /// Ends up to here may be forgotten.
    pub recorded: u64,
    /// The end of the leases on the worker's clock in milliseconds.
    pub until_ms: Option<u64>,
    /// How long the answer may wait for the next end, in milliseconds.
    pub wait_ms: u64,
}

/// A start of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartCall<'a> {
    /// The incarnation that is meant.
    pub worker: &'a WorkerId,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// The fencing token.
    pub epoch: Epoch,
    /// The task.
    pub task: TaskId,
    /// The number of the start.
    pub run: RunId,
    /// Handed to the task.
    pub payload: &'a str,
    /// The end of the lease on the worker's clock in milliseconds.
    pub until_ms: u64,
    /// The checkpoint to resume from; empty for none.
    pub checkpoint: &'a str,
    /// Says that the worker may run it; empty if that needs no ticket.
    pub ticket: &'a str,
}

/// A stop of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StopCall {
    /// The incarnation that is meant.
    pub worker: WorkerId,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// The fencing token.
    pub epoch: Epoch,
    /// The task.
    pub task: TaskId,
    /// The number of the start.
    pub run: RunId,
}

/// A change of a filler's pace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PaceCall {
    /// The incarnation that is meant.
    pub worker: WorkerId,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// The fencing token.
    pub epoch: Epoch,
    /// The task.
    pub task: TaskId,
    /// The number of the start.
    pub run: RunId,
    /// The share at which it may work, from 0 to 100.
    pub percent: u32,
}

/// The workers.
pub trait Workers {
    /// Asks what runs and what ended.
    fn poll(&self, call: PollCall) -> LocalBoxFuture<'_, Decoded<PollResult>>;

    /// Starts a task.
    fn start<'a>(&'a self, call: StartCall<'a>) -> LocalBoxFuture<'a, StartResult>;

    /// Stops a run, or keeps it from starting.
    fn stop(&self, call: StopCall) -> LocalBoxFuture<'_, StopResult>;

    /// Changes the pace of a filler.
    fn pace(&self, call: PaceCall) -> LocalBoxFuture<'_, PaceResult>;

    /// Closes idle connections to the worker at `addr`: it will be called in another way.
    fn close_idle(&self, addr: SocketAddr);
}

/// The service that knows which workers a policy allows to run a step.
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
    /// Lists all VMs; none if the platform doesn't answer.
    fn list(&self) -> LocalBoxFuture<'_, Decoded<Option<VmList>>>;

    /// Begins a VM's upkeep, on behalf of the process `holder`.
    fn start_maintenance<'a>(
        &'a self,
        holder: &'a str,
        epoch: Epoch,
        vm: &'a VmId,
        wave: u64,
    ) -> LocalBoxFuture<'a, MaintenanceResult>;
}

/// All that a node needs of the platform.
#[derive(Clone)]
pub struct Platform {
    /// The store.
    pub store: Rc<dyn Store>,
    /// The workers.
    pub workers: Rc<dyn Workers>,
    /// Says which workers may run a step.
    pub advisor: Rc<dyn Advisor>,
    /// The VMs.
    pub fleet: Rc<dyn Fleet>,
    /// Formats of bodies.
    pub formats: Rc<dyn Formats>,
}

/// What the operator published.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorChange {
    /// A configuration.
    Routes(RouteTable),
    /// A wave of upkeep is asked for, or taken back.
    Wave {
        /// Its number.
        number: u64,
        /// The wave.
        wave: Option<Wave>,
    },
    /// Something else that has no meaning here.
    Other,
}

/// Why an entry of the operator or of the directory can't be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryError {
    /// What kind of entry it is.
    pub kind: EntryKind,
    /// What the reader said.
    pub detail: CompactString,
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for EntryError {}

/// The formats of clients, operator and directory.
pub trait Formats {
    /// A client's workflow.
    ///
    /// # Errors
    ///
    /// The body can't be read, or the workflow breaks a limit.
    fn workflow(&self, body: &[u8]) -> Result<Workflow, SpecError>;

    /// The body that tells a client a workflow's state.
    fn state(&self, state: WorkflowState) -> Bytes;

    /// The body that tells a client how many workflows wait.
    fn pending(&self, count: usize) -> Bytes;

    /// The body that tells a client what was wrong.
    fn error(&self, message: &str) -> Bytes;

    /// How long a client waits for its answer, if it says so.
    fn deadline(&self, headers: &http::HeaderMap) -> Option<Duration>;

    /// What the operator published under a key.
    ///
    /// # Errors
    ///
    /// The value can't be read.
    fn operator(&self, key: &[u8], value: &[u8]) -> Result<OperatorChange, EntryError>;

    /// What a worker's entry says.
    ///
    /// # Errors
    ///
    /// The entry can't be read.
    fn directory(&self, key: &[u8], value: &[u8]) -> Result<DirectoryChange, EntryError>;
}
