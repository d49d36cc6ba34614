//! Messages between leader and relay.

use {
    crate::codec::{CallNo, CodecError},
    compact_str::CompactString,
    egretlb_types::Epoch,
    egretlb_workflow::{PaceResult, PollResult, RunId, StartResult, StopResult, TaskId, WorkerId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The first frame on a connection, by which a VM offers to be a relay.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The VM's name.
    pub name: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Its address for other VMs.
    pub addr: Option<SocketAddr>,
    /// Whether its CPU share is too low for a leader.
    pub low_cpu: bool,
    /// The VM's clock in milliseconds.
    pub clock_ms: u64,
}

impl Hello {
    /// Encodes the frame.
    pub fn to_frame(&self) -> Vec<u8> {
        // Serializing this type can't fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes the frame.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError::Malformed`] if it isn't a `Hello`.
    pub fn from_frame(frame: &[u8]) -> Result<Hello, CodecError> {
        postcard::from_bytes(frame).map_err(|_| CodecError::Malformed)
    }
}

/// A call to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Asks for the runs in progress and the ended runs.
    Poll {
        /// Highest recorded end number; the worker may drop ends up to it.
        recorded: u64,
        /// Expiry of the leases, on the worker's clock in milliseconds.
        until_ms: Option<u64>,
        /// How long the worker may wait for a new end before it answers, in milliseconds.
        wait_ms: u64,
    },
    /// Starts a task.
    Start {
        /// The task.
        task: TaskId,
        /// The run to start.
        run: RunId,
        /// Input of the task.
        payload: CompactString,
        /// Expiry of the lease, on the worker's clock in milliseconds.
        until_ms: u64,
        /// The checkpoint to resume from; empty for none.
        checkpoint: CompactString,
        /// The policy service's permission to run the task on the worker; empty if none is needed.
        ticket: CompactString,
        /// The worker's data centre, which may be evacuated by the time the relay sends the start.
        data_centre: CompactString,
    },
    /// Stops a run, or prevents it from starting.
    Stop {
        /// The task.
        task: TaskId,
        /// The run to stop.
        run: RunId,
    },
    /// Changes the pace of a best-effort task.
    Pace {
        /// The task.
        task: TaskId,
        /// The run to pace.
        run: RunId,
        /// Share of full speed at which it may work, in percent.
        percent: u32,
    },
}

/// A call as decoded by a relay.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayedCall {
    /// Its number on this connection.
    pub number: CallNo,
    /// The leader's fencing token.
    pub epoch: Epoch,
    /// The worker's incarnation.
    pub worker: WorkerId,
    /// The worker's address for commands.
    pub addr: SocketAddr,
    /// The call to make.
    pub call: Call,
}

/// The result of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// Result of a poll.
    Poll(PollResult),
    /// Result of a start.
    Start(StartResult),
    /// Result of a stop.
    Stop(StopResult),
    /// Result of a change of pace.
    Pace(PaceResult),
}

impl Answer {
    /// Whether the worker itself answered.
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
    /// The answer to a call that wasn't sent to the worker.
    pub fn withheld_answer(&self) -> Answer {
        match self {
            Call::Poll { .. } => Answer::Poll(PollResult::Failed),
            Call::Start { .. } => Answer::Start(StartResult::Withheld),
            Call::Stop { .. } => Answer::Stop(StopResult::Unknown),
            Call::Pace { .. } => Answer::Pace(PaceResult::Unknown),
        }
    }

    /// The answer to a call whose result is lost.
    pub fn lost_answer(&self) -> Answer {
        match self {
            Call::Start { .. } => Answer::Start(StartResult::Unknown),
            Call::Poll { .. } | Call::Stop { .. } | Call::Pace { .. } => self.withheld_answer(),
        }
    }
}
