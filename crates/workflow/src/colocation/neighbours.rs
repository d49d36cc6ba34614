//! What shares a worker.

use {
    super::interference::{ImageNo, Sighting},
    crate::WorkflowId,
    egretlb_types::{MilliCores, Time},
    smallvec::SmallVec,
};

/// Fillers keep this share of their pace for each figure in which a serving task is over its target.
const TRUST_LOST: f32 = 0.4;

/// What trust regains with each figure without that.
const TRUST_REGAINED: f32 = 0.25;

/// How far a single figure strays by itself, as a share of it. A headroom that is below 1 by less isn't a
/// sign of anything.
const FIGURE_NOISE: f32 = 0.2;

/// What was last seen of a workflow's serving tasks at a worker.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) workflow: WorkflowId,
    pub(crate) image: ImageNo,
    pub(crate) at: Time,
    pub(crate) sighting: Sighting,
}

/// The serving tasks and the fillers of a worker.
#[derive(Debug)]
pub(crate) struct Neighbours {
    cores: f32,
    /// Images that serve here, and how many tasks of each.
    serving: SmallVec<[(ImageNo, u32); 4]>,
    /// Images that fill here, and the processor time that they may use at their paces, in thousandths of a
    /// core.
    filling: SmallVec<[(ImageNo, u32); 6]>,
    seen: SmallVec<[Seen; 4]>,
    /// The lowest own headroom of each image that serves here, as last noted.
    own: SmallVec<[(ImageNo, f32); 4]>,
    /// How much of the fillers' demand the serving tasks here could bear, as last reckoned.
    pub(super) openness: Option<f32>,
    /// The share of their pace that fillers get after a serving task went over its target for a reason
    /// that isn't known, from 0 to 1.
    trust: f32,
}

impl Neighbours {
    pub(crate) fn new(cpu: MilliCores) -> Neighbours {
        Neighbours {
            cores: cores(cpu),
            serving: SmallVec::new(),
            filling: SmallVec::new(),
            seen: SmallVec::new(),
            own: SmallVec::new(),
            openness: None,
            trust: 1.0,
        }
    }

    /// What was known of the worker's capacity before its own entry was read may be wrong.
    pub(crate) fn resize(&mut self, cpu: MilliCores) {
        self.cores = cores(cpu);
    }

    pub(crate) fn add_serving(&mut self, image: ImageNo) {
        add(&mut self.serving, image, 1);
        self.openness = None;
    }

    pub(crate) fn remove_serving(&mut self, image: ImageNo) {
        take(&mut self.serving, image, 1);
        self.openness = None;
    }

    pub(crate) fn add_filling(&mut self, image: ImageNo, cpu: MilliCores) {
        add(&mut self.filling, image, cpu.0);
    }

    pub(crate) fn remove_filling(&mut self, image: ImageNo, cpu: MilliCores) {
        take(&mut self.filling, image, cpu.0);
    }

    /// Images that serve here, and how many tasks of each.
    pub(crate) fn serving(&self) -> &[(ImageNo, u32)] {
        &self.serving
    }

    pub(super) fn filling(&self) -> &[(ImageNo, u32)] {
        &self.filling
    }

    /// How much of the worker an amount of processor time is.
    pub(crate) fn share(&self, cores: f32) -> f32 {
        cores / self.cores
    }

    /// The share of their pace that fillers get at most.
    pub(super) fn trust(&self) -> f32 {
        if self.serving.is_empty() { 1.0 } else { self.trust }
    }

    /// Takes in new figures of the serving tasks here.
    pub(crate) fn see(&mut self, seen: SmallVec<[Seen; 4]>) {
        if seen.is_empty() {
            return;
        }
        let missed = |Seen { sighting, .. }: &Seen| {
            sighting.headroom < 1.0 - FIGURE_NOISE / sighting.count.sqrt()
        };
        self.trust = if seen.iter().any(missed) {
            self.trust * TRUST_LOST
        } else {
            (self.trust + TRUST_REGAINED).min(1.0)
        };
        for new in seen {
            self.seen.retain(|known| known.workflow != new.workflow);
            self.seen.push(new);
        }
    }

    pub(super) fn seen(&self) -> &[Seen] {
        &self.seen
    }

    /// Notes the own headrooms of the serving tasks here. They are asked for with each task that looks for a
    /// place, and change little until the worker is heard again.
    pub(super) fn note_own(&mut self, own: impl Iterator<Item = (ImageNo, f32)>) {
        self.own.clear();
        for (image, headroom) in own {
            match self.own.iter_mut().find(|(known, _)| *known == image) {
                Some((_, lowest)) => *lowest = lowest.min(headroom),
                None => self.own.push((image, headroom)),
            }
        }
    }

    pub(super) fn own(&self, image: ImageNo) -> Option<f32> {
        self.own.iter().find(|(known, _)| *known == image).map(|(_, own)| *own)
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
