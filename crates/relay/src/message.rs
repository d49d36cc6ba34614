//! What leader and relay tell each other.

use {
    crate::codec::{CallNo, CodecError},
    compact_str::CompactString,
    egretlb_types::Epoch,
    egretlb_workflow::{PaceResult, PollResult, RunId, StartResult, StopResult, TaskId, WorkerId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The first frame on a connection: a VM offers itself as a relay.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The VM's name.
    pub name: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Its clock in milliseconds.
    pub clock_ms: u64,
}

impl Hello {
    /// The frame.
    pub fn to_frame(&self) -> Vec<u8> {
        // Plain data always has a form.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads the frame.
    ///
    /// # Errors
    ///
    /// It is another one.
    pub fn from_frame(frame: &[u8]) -> Result<Hello, CodecError> {
        postcard::from_bytes(frame).map_err(|_| CodecError::Malformed)
    }
}

/// A call to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Asks what runs and what ended.
    Poll {
        /// Ends up to here may be forgotten.
        recorded: u64,
        /// The end of the leases on the worker's clock in milliseconds.
        until_ms: Option<u64>,
        /// How long the answer may wait for the next end, in milliseconds.
        wait_ms: u64,
    },
    /// Starts a task.
    Start {
        /// The task.
        task: TaskId,
        /// The number of the start.
        run: RunId,
        /// Handed to the task.
        payload: CompactString,
        /// The end of the lease on the worker's clock in milliseconds.
        until_ms: u64,
        /// The checkpoint to resume from; empty for none.
        checkpoint: CompactString,
        /// Says that the worker may run it; empty if that needs no ticket.
        ticket: CompactString,
    },
    /// Stops a run, or keeps it from starting.
    Stop {
        /// The task.
        task: TaskId,
        /// The number of the start.
        run: RunId,
    },
    /// Changes the pace of a filler.
    Pace {
        /// The task.
        task: TaskId,
        /// The number of the start.
        run: RunId,
        /// The share at which it may work, from 0 to 100.
        percent: u32,
    },
}

/// A call as it arrives at a relay.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayedCall {
    /// Its number on this connection.
    pub number: CallNo,
    /// The leader's fencing token.
    pub epoch: Epoch,
    /// The worker's incarnation.
    pub worker: WorkerId,
    /// Where the worker takes orders.
    pub addr: SocketAddr,
    /// What to call.
    pub call: Call,
}

/// What became of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// Of a poll.
    Poll(PollResult),
    /// Of a start.
    Start(StartResult),
    /// Of a stop.
    Stop(StopResult),
    /// Of a change of pace.
    Pace(PaceResult),
}

impl Answer {
    /// Whether the worker itself said something.
    pub fn is_from_worker(&self) -> bool {
        match self {
            Answer::Poll(result) => !matches!(result, PollResult::Failed | PollResult::Refused),
            Answer::Start(result) => !matches!(result, StartResult::Unknown | StartResult::NotSent),
            Answer::Stop(result) => *result != StopResult::Unknown,
            Answer::Pace(result) => *result != PaceResult::Unknown,
        }
    }
}

impl Call {
    /// The answer to a call that a relay didn't carry out.
    pub fn withheld_answer(&self) -> Answer {
        match self {
            Call::Poll { .. } => Answer::Poll(PollResult::Failed),
            Call::Start { .. } => Answer::Start(StartResult::Withheld),
            Call::Stop { .. } => Answer::Stop(StopResult::Unknown),
            Call::Pace { .. } => Answer::Pace(PaceResult::Unknown),
        }
    }

    /// The answer to a call of which nothing more will be heard.
    pub fn lost_answer(&self) -> Answer {
        match self {
            Call::Start { .. } => Answer::Start(StartResult::Unknown),
            Call::Poll { .. } | Call::Stop { .. } | Call::Pace { .. } => self.withheld_answer(),
        }
    }
}
