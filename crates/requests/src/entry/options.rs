//! Options of an entry.

use {
    crate::protections::Protections,
    egretlb_types::{DataCentre, NodeId},
};

/// Order in which waiting requests of one class are sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum QueueOrder {
    /// Earliest deadline first; a request that can't be sent in time at the queue's drain rate is
    /// refused on arrival.
    #[default]
    EarliestDeadline,
    /// Newest first; older requests wait until they can't be answered in time any more.
    NewestFirst,
    /// Oldest first; requests are refused when they can't be answered in time any more.
    OldestFirst,
}

/// Options of an entry.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    pub(super) node: NodeId,
    pub(super) data_centre: DataCentre,
    pub(super) seed: u64,
    pub(super) max_queue_len: usize,
    pub(super) order: QueueOrder,
    pub(super) protections: Protections,
}

impl EntryOptions {
    /// Default maximum number of waiting requests of one class. Bounds the memory of an entry
    /// before its drain rate is known.
    pub const MAX_QUEUE_LEN: usize = 2_048;

    /// Creates options for the entry `node` in `data_centre`; `seed` seeds its random choices.
    pub fn new(node: NodeId, data_centre: DataCentre, seed: u64) -> Self {
        EntryOptions {
            node,
            data_centre,
            seed,
            max_queue_len: EntryOptions::MAX_QUEUE_LEN,
            order: QueueOrder::default(),
            protections: Protections::default(),
        }
    }

    /// Sets the maximum number of waiting requests of one class.
    pub fn max_queue_len(mut self, max_queue_len: usize) -> Self {
        self.max_queue_len = max_queue_len;
        self
    }

    /// Sets the order in which waiting requests of one class are sent.
    pub fn order(mut self, order: QueueOrder) -> Self {
        self.order = order;
        self
    }

    /// Disables protections, for tests.
    pub fn protections(mut self, protections: Protections) -> Self {
        self.protections = protections;
        self
    }
}
