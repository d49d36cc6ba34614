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
}

/// A change of the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DirectoryChange {
    /// A worker came, or its entry changed.
    Present(WorkerInfo),
    /// A worker's entry is gone: it left, or it was silent for some heartbeats. It may still run.
    Absent(WorkerId),
}
