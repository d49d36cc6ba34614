//! What happens to a scheduler, and what it wants done.

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

/// What a scheduler is told at its start.
#[derive(Clone, Debug)]
pub struct SchedulerOptions {
    /// The process.
    pub info: NodeInfo,
    /// Spreads what different processes do at random.
    pub seed: u64,
    /// Peers to ask for a configuration while the log is out of reach, as `ip:port`.
    pub seeds: SmallVec<[CompactString; 4]>,
}

/// What happens to a scheduler.
#[derive(Clone, Debug)]
pub enum SchedulerEvent {
    /// What may happen to any daemon.
    Node(NodeEvent),
    /// The answer to [`SchedulerEffect::AppendJournal`].
    JournalAppended {
        /// The append.
        seq: Seq,
        /// What the log answered.
        outcome: AppendOutcome,
    },
    /// The answer to [`SchedulerEffect::ReadJournal`].
    JournalRead {
        /// Which reading it belongs to.
        read_id: JournalReadId,
        /// What the log answered.
        outcome: ReadOutcome,
    },
    /// The answer to [`SchedulerEffect::CallWorker`].
    WorkerAnswered {
        /// The call.
        ticket: Ticket,
        /// The answer.
        result: Result<WorkerAnswer, CallError>,
    },
}

/// What to check right before a call leaves: a process that was paused in between must notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerCallGuard {
    /// Nothing.
    None,
    /// The clock must not have passed this; a call that is too late is answered as not sent.
    Before(Time),
    /// There is no authority for the shard already: answer as not sent.
    Refused(ShardId),
}

/// What a scheduler wants done.
#[derive(Clone, Debug)]
pub enum SchedulerEffect {
    /// What any daemon may want.
    Node(NodeEffect),
    /// Append to this node's journal.
    AppendJournal {
        /// Comes back with the answer.
        seq: Seq,
        /// The record.
        bytes: Vec<u8>,
    },
    /// Read another node's journal.
    ReadJournal {
        /// Comes back with the answer.
        read_id: JournalReadId,
        /// Whose journal.
        node: NodeId,
        /// Where from.
        from: Offset,
    },
    /// Call a worker.
    CallWorker {
        /// Where it listens.
        addr: CompactString,
        /// Comes back with the answer.
        ticket: Ticket,
        /// The call.
        call: WorkerCall,
        /// What to check right before.
        guard: WorkerCallGuard,
    },
}

impl From<NodeEvent> for SchedulerEvent {
    fn from(event: NodeEvent) -> Self {
        SchedulerEvent::Node(event)
    }
}
