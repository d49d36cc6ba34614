//! What operators should know of, as one log line each.

use {
    super::convert::version_of,
    egretlb_control::{Alarm, ConfigVersion},
    egretlb_log::RecoverError,
    egretlb_tasks::{JobAlarm, RackAlarm},
    egretlb_types::{Epoch, ShardId},
    std::fmt,
};

/// Something that an operator should know of.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A configuration came into force here.
    ConfigInForce(ConfigVersion),
    /// This process owns the shard.
    ShardOwned {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
    },
    /// This process doesn't own the shard any more.
    ShardLost {
        /// The shard.
        shard: ShardId,
    },
    /// An alarm of the control stream begins or ends.
    Control {
        /// Which.
        alarm: Alarm,
        /// Whether it begins.
        raised: bool,
    },
    /// An alarm about jobs.
    Job(JobAlarm),
    /// An alarm about VMs.
    Rack(RackAlarm),
    /// A shard's state is lost with its records.
    ShardStateLost(RecoverError),
    /// A record of a shard's journal can't be read and was left out.
    UnreadableRecord {
        /// The shard.
        shard: ShardId,
    },
    /// More waits for the log than may; work is refused until it answers.
    JournalFull,
}

impl Notice {
    /// Whether somebody has to act on it, as against something to be found later.
    pub fn is_alarm(&self) -> bool {
        match self {
            Notice::Control { raised, .. } => *raised,
            Notice::ShardStateLost(_)
            | Notice::UnreadableRecord { .. }
            | Notice::JournalFull
            | Notice::Job(_) => true,
            Notice::Rack(alarm) => {
                matches!(alarm, RackAlarm::Quarantined { .. } | RackAlarm::VmLost { .. })
            }
            Notice::ConfigInForce(_) | Notice::ShardOwned { .. } | Notice::ShardLost { .. } => {
                false
            }
        }
    }

    /// Whether it comes by the hundred when shards move.
    pub fn is_detail(&self) -> bool {
        matches!(self, Notice::ShardOwned { .. } | Notice::ShardLost { .. })
    }
}

/// The event's name and its pairs, as a log line has them.
impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            // As the command and the metrics have it, so that an operator can look for a version.
            Notice::ConfigInForce(version) => match version_of(*version) {
                Some(version) => write!(f, "event=config_in_force version={version}"),
                None => write!(f, "event=config_in_force version=none"),
            },
            Notice::ShardOwned { shard, epoch } => {
                write!(f, "event=shard_owned shard={shard} epoch={epoch}")
            }
            Notice::ShardLost { shard } => write!(f, "event=shard_lost shard={shard}"),
            Notice::Control { alarm, raised } => {
                write!(f, "event=alarm alarm={alarm} raised={raised}")
            }
            Notice::Job(alarm) => alarm.fmt(f),
            Notice::Rack(alarm) => alarm.fmt(f),
            Notice::ShardStateLost(RecoverError::NoSnapshot { shard, epoch, expired }) => {
                write!(f, "event=shard_state_lost shard={shard} epoch={epoch} expired={expired}")
            }
            Notice::UnreadableRecord { shard } => {
                write!(f, "event=unreadable_record shard={shard}")
            }
            Notice::JournalFull => write!(f, "event=journal_full"),
        }
    }
}
