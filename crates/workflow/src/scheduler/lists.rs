//! A worker's lists of running and ended runs.

use {
    crate::{RunId, TaskId},
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// Maximum number of ends in one answer; an answer with this many may be incomplete.
const ENDS_PER_ANSWER: usize = 500;

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum EndKind {
    /// The task is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the other members of its gang.
    Alone,
    /// Unknown here, but not success.
    Unknown,
}

/// The end of a run, listed by the worker until it is acknowledged.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Its sequence number at this worker, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunId,
    /// How the run ended.
    pub kind: EndKind,
    /// Its last checkpoint; empty for none.
    pub saved: CompactString,
}

/// A run that is under way.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunId,
    /// Its last checkpoint; empty for none.
    pub saved: CompactString,
    /// Progress in percent; 100 for a long-running task at work.
    pub percent: u32,
    /// For a latency-critical task its tail latency in milliseconds, otherwise its CPU use in
    /// millicores.
    pub figure: u32,
}

/// A worker's answer to a poll.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PollReply {
    /// The worker's clock in milliseconds.
    pub clock_ms: u64,
    /// Runs under way.
    pub running: Vec<RunningTask>,
    /// Unacknowledged ends, in order.
    pub ended: Vec<End>,
    /// Rows of the two lists that can't be read in full.
    pub unreadable: UnreadableRows,
}

impl PollReply {
    /// Whether the worker may have more ends than fit into one answer.
    pub(super) fn is_full(&self) -> bool {
        let rows =
            self.ended.len() + self.unreadable.ends.len() + self.unreadable.foreign_ends.len();
        rows >= ENDS_PER_ANSWER
    }

    /// Number of the last listed end; 0 for none.
    pub(super) fn last_end(&self) -> u64 {
        let readable = self.ended.iter().map(|end| end.number);
        let UnreadableRows { ends, foreign_ends, .. } = &self.unreadable;
        readable.chain(ends.iter().copied()).chain(foreign_ends.iter().copied()).max().unwrap_or(0)
    }

    /// Whether a run that isn't listed may be under way in a row that can't be read, or have an end that isn't listed yet.
    pub(super) fn may_omit(&self, task: TaskId, run: RunId) -> bool {
        let incomplete = self.is_full()
            || self.unreadable.unidentified_runs > 0
            || !self.unreadable.partial_runs.is_empty();
        incomplete && !self.running.iter().any(|running| (running.task, running.run) == (task, run))
    }
}

/// Rows of a worker's lists that can't be read in full.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct UnreadableRows {
    /// Runs of which only the ids can be read.
    pub partial_runs: Vec<(TaskId, RunId)>,
    /// Number of rows whose runs can't be identified.
    pub unidentified_runs: u32,
    /// Sequence numbers of ends that can't be read, in order.
    pub ends: Vec<u64>,
    /// Sequence numbers of ends of tasks of other systems.
    pub foreign_ends: Vec<u64>,
}
