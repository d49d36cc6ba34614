//! Who may act for a shard.

use crate::{
    ids::{Epoch, ShardId},
    time::Time,
};

/// Tells whether this process may act for a shard now.
///
/// Asked at the last moment before an unsafe step is handed to the runtime: a process that was
/// paused in between must notice that its authority has lapsed.
pub trait Authority {
    /// The epoch under which this process may take unsafe steps for `shard` at `now`, or `None`.
    fn epoch_if_held(&self, now: Time, shard: ShardId) -> Option<Epoch>;
}
