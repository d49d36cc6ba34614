//! A worker's lists: what runs there, and how runs ended.

use {
    crate::{RunId, TaskId},
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// The most ends in one answer of a worker; a list of that length may go on.
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
    /// In a way that isn't known here: not with success, as far as anybody can say.
    Unknown,
}

/// An end, as the worker lists it until it is acknowledged.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Its number at this worker, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunId,
    /// How it ended.
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
    /// How far it is; 100 for a lasting task at work.
    pub percent: u32,
    /// A task that serves: its tail latency in milliseconds. Another one: thousandths of a core in use.
    pub figure: u32,
}

/// A worker's answer to a poll.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PollReply {
    /// The worker's clock in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// Ends that aren't acknowledged, in order.
    pub ended: Vec<End>,
    /// What else stands in the two lists.
    pub unreadable: UnreadableRows,
}

impl PollReply {
    /// Whether more ends may follow than fit into one answer.
    pub(super) fn is_full(&self) -> bool {
        let rows =
            self.ended.len() + self.unreadable.ends.len() + self.unreadable.foreign_ends.len();
        rows >= ENDS_PER_ANSWER
    }

    /// Whether a run may get on without this answer showing it: its row can't be read.
    pub(super) fn may_omit(&self, task: TaskId, run: RunId) -> bool {
        let odd = self.unreadable.unidentified_runs > 0 || !self.unreadable.partial_runs.is_empty();
        odd && !self.running.iter().any(|running| (running.task, running.run) == (task, run))
    }
}

/// Rows of a worker's lists that aren't whole.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct UnreadableRows {
    /// Runs of which no more can be read than that they are under way.
    pub partial_runs: Vec<(TaskId, RunId)>,
    /// How many rows stand for runs that can't be told.
    pub unidentified_runs: u32,
    /// Numbers of ends that can't be read, in order.
    pub ends: Vec<u64>,
    /// Numbers of ends of tasks that aren't this system's.
    pub foreign_ends: Vec<u64>,
}
