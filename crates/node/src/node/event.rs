//! Inputs and outputs that all daemons share.

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

/// Id of an operator's call, assigned by the runtime.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallTicket(pub u64);

/// What is known of an undelivered message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// No byte was sent.
    NeverSent,
    /// It may have arrived.
    Unknown,
}

/// An input of any daemon.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// Time has passed; sent about ten times a second.
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
        /// The sender.
        from: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// A message may not have arrived.
    Undelivered {
        /// The message.
        message: Box<PeerMessage>,
        /// Whether it may have arrived.
        delivery: Delivery,
    },
    /// The platform's complete list of VMs.
    Vms(Vec<VmRecord>),
    /// An operator's call.
    Operator {
        /// The call.
        call: CallTicket,
        /// The request.
        request: OperatorRequest,
    },
    /// Shut down gracefully.
    Shutdown,
}

/// A request that any daemon answers.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    /// The configuration in force.
    Config,
    /// Propose a configuration.
    Propose(Box<ProposeConfig>),
    /// Submit a job.
    Submit(SubmitJob),
    /// The status of a job.
    Job(JobId),
    /// Cancel a job.
    Cancel(JobId),
    /// The status of all nodes.
    Status,
    /// The state dump.
    State,
    /// Whether the daemon is ready to serve.
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
    /// To [`OperatorRequest::Ready`].
    Ready {
        /// Why the daemon isn't ready; `None` if it is.
        missing: Option<&'static str>,
    },
}

/// An output of any daemon.
#[derive(Clone, Debug)]
pub enum NodeEffect {
    /// Read the control stream.
    ReadControl {
        /// The offset to read from.
        from: Offset,
    },
    /// Append to the control stream.
    AppendControl {
        /// Returned with the answer.
        ticket: Ticket,
        /// The record.
        bytes: Vec<u8>,
    },
    /// Send a message to another process. If it may not have arrived, [`NodeEvent::Undelivered`]
    /// follows.
    Send {
        /// The address, as `ip:port`.
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
    /// Exit the process.
    Exit,
}
