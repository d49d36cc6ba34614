//! What shares a worker.

use {
    super::model::{ImageNo, Sample},
    crate::WorkflowId,
    egretlb_types::{MilliCores, Time},
    smallvec::SmallVec,
};

/// Fillers keep this share of their pace for each figure in which a serving task is over its target.
const PACE_LIMIT_DECREASE: f32 = 0.4;

/// What trust regains with each figure without that.
const PACE_LIMIT_INCREASE: f32 = 0.25;

/// How far a single figure strays by itself, as a share of it. A headroom that is below 1 by less isn't a
/// sign of anything.
const LATENCY_NOISE: f32 = 0.2;

/// What was last seen of a workflow's serving tasks at a worker.
#[derive(Clone, Debug)]
pub(crate) struct Observation {
    pub(crate) workflow: WorkflowId,
    pub(crate) image: ImageNo,
    pub(crate) at: Time,
    pub(crate) sample: Sample,
}

/// The serving tasks and the fillers of a worker.
#[derive(Debug)]
pub(crate) struct Neighbours {
    cores: f32,
    /// Images that serve here, and how many tasks of each.
    latency_critical: SmallVec<[(ImageNo, u32); 4]>,
    /// Images that fill here, and the processor time that they may use at their paces, in thousandths of a
    /// core.
    best_effort: SmallVec<[(ImageNo, u32); 6]>,
    observations: SmallVec<[Observation; 4]>,
    /// The lowest own headroom of each image that serves here, as last noted.
    own_headroom: SmallVec<[(ImageNo, f32); 4]>,
    /// How much of the fillers' demand the serving tasks here could bear, as last reckoned.
    pub(super) acceptance: Option<f32>,
    /// The share of their pace that fillers get after a serving task went over its target for a reason
    /// that isn't known, from 0 to 1.
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

    /// What was known of the worker's capacity before its own entry was read may be wrong.
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

    /// Images that serve here, and how many tasks of each.
    pub(crate) fn latency_critical(&self) -> &[(ImageNo, u32)] {
        &self.latency_critical
    }

    pub(super) fn best_effort(&self) -> &[(ImageNo, u32)] {
        &self.best_effort
    }

    /// How much of the worker an amount of processor time is.
    pub(crate) fn share(&self, cores: f32) -> f32 {
        cores / self.cores
    }

    /// The share of their pace that fillers get at most.
    pub(super) fn pace_limit(&self) -> f32 {
        if self.latency_critical.is_empty() { 1.0 } else { self.pace_limit }
    }

    /// Takes in new figures of the serving tasks here.
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
            self.observations.retain(|known| known.workflow != new.workflow);
            self.observations.push(new);
        }
    }

    pub(super) fn observations(&self) -> &[Observation] {
        &self.observations
    }

    /// Notes the own headrooms of the serving tasks here. They are asked for with each task that looks for a
    /// place, and change little until the worker is heard again.
    pub(super) fn update_own_headroom(
        &mut self,
        own_headroom: impl Iterator<Item = (ImageNo, f32)>,
    ) {
        self.own_headroom.clear();
        for (image, headroom) in own_headroom {
            match self.own_headroom.iter_mut().find(|(known, _)| *known == image) {
                Some((_, lowest)) => *lowest = lowest.min(headroom),
                None => self.own_headroom.push((image, headroom)),
            }
        }
    }

    pub(super) fn own_headroom(&self, image: ImageNo) -> Option<f32> {
        self.own_headroom
            .iter()
            .find(|(known, _)| *known == image)
            .map(|(_, own_headroom)| *own_headroom)
    }
}

/// A worker of which nothing is known yet counts as one of one core.
fn cores(cpu: MilliCores) -> f32 {
    (cpu.0 as f32 / 1_000.0).max(1.0)
}

/// Adds to an image's sum.
fn add(
    sums: &mut SmallVec<impl smallvec::Array<Item = (ImageNo, u32)>>,
    image: ImageNo,
    amount: u32,
) {
    match sums.iter_mut().find(|(known, _)| *known == image) {
        Some((_, sum)) => *sum += amount,
        None => sums.push((image, amount)),
    }
}

/// Takes from an image's sum, and forgets the image with the last of it.
fn take(
    sums: &mut SmallVec<impl smallvec::Array<Item = (ImageNo, u32)>>,
    image: ImageNo,
    amount: u32,
) {
    for (known, sum) in sums.iter_mut() {
        if *known == image {
            *sum = sum.saturating_sub(amount);
        }
    }
    sums.retain(|(_, sum)| *sum > 0);
}
