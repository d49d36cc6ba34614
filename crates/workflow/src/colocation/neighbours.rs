//! Tasks that share a worker.

use {
    super::model::{ImageNo, Sample},
    crate::WorkflowId,
    egretlb_types::{MilliCores, Time},
    smallvec::SmallVec,
};

/// Factor on the pace limit for each sample in which a latency-critical task misses its target.
const PACE_LIMIT_DECREASE: f32 = 0.4;

/// Increase of the pace limit for each sample without a miss.
const PACE_LIMIT_INCREASE: f32 = 0.25;

/// Relative noise of a single sample; headroom within it below 1 isn't a miss.
const LATENCY_NOISE: f32 = 0.2;

/// The last sample of a workflow's latency-critical tasks on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Observation {
    pub(crate) workflow: WorkflowId,
    pub(crate) image: ImageNo,
    pub(crate) at: Time,
    pub(crate) sample: Sample,
}

/// The latency-critical and best-effort tasks of a worker.
#[derive(Debug)]
pub(crate) struct Neighbours {
    cores: f32,
    /// Latency-critical images and the number of tasks of each.
    latency_critical: SmallVec<[(ImageNo, u32); 4]>,
    /// Best-effort images and the CPU time allowed at their paces, in millicores.
    best_effort: SmallVec<[(ImageNo, u32); 6]>,
    observations: SmallVec<[Observation; 4]>,
    /// Lowest headroom of each latency-critical image without best-effort tasks.
    own_headroom: SmallVec<[(ImageNo, f32); 4]>,
    /// Cached acceptance; `None` after a change of latency-critical tasks.
    pub(super) acceptance: Option<f32>,
    /// Maximum pace of best-effort tasks, from 0 to 1. Reduced after a target is missed for an
    /// unknown reason.
    pace_limit: f32,
}

impl Neighbours {
    pub(crate) fn new(cpu: MilliCores) -> Neighbours {
        Neighbours {
            cores: cores(cpu),
            latency_critical: SmallVec::new(),
            best_effort: SmallVec::new(),
            observations: SmallVec::new(),
            own_headroom: SmallVec::new(),
            acceptance: None,
            pace_limit: 1.0,
        }
    }

    /// Sets the capacity once the worker's own entry has been read.
    pub(crate) fn set_capacity(&mut self, cpu: MilliCores) {
        self.cores = cores(cpu);
    }

    pub(crate) fn add_latency_critical(&mut self, image: ImageNo) {
        add(&mut self.latency_critical, image, 1);
        self.acceptance = None;
    }

    pub(crate) fn remove_latency_critical(&mut self, image: ImageNo) {
        take(&mut self.latency_critical, image, 1);
        self.acceptance = None;
    }

    pub(crate) fn add_best_effort(&mut self, image: ImageNo, cpu: MilliCores) {
        add(&mut self.best_effort, image, cpu.0);
    }

    pub(crate) fn remove_best_effort(&mut self, image: ImageNo, cpu: MilliCores) {
        take(&mut self.best_effort, image, cpu.0);
    }

    /// Returns the latency-critical images and the number of tasks of each.
    pub(crate) fn latency_critical(&self) -> &[(ImageNo, u32)] {
        &self.latency_critical
    }

    pub(super) fn best_effort(&self) -> &[(ImageNo, u32)] {
        &self.best_effort
    }

    /// Converts cores to a share of the worker.
    pub(crate) fn share(&self, cores: f32) -> f32 {
        cores / self.cores
    }

    /// Returns the maximum pace of best-effort tasks.
    pub(super) fn pace_limit(&self) -> f32 {
        if self.latency_critical.is_empty() { 1.0 } else { self.pace_limit }
    }

    /// Adds new samples and adjusts the pace limit.
    pub(crate) fn add_observations(&mut self, observations: SmallVec<[Observation; 4]>) {
        if observations.is_empty() {
            return;
        }
        let missed = |Observation { sample, .. }: &Observation| {
            sample.headroom < 1.0 - LATENCY_NOISE / sample.count.sqrt()
        };
        self.pace_limit = if observations.iter().any(missed) {
            self.pace_limit * PACE_LIMIT_DECREASE
        } else {
            (self.pace_limit + PACE_LIMIT_INCREASE).min(1.0)
        };
        for new in observations {
            self.observations.retain(|other| other.workflow != new.workflow);
            self.observations.push(new);
        }
    }

    pub(super) fn observations(&self) -> &[Observation] {
        &self.observations
    }

    /// Stores the lowest headroom per latency-critical image.
    pub(super) fn update_own_headroom(
        &mut self,
        own_headroom: impl Iterator<Item = (ImageNo, f32)>,
    ) {
        self.own_headroom.clear();
        for (image, headroom) in own_headroom {
            match self.own_headroom.iter_mut().find(|(other, _)| *other == image) {
                Some((_, lowest)) => *lowest = lowest.min(headroom),
                None => self.own_headroom.push((image, headroom)),
            }
        }
    }

    pub(super) fn own_headroom(&self, image: ImageNo) -> Option<f32> {
        self.own_headroom
            .iter()
            .find(|(other, _)| *other == image)
            .map(|(_, own_headroom)| *own_headroom)
    }
}

/// Converts to cores, at least one, in case the capacity isn't known yet.
fn cores(cpu: MilliCores) -> f32 {
    (cpu.0 as f32 / 1_000.0).max(1.0)
}

/// Adds to an image's sum.
fn add(
    sums: &mut SmallVec<impl smallvec::Array<Item = (ImageNo, u32)>>,
    image: ImageNo,
    amount: u32,
) {
    match sums.iter_mut().find(|(other, _)| *other == image) {
        Some((_, sum)) => *sum += amount,
        None => sums.push((image, amount)),
    }
}

/// Subtracts from an image's sum, and removes the image at 0.
fn take(
    sums: &mut SmallVec<impl smallvec::Array<Item = (ImageNo, u32)>>,
    image: ImageNo,
    amount: u32,
) {
    for (other, sum) in sums.iter_mut() {
        if *other == image {
            *sum = sum.saturating_sub(amount);
        }
    }
    sums.retain(|(_, sum)| *sum > 0);
}
