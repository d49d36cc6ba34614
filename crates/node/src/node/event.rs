//! What happens to any daemon, and what any daemon wants done.

use {
    super::notice::Notice,
    crate::peer::PeerMessage,
    compact_str::CompactString,
    egretlb_api::{
        CancelAnswer, ConfigView, JobAnswer, ProposeAnswer, ProposeConfig, Status, SubmitAnswer,
        SubmitJob,
    },
    egretlb_log::{AppendOutcome, ReadOutcome},
    egretlb_types::{JobId, NodeId, Offset, Ticket, Time, VmRecord},
};

/// Ties an operator's call to its reply; chosen by the runtime.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallTicket(pub u64);

/// What is known of a message that couldn't be delivered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// No byte of it left this process.
    NeverSent,
    /// It may have arrived.
    Unknown,
}

/// What happens to any daemon.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// Time passed; some ten times a second.
    Tick,
    /// The answer to [`NodeEffect::ReadControl`].
    ControlRead {
        /// When the read was sent, before the request left.
        sent: Time,
        /// What the log answered.
        outcome: ReadOutcome,
    },
    /// The answer to [`NodeEffect::AppendControl`].
    ControlAppended {
        /// The append's ticket.
        ticket: Ticket,
        /// What the log answered.
        outcome: AppendOutcome,
    },
    /// A message from another process.
    Peer {
        /// The process.
        from: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// A message isn't known to have arrived.
    Undelivered {
        /// The message.
        message: Box<PeerMessage>,
        /// What is known of it.
        delivery: Delivery,
    },
    /// The platform's list of VMs, whole.
    Vms(Vec<VmRecord>),
    /// An operator's call.
    Operator {
        /// The call.
        call: CallTicket,
        /// What is asked.
        request: OperatorRequest,
    },
    /// End gracefully.
    Shutdown,
}

/// What an operator may ask of any daemon.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    /// The configuration in force.
    Config,
    /// Propose a configuration.
    Propose(Box<ProposeConfig>),
    /// Submit a job.
    Submit(SubmitJob),
    /// Where a job stands.
    Job(JobId),
    /// Cancel a job.
    Cancel(JobId),
    /// All nodes.
    Status,
    /// The state dump.
    State,
    /// Whether the daemon can serve.
    Ready,
}

/// The reply to an [`OperatorRequest`].
#[derive(Clone, Debug)]
pub enum OperatorReply {
    /// To [`OperatorRequest::Config`].
    Config(Box<ConfigView>),
    /// To [`OperatorRequest::Propose`].
    Propose(ProposeAnswer),
    /// To [`OperatorRequest::Submit`].
    Submit(SubmitAnswer),
    /// To [`OperatorRequest::Job`].
    Job(JobAnswer),
    /// To [`OperatorRequest::Cancel`].
    Cancel(CancelAnswer),
    /// To [`OperatorRequest::Status`].
    Status(Status),
    /// To [`OperatorRequest::State`].
    State(serde_json::Value),
    /// To [`OperatorRequest::Ready`]: what is missing, or nothing.
    Ready {
        /// Why the daemon can't serve yet.
        missing: Option<&'static str>,
    },
}

/// What any daemon wants done.
#[derive(Clone, Debug)]
pub enum NodeEffect {
    /// Read the control stream.
    ReadControl {
        /// Where from.
        from: Offset,
    },
    /// Append to the control stream.
    AppendControl {
        /// Comes back with the answer.
        ticket: Ticket,
        /// The record.
        bytes: Vec<u8>,
    },
    /// Send a message to another process; if it isn't known to have arrived,
    /// [`NodeEvent::Undelivered`] tells.
    Send {
        /// Where, as `ip:port`.
        addr: CompactString,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// Answer an operator's call.
    Reply {
        /// The call.
        call: CallTicket,
        /// The answer.
        reply: OperatorReply,
    },
    /// Log an event.
    Notice(Notice),
    /// Nothing is left to do: the process may end.
    Exit,
}
