//! Inputs and outputs of the control reducer, which tracks members, owners of shards and the
//! configuration.

use {
    crate::{
        gossip::Heartbeat,
        record::{ConfigVersion, NodeInfo, ProposalId},
    },
    compact_str::CompactString,
    egretlb_log::{AppendOutcome, ReadOutcome},
    egretlb_types::{ConfigDocument, Epoch, NodeId, Offset, ShardId, Ticket, Time},
    std::{fmt, sync::Arc},
};

/// An input of the control reducer.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Time has passed; sent about ten times a second.
    Tick,
    /// The answer to [`ControlEffect::Read`].
    ReadDone {
        /// When the read was sent, by this process's clock, before the request left.
        sent: Time,
        /// What the log answered.
        outcome: ReadOutcome,
    },
    /// The answer to [`ControlEffect::Append`].
    AppendDone {
        /// The append's ticket.
        ticket: Ticket,
        /// What the log answered.
        outcome: AppendOutcome,
    },
    /// A peer's heartbeat arrived.
    HeartbeatReceived(Heartbeat),
    /// The platform's VM list no longer holds the VM with this address. Its process has probably
    /// ended, but may still be running.
    VmGone {
        /// The VM's IP address, without a port.
        addr: CompactString,
    },
    /// The shard is recovered, and its snapshot under `epoch` is durable in this node's journal.
    RecoveryDone {
        /// The shard.
        shard: ShardId,
        /// The epoch of [`ControlEffect::Recover`].
        epoch: Epoch,
    },
    /// The shards that this node owns need no record of its journal before `from`, so that older
    /// records may be deleted.
    JournalLowWaterMark {
        /// The oldest record needed.
        from: Offset,
    },
    /// An operator proposes a configuration.
    Propose {
        /// Random id, set by the operator's command.
        id: ProposalId,
        /// The version that the operator's change is based on.
        base: ConfigVersion,
        /// Name of the operator.
        by: CompactString,
        /// The whole document.
        document: String,
    },
    /// A peer's answer to [`ControlEffect::FetchConfig`].
    PeerConfig {
        /// The version in force at the peer.
        version: ConfigVersion,
        /// Its document.
        document: String,
    },
    /// The process is shutting down: release all shards.
    Shutdown,
}

/// The last settled owner of a shard: one whose journal holds a snapshot of it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Predecessor {
    /// The process whose journal holds the shard.
    pub node: NodeId,
    /// The epoch of the owner's journal entries for the shard.
    pub epoch: Epoch,
    /// The offset to read the journal from.
    pub start: Offset,
}

/// The result of a proposal, as reported to the operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProposalOutcome {
    /// The proposal is accepted as this version.
    Accepted {
        /// The version.
        version: ConfigVersion,
    },
    /// Another change was accepted first, so the proposal is rejected.
    Superseded {
        /// The version accepted instead.
        version: ConfigVersion,
        /// The document of that version.
        document: String,
    },
    /// The document has faults.
    Invalid {
        /// All faults.
        faults: CompactString,
    },
    /// The log can't be reached and the proposal isn't stored; it can be proposed again.
    Unavailable,
    /// The proposal may be stored: check the version in force before proposing again.
    Unconfirmed,
}

impl fmt::Display for ProposalOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProposalOutcome::Accepted { version } => write!(f, "accepted as version {version}"),
            ProposalOutcome::Superseded { version, .. } => write!(
                f,
                "version {version} was accepted first; compare with it and propose again on that base"
            ),
            ProposalOutcome::Invalid { faults } => write!(f, "the document has faults: {faults}"),
            ProposalOutcome::Unavailable => {
                write!(
                    f,
                    "the log can't be reached and the proposal was not stored; propose it again"
                )
            }
            ProposalOutcome::Unconfirmed => write!(
                f,
                "the append was not confirmed; check `egretlb config show` before proposing again"
            ),
        }
    }
}

/// A condition that operators should know about.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Alarm {
    /// No read of the control stream reached its end within the lease.
    LogOutOfReach,
    /// The beginning of the control stream has expired and no snapshot is left.
    StateLost,
    /// Some shards have had no settled owner for 30 s; see [`Predecessor`].
    ShardsWithoutOwner,
    /// This process has recent contact with at most half of the schedulers.
    FewPeersHeard,
    /// The control stream holds records that this version can't decode.
    UnreadableRecords,
    /// The accepted configuration fails this version's validation, so it isn't in force here.
    ConfigNotUnderstood,
}

impl fmt::Display for Alarm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Alarm::LogOutOfReach => "log_out_of_reach",
            Alarm::StateLost => "state_lost",
            Alarm::ShardsWithoutOwner => "shards_without_owner",
            Alarm::FewPeersHeard => "few_peers_heard",
            Alarm::UnreadableRecords => "unreadable_records",
            Alarm::ConfigNotUnderstood => "config_not_understood",
        })
    }
}

/// An action for the runtime to perform.
#[derive(Clone, Debug)]
pub enum ControlEffect {
    /// Read the control stream; several reads may be in flight.
    Read {
        /// The offset to read from.
        from: Offset,
    },
    /// Append to the control stream.
    Append {
        /// Returned with the answer.
        ticket: Ticket,
        /// The record.
        bytes: Vec<u8>,
    },
    /// Recover the shard's state, write its snapshot under `epoch` to this node's journal, then
    /// send [`ControlEvent::RecoveryDone`]. Without a predecessor the shard is empty.
    Recover {
        /// The shard.
        shard: ShardId,
        /// This node's epoch.
        epoch: Epoch,
        /// The journal to recover from.
        from: Option<Predecessor>,
    },
    /// This node owns the shard and may act for it until its [`egretlb_types::Authority`] expires.
    ShardOwned {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
    },
    /// This node no longer owns the shard, or another claim replaced its claim before it was
    /// settled.
    ShardLost {
        /// The shard.
        shard: ShardId,
        /// The epoch that ended.
        epoch: Epoch,
    },
    /// A configuration came into force in this process.
    ConfigInForce {
        /// Its version; higher than the previous one.
        version: ConfigVersion,
        /// Its text.
        text: Arc<str>,
        /// The parsed document.
        document: Arc<ConfigDocument>,
    },
    /// The result of a proposal made to this process.
    ProposalDecided {
        /// The proposal.
        id: ProposalId,
        /// The result.
        outcome: ProposalOutcome,
    },
    /// Send a heartbeat. An answer, if any, arrives as [`ControlEvent::HeartbeatReceived`].
    Heartbeat {
        /// The recipient.
        to: NodeInfo,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Request a peer's configuration in force; the answer is [`ControlEvent::PeerConfig`].
    FetchConfig {
        /// The peer; `None` for all peers in the settings.
        from: Option<NodeInfo>,
    },
    /// An alarm is raised or cleared.
    Alarm {
        /// The alarm.
        alarm: Alarm,
        /// Whether it is raised.
        raised: bool,
    },
    /// All shards are released and the process may exit.
    ShutdownDone,
}
