//! What an entry is created with.

use {
    crate::protections::Protections,
    egretlb_types::{DataCentre, NodeId},
};

/// In which order the requests of one class are sent when they have to wait.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum QueueOrder {
    /// The earliest deadline first; who can't be served in time by the measured drain of the queue
    /// is refused on arrival.
    #[default]
    EarliestDeadline,
    /// The newest first; the others wait until they can't be answered in time any more.
    NewestFirst,
    /// The oldest first, refused when it can't be answered in time any more.
    OldestFirst,
}

/// What an entry is created with.
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
    /// The most requests of one class that wait in one entry. A queue worth waiting in is far
    /// shorter; the bound keeps the memory of an entry finite before anything is measured.
    pub const MAX_QUEUE_LEN: usize = 2_048;

    /// Options of the entry `node` in `data_centre`, whose random choices come from `seed`.
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

    /// Sets the most requests of one class that wait.
    pub fn max_queue_len(mut self, max_queue_len: usize) -> Self {
        self.max_queue_len = max_queue_len;
        self
    }

    /// Sets the order in which requests of one class are sent.
    pub fn order(mut self, order: QueueOrder) -> Self {
        self.order = order;
        self
    }

    /// Switches protections off, for tests.
    pub fn protections(mut self, protections: Protections) -> Self {
        self.protections = protections;
        self
    }
}
