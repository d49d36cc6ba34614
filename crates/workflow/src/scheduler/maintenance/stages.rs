//! Progress of waves and of their VMs.

use {
    crate::{VmEntry, VmId, Wave, WaveProgress, WaveState, WorkerId},
    egretlb_types::Time,
    std::collections::{BTreeMap, BTreeSet},
};

/// Stage of a VM in a wave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// Its worker gets no new tasks and is drained.
    Draining {
        /// The worker on it.
        worker: WorkerId,
        /// When draining began.
        since: Time,
    },
    /// The request to take it down is to be recorded.
    Recording {
        /// The worker on it.
        worker: Option<WorkerId>,
    },
    /// The request is recorded: it may take effect at any time until it is confirmed.
    Requested {
        /// The worker that was on it.
        worker: Option<WorkerId>,
        /// When the request under way was sent, if one is.
        sent: Option<Time>,
        /// Earliest time of the next request.
        retry_at: Time,
    },
    /// Its maintenance has begun.
    Down {
        /// The worker that was on it.
        worker: Option<WorkerId>,
        /// When it went down.
        since: Time,
    },
    /// Its maintenance is over, or it no longer exists.
    Finished,
}

/// A wave under way.
#[derive(Debug)]
pub(super) struct ActiveWave {
    pub(super) wave: Wave,
    pub(super) deadline: Time,
    pub(super) stages: BTreeMap<VmId, Stage>,
    /// The state last reported to the operator, and whether that is stored.
    pub(super) reported: Option<(WaveState, bool)>,
}

impl ActiveWave {
    /// Number of VMs that are down, or may be.
    pub(super) fn down(&self) -> usize {
        let is_down = |stage: &&Stage| {
            matches!(stage, Stage::Recording { .. } | Stage::Requested { .. } | Stage::Down { .. })
        };
        self.stages.values().filter(is_down).count()
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
                | Stage::Requested { worker, .. }
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
    pub(super) waves: BTreeMap<u64, ActiveWave>,
    pub(super) vms: BTreeMap<VmId, VmEntry>,
    /// The last listing could be read in full: a VM that isn't in it doesn't exist.
    pub(super) listing_complete: bool,
    /// When the listing under way was requested.
    pub(super) listing_requested_at: Option<Time>,
    /// When the last successful listing was requested.
    pub(super) listed_at: Option<Time>,
    /// Waves whose progress has changed since it was last recorded.
    pub(super) dirty: BTreeSet<u64>,
}

impl Maintenance {
    /// Whether a worker gets no new tasks.
    pub(super) fn is_in_maintenance(&self, id: &WorkerId) -> bool {
        let involves_worker = |stage: &Stage| match stage {
            Stage::Draining { worker, .. } => worker == id,
            Stage::Recording { worker }
            | Stage::Requested { worker, .. }
            | Stage::Down { worker, .. } => worker.as_ref() == Some(id),
            Stage::Finished => false,
        };
        self.waves.values().any(|active| active.stages.values().any(involves_worker))
    }

    /// Takes the progress to be recorded, by wave.
    pub(in crate::scheduler) fn take_dirty(&mut self) -> Vec<(u64, WaveProgress)> {
        let dirty = std::mem::take(&mut self.dirty);
        let progress = |number: &u64| Some((*number, self.waves.get(number)?.progress()));
        dirty.iter().filter_map(progress).collect()
    }

    /// Marks a wave to be recorded again.
    pub(in crate::scheduler) fn record_again(&mut self, number: u64) {
        if self.waves.contains_key(&number) {
            self.dirty.insert(number);
        }
    }

    pub(in crate::scheduler) fn is_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Handles recorded progress: the recorded requests may be sent.
    pub(in crate::scheduler) fn on_recorded(
        &mut self,
        now: Time,
        recorded: &[(u64, WaveProgress)],
    ) {
        for (number, progress) in recorded {
            let Some(active) = self.waves.get_mut(number) else { continue };
            for (vm, worker) in &progress.requested {
                if let Some(stage @ Stage::Recording { .. }) = active.stages.get_mut(vm) {
                    let worker = worker.clone();
                    *stage = Stage::Requested { worker, sent: None, retry_at: now };
                }
            }
        }
    }
}
