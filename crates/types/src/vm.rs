//! The platform's list of VMs.

use {
    crate::{
        ids::{DataCentre, Rack, VmId},
        resources::Resources,
    },
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// A VM's state on the platform's list. The list lags: the VM may already be gone.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It accepts work.
    Live,
    /// It is draining: it gets no new work.
    Leaving,
}

/// One worker VM on the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM.
    pub vm: VmId,
    /// The address of the worker and of its backend server, as `ip:port`.
    pub addr: CompactString,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its rack.
    pub rack: Rack,
    /// Whether it accepts work.
    pub state: VmState,
    /// Its total resources.
    pub capacity: Resources,
    /// Maximum number of concurrent requests of its backend server.
    pub slots: u16,
    /// Maximum number of concurrent connections of its backend server.
    pub connections: u16,
}
