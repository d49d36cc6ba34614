//! What happens to a process's control, and what it wants done.

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

/// Something that happened.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Time has passed; some ten times a second.
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
    /// The platform's VM list says that the VM of this address has gone; a hint.
    VmGone {
        /// The VM's IP address, without a port.
        addr: CompactString,
    },
    /// The shard was read back, and its snapshot under `epoch` is durable in this node's journal.
    RecoveryDone {
        /// The shard.
        shard: ShardId,
        /// The epoch of [`ControlEffect::Recover`].
        epoch: Epoch,
    },
    /// Nothing of this node's journal before `from` is needed for the shards that it owns.
    JournalLowWaterMark {
        /// The oldest record needed.
        from: Offset,
    },
    /// An operator proposes a configuration.
    Propose {
        /// Drawn at random by the operator's command.
        id: ProposalId,
        /// The version that the operator changed.
        base: ConfigVersion,
        /// Who proposes.
        by: CompactString,
        /// The whole document.
        document: String,
    },
    /// A peer's answer to [`ControlEffect::FetchConfig`].
    PeerConfig {
        /// The version in force there.
        version: ConfigVersion,
        /// Its document.
        document: String,
    },
    /// The process is to end: give up all shards.
    Shutdown,
}

/// The last owner of a shard that acted for it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Predecessor {
    /// The process whose journal holds the shard.
    pub node: NodeId,
    /// The epoch of its entries.
    pub epoch: Epoch,
    /// Where to begin to read the journal.
    pub start: Offset,
}

/// How a proposal ended for the operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProposalOutcome {
    /// It is in force under this version.
    Accepted {
        /// The version.
        version: ConfigVersion,
    },
    /// Another change came first, and this one is void.
    Superseded {
        /// The version that is accepted instead.
        version: ConfigVersion,
        /// Its document, to be compared with.
        document: String,
    },
    /// The document has faults.
    Invalid {
        /// All faults.
        faults: CompactString,
    },
    /// It was never in the log, which is out of reach; propose it again later.
    Unavailable,
    /// The log may hold it: look at the version in force before proposing again.
    Unconfirmed,
}

impl fmt::Display for ProposalOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProposalOutcome::Accepted { version } => write!(f, "accepted as version {version}"),
            ProposalOutcome::Superseded { version, .. } => write!(
                f,
                "version {version} was accepted first; compare with it and propose on it again"
            ),
            ProposalOutcome::Invalid { faults } => write!(f, "the document has faults: {faults}"),
            ProposalOutcome::Unavailable => {
                write!(f, "the log can't be reached and nothing was proposed; propose it again")
            }
            ProposalOutcome::Unconfirmed => write!(
                f,
                "the log's answer was lost; see `egretlb config show` before proposing again"
            ),
        }
    }
}

/// What an operator should know about.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Alarm {
    /// No read of the control stream reached its end for as long as authority lasts.
    LogOutOfReach,
    /// The beginning of the control stream has expired and no snapshot is left.
    StateLost,
    /// Some shards have had no settled owner for half a minute.
    ShardsWithoutOwner,
    /// This process hears no more than half of the schedulers.
    FewPeersHeard,
    /// The control stream holds records that this version can't read.
    UnreadableRecords,
    /// The accepted configuration doesn't pass this version's checks and isn't in force here.
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

/// Something to be done by the runtime.
#[derive(Clone, Debug)]
pub enum ControlEffect {
    /// Read the control stream; several reads may be under way.
    Read {
        /// Where from.
        from: Offset,
    },
    /// Append to the control stream.
    Append {
        /// Comes back with the answer.
        ticket: Ticket,
        /// The record.
        bytes: Vec<u8>,
    },
    /// Read the shard's state back, then write its snapshot under `epoch` to this node's journal,
    /// then report [`ControlEvent::RecoveryDone`]. Without a predecessor the shard is empty.
    Recover {
        /// The shard.
        shard: ShardId,
        /// This node's epoch.
        epoch: Epoch,
        /// Whose journal to read.
        from: Option<Predecessor>,
    },
    /// This node may decide for the shard, whenever [`egretlb_types::Authority`] says so.
    ShardOwned {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
    },
    /// This node's term for the shard is over, or its claim was overtaken before it settled.
    ShardLost {
        /// The shard.
        shard: ShardId,
        /// The epoch that is over.
        epoch: Epoch,
    },
    /// A configuration comes into force in this process.
    ConfigInForce {
        /// Its version; always higher than the one before.
        version: ConfigVersion,
        /// Its text.
        text: Arc<str>,
        /// What it says.
        document: Arc<ConfigDocument>,
    },
    /// The end of a proposal that was made to this process.
    ProposalDecided {
        /// The proposal.
        id: ProposalId,
        /// How it ended.
        outcome: ProposalOutcome,
    },
    /// Send a heartbeat; nothing comes back.
    Heartbeat {
        /// Whom to.
        to: NodeInfo,
        /// What to send.
        heartbeat: Heartbeat,
    },
    /// Ask for a peer's configuration in force; the answer is [`ControlEvent::PeerConfig`].
    FetchConfig {
        /// Whom to ask; without one, all peers that the settings name.
        from: Option<NodeInfo>,
    },
    /// An alarm begins or ends.
    Alarm {
        /// Which.
        alarm: Alarm,
        /// Whether it begins.
        raised: bool,
    },
    /// All shards are given up and the process may end.
    ShutdownDone,
}
