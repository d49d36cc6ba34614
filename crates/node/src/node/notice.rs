//! Log events for operators, one line each.

use {
    super::convert::version_of,
    egretlb_control::{Alarm, ConfigVersion},
    egretlb_log::RecoverError,
    egretlb_tasks::{JobAlarm, RackAlarm},
    egretlb_types::{Epoch, ShardId},
    std::fmt,
};

/// A log event for operators.
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
    /// This process no longer owns the shard.
    ShardLost {
        /// The shard.
        shard: ShardId,
    },
    /// An alarm of the control reducer is raised or cleared.
    Control {
        /// The alarm.
        alarm: Alarm,
        /// Whether it is raised.
        raised: bool,
    },
    /// An alarm about jobs.
    Job(JobAlarm),
    /// An alarm about VMs.
    Rack(RackAlarm),
    /// A shard's state is lost because its records expired.
    ShardStateLost(RecoverError),
    /// A record of a shard's journal can't be decoded and was skipped.
    UnreadableRecord {
        /// The shard.
        shard: ShardId,
    },
    /// The journal's buffer is full; new work is refused until the log answers.
    JournalFull,
}

impl Notice {
    /// Whether an operator should act on it at once.
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

    /// Whether it is frequent when shards move.
    pub fn is_detail(&self) -> bool {
        matches!(self, Notice::ShardOwned { .. } | Notice::ShardLost { .. })
    }
}

/// Formats the event name and its key-value pairs for a log line.
impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            // Same version format as in the command-line tool and the metrics.
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
