//! Maintenance waves, in which an operator has a list of VMs maintained a few at a time, and the
//! platform's list of VMs.

use {
    crate::WorkerId,
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// A VM of the platform. Successive workers may run on it.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct VmId(pub CompactString);

impl fmt::Display for VmId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// State of a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmState {
    /// Its worker runs.
    Up,
    /// Not available: moving to another pool, in maintenance or down.
    Away,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmEntry {
    /// The VM.
    pub vm: VmId,
    /// The VM's state.
    pub state: VmState,
    /// The worker on the VM, if any.
    pub worker: Option<WorkerId>,
}

/// The platform's list of VMs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<VmEntry>,
    /// Whether all rows were readable. If not, a VM missing from the list may still exist.
    pub complete: bool,
}

/// An operator's request for maintenance of VMs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wave {
    /// The VMs.
    pub vms: Vec<VmId>,
    /// Time from the request within which maintenance of all VMs is to be complete.
    pub within: Duration,
    /// Maximum number of VMs in maintenance at once.
    pub max_down: u32,
}

/// Progress of a wave, as reported to the operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaveState {
    /// Maintenance of some VMs isn't complete.
    Running,
    /// Maintenance of all VMs that still exist is complete, and they are up again.
    Completed,
}

/// Result of a request to start maintenance of a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MaintenanceResult {
    /// Started, or already done.
    Begun,
    /// Not started: another process has acted on this VM under a higher epoch.
    Outranked,
    /// Not started: the VM isn't up, or is shutting down.
    Busy,
    /// Not started: the VM isn't part of this wave or doesn't exist.
    NotOfWave,
    /// Not started: too many concurrent calls.
    Throttled,
    /// Unknown whether it started.
    Unknown,
}

/// Recorded progress of a wave. A request is recorded before it is sent, so that a new leader
/// counts the VM as down and repeats the request, which is idempotent.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// VMs for which maintenance was requested, and the worker on each at that time.
    pub requested: Vec<(VmId, Option<WorkerId>)>,
    /// VMs that are up again after maintenance, or no longer exist.
    pub finished: Vec<VmId>,
}
