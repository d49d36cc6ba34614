//! Entries that workers publish in the directory.

use {
    crate::WorkerId, compact_str::CompactString, egretlb_types::Resources, smallvec::SmallVec,
    std::net::SocketAddr,
};

/// Whether a worker accepts new tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerState {
    /// Accepts new tasks.
    Ready,
    /// Shuts down soon; must get no new tasks.
    Draining,
    /// Unknown state, or the newest entry can't be read. Gets no new tasks, and its running tasks
    /// continue.
    Other,
}

/// A worker, as described by its directory entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerInfo {
    /// The worker's incarnation.
    pub id: WorkerId,
    /// Address that accepts commands.
    pub addr: SocketAddr,
    /// The service whose tasks it runs.
    pub service: CompactString,
    /// Data centre it runs in.
    pub data_centre: CompactString,
    /// Total resources.
    pub capacity: Resources,
    /// Machine type and rack; the rack is last.
    pub labels: SmallVec<[CompactString; 2]>,
    /// Whether it accepts new tasks.
    pub state: WorkerState,
}

impl WorkerInfo {
    /// Returns the worker's rack.
    pub fn rack(&self) -> Option<&str> {
        self.labels.last().map(CompactString::as_str)
    }

    /// Returns whether the worker has `label` (a machine type or a rack).
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| own == label)
    }

    /// Notes that the worker's newest entry can't be read: a ready worker gets no new tasks until it
    /// can be, and a draining worker keeps draining.
    pub fn mark_unreadable(&mut self) {
        if self.state == WorkerState::Ready {
            self.state = WorkerState::Other;
        }
    }
}

/// A change to the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DirectoryChange {
    /// A worker appeared, or its entry changed.
    Present(WorkerInfo),
    /// A worker's entry was removed: it left, or missed several heartbeats. It may still be
    /// running. The entry's key doesn't say which incarnation it was.
    Absent(WorkerId),
    /// The worker's entry exists but can't be read, so its incarnation isn't known either.
    Unreadable(WorkerId),
}

impl DirectoryChange {
    /// Returns the worker whose entry changed.
    pub fn worker(&self) -> &WorkerId {
        match self {
            DirectoryChange::Present(info) => &info.id,
            DirectoryChange::Absent(id) | DirectoryChange::Unreadable(id) => id,
        }
    }
}
