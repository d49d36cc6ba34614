//! Authority to act for a shard.

use crate::{
    ids::{Epoch, ShardId},
    time::Time,
};

/// Whether this process may act for a shard now.
///
/// Checked right before an unsafe step is handed to the runtime, as the authority may have expired
/// while the process was paused.
pub trait Authority {
    /// The epoch under which this process may take unsafe steps for `shard` at `now`, or `None`.
    fn epoch_if_held(&self, now: Time, shard: ShardId) -> Option<Epoch>;
}
