//! Inputs and outputs of a scheduler.

use {
    super::recovery::JournalReadId,
    crate::node::{NodeEffect, NodeEvent},
    compact_str::CompactString,
    egretlb_control::NodeInfo,
    egretlb_log::{AppendOutcome, ReadOutcome},
    egretlb_tasks::{CallError, WorkerAnswer, WorkerCall},
    egretlb_types::{NodeId, Offset, Seq, ShardId, Ticket, Time},
    smallvec::SmallVec,
};

/// Options of a scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerOptions {
    /// Identity and addresses of the process.
    pub info: NodeInfo,
    /// Seed of the random choices, different for each process.
    pub seed: u64,
    /// Peers to request a configuration from while the log is unavailable, as `ip:port`.
    pub seeds: SmallVec<[CompactString; 4]>,
}

/// An input of a scheduler.
#[derive(Clone, Debug)]
pub enum SchedulerEvent {
    /// An input that any daemon handles.
    Node(NodeEvent),
    /// The answer to [`SchedulerEffect::AppendJournal`].
    JournalAppended {
        /// The sequence number of the append.
        seq: Seq,
        /// What the log answered.
        outcome: AppendOutcome,
    },
    /// The answer to [`SchedulerEffect::ReadJournal`].
    JournalRead {
        /// The id of the read.
        read_id: JournalReadId,
        /// What the log answered.
        outcome: ReadOutcome,
    },
    /// The answer to [`SchedulerEffect::CallWorker`].
    WorkerAnswered {
        /// The ticket of the call.
        ticket: Ticket,
        /// The answer.
        result: Result<WorkerAnswer, CallError>,
    },
}

/// What to check right before a call is sent, since the process may have been paused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerCallGuard {
    /// Nothing.
    None,
    /// The clock must be before this time; otherwise the call counts as not sent.
    Before(Time),
    /// The process has no authority for the shard; the call counts as not sent.
    Refused(ShardId),
}

/// An output of a scheduler.
#[derive(Clone, Debug)]
pub enum SchedulerEffect {
    /// An output that any daemon has.
    Node(NodeEffect),
    /// Append to this node's journal.
    AppendJournal {
        /// Returned with the answer.
        seq: Seq,
        /// The record.
        bytes: Vec<u8>,
    },
    /// Read another node's journal.
    ReadJournal {
        /// Returned with the answer.
        read_id: JournalReadId,
        /// The node that wrote the journal.
        node: NodeId,
        /// The offset to read from.
        from: Offset,
    },
    /// Call a worker.
    CallWorker {
        /// The worker's address.
        addr: CompactString,
        /// Returned with the answer.
        ticket: Ticket,
        /// The call.
        call: WorkerCall,
        /// What to check right before sending.
        guard: WorkerCallGuard,
    },
}

impl From<NodeEvent> for SchedulerEvent {
    fn from(event: NodeEvent) -> Self {
        SchedulerEvent::Node(event)
    }
}
