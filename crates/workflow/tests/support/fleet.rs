//! A stand-in of the platform's VMs and their upkeep.

use {
    compact_str::format_compact,
    egretlb_types::{Epoch, Time},
    egretlb_workflow::{MaintenanceResult, VmEntry, VmId, VmState, WorkerId},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How long an upkeep takes.
const UPKEEP: Duration = Duration::from_secs(2);

#[derive(Default)]
pub struct Fleet {
    /// The worker on each VM; none while the VM is down.
    pub vms: BTreeMap<VmId, Option<WorkerId>>,
    /// VMs that are down, and until when.
    pub down: BTreeMap<VmId, Time>,
    pub done: BTreeSet<VmId>,
    tokens: BTreeMap<VmId, Epoch>,
    /// The most VMs that were down at one time.
    pub max_down: usize,
    /// What the operator was told, in order.
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

    /// Begins an upkeep; returns the worker that ends by it.
    pub fn begin(
        &mut self,
        now: Time,
        epoch: Epoch,
        vm: &VmId,
    ) -> (MaintenanceResult, Option<WorkerId>) {
        let token = self.tokens.entry(vm.clone()).or_insert(epoch);
        if epoch < *token {
            return (MaintenanceResult::Outranked, None);
        }
        *token = epoch;
        if self.done.contains(vm) {
            return (MaintenanceResult::Begun, None);
        }
        let Some(known) = self.vms.get_mut(vm) else { return (MaintenanceResult::NotOfWave, None) };
        let Some(worker) = known.take() else { return (MaintenanceResult::Busy, None) };
        self.done.insert(vm.clone());
        self.down.insert(vm.clone(), now + UPKEEP);
        self.max_down = self.max_down.max(self.down.len());
        (MaintenanceResult::Begun, Some(worker))
    }

    /// VMs whose upkeep ends now.
    pub fn back(&mut self, now: Time) -> Vec<VmId> {
        let due = self.down.iter().filter(|(_, until)| **until <= now);
        let due: Vec<VmId> = due.map(|(vm, _)| vm.clone()).collect();
        for vm in &due {
            self.down.remove(vm);
        }
        due
    }
}
