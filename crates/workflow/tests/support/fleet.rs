//! Fake platform API for VMs and their maintenance.

use {
    compact_str::format_compact,
    egretlb_types::{Epoch, Time},
    egretlb_workflow::{MaintenanceResult, VmEntry, VmId, VmState, WorkerId},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Duration of the maintenance of a VM.
const MAINTENANCE_TIME: Duration = Duration::from_secs(2);

#[derive(Default)]
pub struct Fleet {
    /// The worker on each VM; `None` while the VM is down.
    pub vms: BTreeMap<VmId, Option<WorkerId>>,
    /// VMs that are down, and until when.
    pub down: BTreeMap<VmId, Time>,
    pub done: BTreeSet<VmId>,
    last_epochs: BTreeMap<VmId, Epoch>,
    /// Maximum number of VMs that were down at once.
    pub max_down: usize,
    /// Wave states reported to the operator, in order.
    pub reported: Vec<egretlb_workflow::WaveState>,
}

pub fn vm(number: usize) -> VmId {
    VmId(format_compact!("m-{number}"))
}

impl Fleet {
    pub fn list(&self) -> Vec<VmEntry> {
        let entry = |(vm, worker): (&VmId, &Option<WorkerId>)| VmEntry {
            vm: vm.clone(),
            state: if worker.is_some() { VmState::Up } else { VmState::Away },
            worker: worker.clone(),
        };
        self.vms.iter().map(entry).collect()
    }

    /// Starts maintenance of a VM; returns the worker that it shuts down.
    pub fn begin(
        &mut self,
        now: Time,
        epoch: Epoch,
        vm: &VmId,
    ) -> (MaintenanceResult, Option<WorkerId>) {
        let last_epoch = self.last_epochs.entry(vm.clone()).or_insert(epoch);
        if epoch < *last_epoch {
            return (MaintenanceResult::Outranked, None);
        }
        *last_epoch = epoch;
        if self.done.contains(vm) {
            return (MaintenanceResult::Begun, None);
        }
        let Some(slot) = self.vms.get_mut(vm) else { return (MaintenanceResult::NotOfWave, None) };
        let Some(worker) = slot.take() else { return (MaintenanceResult::Busy, None) };
        self.done.insert(vm.clone());
        self.down.insert(vm.clone(), now + MAINTENANCE_TIME);
        self.max_down = self.max_down.max(self.down.len());
        (MaintenanceResult::Begun, Some(worker))
    }

    /// Returns VMs whose maintenance ends now.
    pub fn end_maintenance(&mut self, now: Time) -> Vec<VmId> {
        let due = self.down.iter().filter(|(_, until)| **until <= now);
        let due: Vec<VmId> = due.map(|(vm, _)| vm.clone()).collect();
        for vm in &due {
            self.down.remove(vm);
        }
        due
    }
}
