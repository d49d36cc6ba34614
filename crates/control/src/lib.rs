//! Membership, shard ownership and configuration, folded from the control stream.
//!
//! Every process reads one stream and folds it by the same pure function ([`ControlState`]), so
//! that all reach the same outcome on every race: who is a node, who owns a shard, which
//! configuration is in force. [`Control`] is the reducer of one process around that fold: it
//! joins, claims shards of lost owners, waits until their authority has certainly lapsed, and
//! says at the last moment before an unsafe step whether this process still may
//! ([`egretlb_types::Authority`]).
//!
//! The trade-off: nothing here needs a consensus group or a replicated store, only the platform's
//! log. In return a shard whose owner dies has no owner for some seconds, since its successor
//! waits out what it can't know.

mod event;
mod fold;
mod gossip;
mod options;
mod record;
mod reducer;
mod state;

pub use crate::{
    event::{Alarm, ControlEffect, ControlEvent, Predecessor, ProposalOutcome},
    fold::{ControlFold, Folded},
    gossip::{Heartbeat, LastContact},
    options::{ControlOptions, Protections},
    record::{ConfigVersion, ControlRecord, NodeInfo, ProposalId, Role, ShardEpoch, ShardEpochs},
    reducer::{Control, InForce},
    state::{
        Accepted, Change, Changes, ConfigState, ControlState, Decision, Phase, ShardState,
        Validator,
    },
};
