//! How far waves and their VMs are.

use {
    crate::{VmEntry, VmId, Wave, WaveProgress, WaveState, WorkerId},
    egretlb_types::Time,
    std::collections::{BTreeMap, BTreeSet},
};

/// How far a VM of a wave is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// It gets no new work and is emptied.
    Draining {
        /// The worker on it.
        worker: WorkerId,
        /// Since when.
        since: Time,
    },
    /// The order is to be recorded.
    Recording {
        /// The worker on it.
        worker: Option<WorkerId>,
    },
    /// The order is recorded: it may be carried out at any time until it is confirmed.
    Ordered {
        /// The worker that was on it.
        worker: Option<WorkerId>,
        /// When it was last sent, if it is under way.
        sent: Option<Time>,
        /// Not again before.
        again: Time,
    },
    /// It has begun.
    Down {
        /// The worker that was on it.
        worker: Option<WorkerId>,
        /// Since when.
        since: Time,
    },
    /// It has been through it, or it isn't there any more.
    Finished,
}

/// A wave under way.
#[derive(Debug)]
pub(super) struct WaveRun {
    pub(super) wave: Wave,
    pub(super) due: Time,
    pub(super) stages: BTreeMap<VmId, Stage>,
    /// What the operator was last told, and whether that is stored.
    pub(super) reported: Option<(WaveState, bool)>,
}

impl WaveRun {
    /// VMs that are down, or may be.
    pub(super) fn down(&self) -> usize {
        let away = |stage: &&Stage| {
            matches!(stage, Stage::Recording { .. } | Stage::Ordered { .. } | Stage::Down { .. })
        };
        self.stages.values().filter(away).count()
    }

    pub(super) fn draining(&self) -> usize {
        self.stages.values().filter(|stage| matches!(stage, Stage::Draining { .. })).count()
    }

    pub(super) fn is_finished(&self) -> bool {
        self.wave.vms.iter().all(|vm| self.stages.get(vm) == Some(&Stage::Finished))
    }

    pub(super) fn progress(&self) -> WaveProgress {
        let mut progress = WaveProgress::default();
        for (vm, stage) in &self.stages {
            match stage {
                Stage::Draining { .. } => {}
                Stage::Recording { worker }
                | Stage::Ordered { worker, .. }
                | Stage::Down { worker, .. } => {
                    progress.requested.push((vm.clone(), worker.clone()))
                }
                Stage::Finished => progress.finished.push(vm.clone()),
            }
        }
        progress
    }
}

/// All waves, and the VMs as last listed.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct Maintenance {
    pub(super) runs: BTreeMap<u64, WaveRun>,
    pub(super) vms: BTreeMap<VmId, VmEntry>,
    /// The last listing could be read as a whole: what isn't in it isn't there.
    pub(super) whole: bool,
    /// When the listing under way was asked for.
    pub(super) listing: Option<Time>,
    /// When the last complete listing was asked for.
    pub(super) listed: Option<Time>,
    pub(super) dirty: BTreeSet<u64>,
}

impl Maintenance {
    /// Workers that get no new work.
    pub(super) fn is_in_maintenance(&self, id: &WorkerId) -> bool {
        let held = |stage: &Stage| match stage {
            Stage::Draining { worker, .. } => worker == id,
            Stage::Recording { worker }
            | Stage::Ordered { worker, .. }
            | Stage::Down { worker, .. } => worker.as_ref() == Some(id),
            Stage::Finished => false,
        };
        self.runs.values().any(|run| run.stages.values().any(held))
    }

    /// What is to be recorded, with the waves that it is of.
    pub(in crate::scheduler) fn take_dirty(&mut self) -> Vec<(u64, WaveProgress)> {
        let dirty = std::mem::take(&mut self.dirty);
        let progress = |number: &u64| Some((*number, self.runs.get(number)?.progress()));
        dirty.iter().filter_map(progress).collect()
    }

    /// A wave's record was lost.
    pub(in crate::scheduler) fn record_again(&mut self, number: u64) {
        if self.runs.contains_key(&number) {
            self.dirty.insert(number);
        }
    }

    pub(in crate::scheduler) fn is_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// The progress of these waves is recorded: what it orders may be ordered.
    pub(in crate::scheduler) fn on_recorded(
        &mut self,
        now: Time,
        recorded: &[(u64, WaveProgress)],
    ) {
        for (number, progress) in recorded {
            let Some(run) = self.runs.get_mut(number) else { continue };
            for (vm, worker) in &progress.requested {
                if let Some(stage @ Stage::Recording { .. }) = run.stages.get_mut(vm) {
                    let worker = worker.clone();
                    *stage = Stage::Ordered { worker, sent: None, again: now };
                }
            }
        }
    }
}
