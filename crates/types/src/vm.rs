//! The platform's list of VMs.

use {
    crate::{
        ids::{DataCentre, Rack, VmId},
        resources::Resources,
    },
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// What the platform says of a VM. The list lags: a VM may already be gone.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It takes work.
    Live,
    /// It is going away: it gets nothing new.
    Leaving,
}

/// One worker VM on the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM.
    pub vm: VmId,
    /// Where the worker listens, as `ip:port`; also the address of its backend server.
    pub addr: CompactString,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its rack.
    pub rack: Rack,
    /// Live or leaving.
    pub state: VmState,
    /// What it can hold.
    pub capacity: Resources,
    /// How many requests its backend server works on at once.
    pub slots: u16,
    /// How many connections its backend server accepts at once.
    pub connections: u16,
}
