//! Membership, shard ownership and configuration, folded from the control stream.
//!
//! Every process reads one stream and folds it with the same pure function ([`ControlState`]), so
//! all agree on the members, the owner of each shard and the configuration in force. [`Control`] is
//! the reducer of one process around that fold: it joins, claims shards of failed owners, waits
//! until the previous owner's authority has expired, and checks right before an unsafe step that
//! this process still has authority ([`egretlb_types::Authority`]).
//!
//! This needs no consensus group and no replicated store, only the platform's log. In return, a
//! shard whose owner fails has no owner for some seconds, until its authority has expired.

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
        AcceptedConfig, Change, Changes, ConfigState, ControlState, Decision, Phase, ShardState,
        Validator,
    },
};
