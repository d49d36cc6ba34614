//! What workers say of themselves in the directory.

use {
    crate::WorkerId, compact_str::CompactString, egretlb_types::Resources, smallvec::SmallVec,
    std::net::SocketAddr,
};

/// Whether a worker takes work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerState {
    /// It takes work.
    Ready,
    /// It leaves soon and must get no new work.
    Draining,
    /// It says neither, or its newest entry can't be read. It must get no new work, and it isn't about to
    /// leave: what runs there goes on.
    Other,
}

/// A worker as its own entry describes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerInfo {
    /// The incarnation.
    pub id: WorkerId,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// The service whose tasks it runs.
    pub service: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// What it holds.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: SmallVec<[CompactString; 2]>,
    /// Whether it takes work.
    pub state: WorkerState,
}

impl WorkerInfo {
    /// The rack that it stands in: the last of its labels.
    pub fn rack(&self) -> Option<&str> {
        self.labels.last().map(CompactString::as_str)
    }

    /// Whether the worker carries `label`, which may be its kind or its rack.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| own == label)
    }

    /// The worker's newest entry can't be read. Whether it still takes work isn't known, so it gets none;
    /// a worker that announced that it leaves still does.
    pub fn mark_unreadable(&mut self) {
        if self.state == WorkerState::Ready {
            self.state = WorkerState::Other;
        }
    }
}

/// A change of the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DirectoryChange {
    /// A worker came, or its entry changed.
    Present(WorkerInfo),
    /// A worker's entry is gone: it left, or it was silent for some heartbeats. It may still run.
    Absent(WorkerId),
    /// There is an entry and it can't be read.
    Unreadable(WorkerId),
}

impl DirectoryChange {
    /// The worker whose entry changed.
    pub fn worker(&self) -> &WorkerId {
        match self {
            DirectoryChange::Present(info) => &info.id,
            DirectoryChange::Absent(id) | DirectoryChange::Unreadable(id) => id,
        }
    }
}
