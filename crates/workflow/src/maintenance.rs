//! Waves of upkeep: what the operator asks for, and what the platform says of its VMs.

use {
    crate::WorkerId,
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// A VM of the platform's. It outlives the workers that run on it, one after the other.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct VmId(pub CompactString);

impl fmt::Display for VmId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What a VM does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmState {
    /// Its worker runs.
    Up,
    /// It is on its way to another pool, under upkeep or down.
    Away,
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmEntry {
    /// The VM.
    pub vm: VmId,
    /// What it does.
    pub state: VmState,
    /// The worker on it.
    pub worker: Option<WorkerId>,
}

/// The platform's list of its VMs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<VmEntry>,
    /// Whether each row could be read. Otherwise a VM that isn't among them may be there all the same.
    pub complete: bool,
}

/// The operator wants upkeep of these VMs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wave {
    /// The VMs.
    pub vms: Vec<VmId>,
    /// By when, from the operator's request.
    pub within: Duration,
    /// So many may be down for it at one time.
    pub max_down: u32,
}

/// How far a wave is, for the operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaveState {
    /// Some of its VMs haven't been through their upkeep.
    Running,
    /// All that stay have been, and are back.
    Completed,
}

/// What became of an order to begin a VM's upkeep.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MaintenanceResult {
    /// It has begun, or was done before.
    Begun,
    /// Not begun: another process has given orders for this VM under a higher epoch.
    Outranked,
    /// Not begun: the VM isn't up, or is leaving.
    Busy,
    /// Not begun: the VM isn't one of this wave, or there is no such VM.
    NotOfWave,
    /// Not begun: too many calls at a time.
    Throttled,
    /// Nobody can say.
    Unknown,
}

/// What is recorded of a wave: an order is recorded before it is given, so that a successor counts the VM
/// as down, and repeats the order, which does no harm.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// VMs whose upkeep was ordered, and the worker that was on them then.
    pub requested: Vec<(VmId, Option<WorkerId>)>,
    /// VMs that have been through it and are back, or aren't there any more.
    pub finished: Vec<VmId>,
}
