//! The largest free capacity of the workers of a service.

use {
    egretlb_types::Resources,
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
};

/// Maximum number of rooms; each takes some 10 bytes of the record.
const MAX_ROOMS: usize = 8;

/// Free capacity of single workers of which none fits into another. With more than `MAX_ROOMS` of them, two are replaced by one
/// that covers both, so what fits a worker always fits a room.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct FreeRooms {
    rooms: SmallVec<[Resources; MAX_ROOMS]>,
}

impl FreeRooms {
    /// Adds the free capacity of a worker.
    pub fn add(&mut self, free: Resources) {
        if free == Resources::default() || self.fits(&free) {
            return;
        }
        self.rooms.retain(|room| !room.fits(&free));
        self.rooms.push(free);
        if self.rooms.len() > MAX_ROOMS
            && let (Some(last), Some(previous)) = (self.rooms.pop(), self.rooms.pop())
        {
            let both = last.max(&previous);
            self.rooms.retain(|room| !room.fits(&both));
            self.rooms.push(both);
        }
    }

    /// Whether a demand fits a room.
    pub fn fits(&self, demand: &Resources) -> bool {
        self.rooms.iter().any(|room| demand.fits(room))
    }

    pub(super) fn len(&self) -> usize {
        self.rooms.len()
    }
}

/// Whether this many rooms may be read from a record.
pub(super) fn is_valid_count(rooms: usize) -> bool {
    rooms <= MAX_ROOMS
}
