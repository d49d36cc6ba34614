//! Estimates how much best-effort images reduce the headroom of latency-critical images.
//!
//! About half of all pairs of images hardly interfere; the others use up most of a task's headroom
//! with a few cores. Latency samples are half-second averages and also vary with the task's own
//! load, so the effect can't be read off a single worker.
//!
//! Model: tail latency grows with the inverse of the spare capacity, as in a queue. Hence headroom,
//! the inverse of the tail latency as a multiple of its target, is linear: the headroom without
//! best-effort tasks minus, for each best-effort image, a weight times its share of the worker.
//! Below 1 the target is missed.
//!
//! All tasks of a workflow have the same load at any time. So the weights are fitted only to
//! differences between workers in the same interval, which cancel the load. Exposure is measured
//! CPU use, not requested CPU.

use {
    super::row::{PRIOR_SPREAD, Row},
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::time::Duration,
};

/// Maximum number of best-effort images that are modelled; further ones count as harmless. The cost
/// of a sample grows with the square.
const MAX_BEST_EFFORT_IMAGES: usize = 24;

/// Number of standard errors added to a weight for its upper bound.
const BOUND_STANDARD_ERRORS: f32 = 0.7;

/// Standard error of the interference at which a sample counts half in the estimate of the headroom
/// without best-effort tasks.
const HIGH_STANDARD_ERROR: f32 = 0.15;

/// Lower bound of tail ratios: latencies are whole milliseconds, and the inverse jumps at very
/// small values.
const MIN_TAIL_RATIO: f32 = 0.15;

/// CPU use by best-effort image, as a share of the worker, indexed by column.
pub type Exposure = SmallVec<[f32; 12]>;

/// Number of an image, in order of first use.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ImageNo(u16);

/// A sample of one workflow's latency-critical tasks on one worker.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    /// Median headroom of the tasks.
    pub headroom: f32,
    /// Number of tasks.
    pub count: f32,
    /// CPU use of best-effort tasks during the sample.
    pub exposure: Exposure,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Image {
    name: CompactString,
    /// Index in exposures, if it is used by best-effort tasks.
    column: Option<usize>,
    /// Weights of best-effort images, if it is used by latency-critical tasks.
    row: Row,
}

/// The learned weights by pair of images. The leader records them periodically, so that a new
/// leader doesn't have to learn them again.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct InterferenceModel {
    images: Vec<Image>,
    columns: usize,
}

/// Sets an entry, growing the list if needed.
pub fn set_share(exposure: &mut Exposure, index: usize, share: f32) {
    if exposure.len() <= index {
        exposure.resize(index + 1, 0.0);
    }
    exposure[index] = share;
}

/// Converts a tail latency, as a multiple of its target, to headroom; 1 just meets the target.
pub fn headroom_of(ratio: f32) -> f32 {
    1.0 / ratio.max(MIN_TAIL_RATIO)
}

/// Returns the weighted median of (value, weight) pairs; between two values it is their mean.
pub(super) fn median(values: &mut [(f32, f32)]) -> f32 {
    values.sort_unstable_by(|(left, _), (right, _)| left.total_cmp(right));
    let half = values.iter().map(|(_, weight)| weight).sum::<f32>() / 2.0;
    let mut below = 0.0;
    for (index, (value, weight)) in values.iter().enumerate() {
        below += weight;
        if below > half {
            return *value;
        }
        if below >= half {
            return values.get(index + 1).map_or(*value, |(next, _)| f32::midpoint(*value, *next));
        }
    }
    0.0
}

impl InterferenceModel {
    /// Returns the number of an image, adding it if needed. Images beyond 65,535 share a number.
    pub fn image(&mut self, name: &CompactString) -> ImageNo {
        let number = |index| ImageNo(u16::try_from(index).unwrap_or(u16::MAX));
        if let Some(index) = self.images.iter().position(|image| image.name == *name) {
            return number(index);
        }
        if self.images.len() > usize::from(u16::MAX) {
            return ImageNo(u16::MAX);
        }
        self.images.push(Image { name: name.clone(), column: None, row: Row::default() });
        number(self.images.len() - 1)
    }

    /// Returns an image's name, or an empty string if it is unknown.
    pub fn name(&self, image: ImageNo) -> &str {
        self.images.get(usize::from(image.0)).map_or("", |image| image.name.as_str())
    }

    /// Returns the index of a best-effort image in exposures, or `None` if there are too many.
    pub fn column(&mut self, best_effort: ImageNo) -> Option<usize> {
        let columns = self.columns;
        let image = self.images.get_mut(usize::from(best_effort.0))?;
        if image.column.is_none() && columns < MAX_BEST_EFFORT_IMAGES {
            image.column = Some(columns);
            self.columns += 1;
        }
        image.column
    }

    /// Estimates the headroom of a workflow's tasks without best-effort tasks: the weighted median
    /// over workers, since one sample in twenty is an outlier.
    pub fn own_headroom(&self, latency_critical: ImageNo, samples: &[&Sample]) -> f32 {
        let own = |sample: &&Sample| {
            let standard_error =
                self.standard_error(latency_critical, &sample.exposure) / HIGH_STANDARD_ERROR;
            let own = sample.headroom + self.total_interference(latency_critical, &sample.exposure);
            (own, sample.count.sqrt() / (1.0 + standard_error * standard_error))
        };
        let mut values: SmallVec<[(f32, f32); 8]> = samples.iter().map(own).collect();
        median(&mut values)
    }

    /// Adds simultaneous samples of one workflow from several workers. A single worker can't
    /// separate load from interference.
    pub fn observe(&mut self, latency_critical: ImageNo, samples: &[&Sample]) {
        if samples.len() < 2 {
            return;
        }
        let own = self.own_headroom(latency_critical, samples);
        let size = self.columns;
        if let Some(image) = self.images.get_mut(usize::from(latency_critical.0)) {
            image.row.grow(size);
            image.row.add_contrasts(own, samples);
        }
    }

    /// Decays old samples and updates the weights.
    pub fn solve(&mut self, elapsed: Duration) {
        for image in &mut self.images {
            image.row.solve(elapsed);
        }
    }

    fn pair(&self, latency_critical: ImageNo, best_effort: ImageNo) -> Option<(&Row, usize)> {
        let row = &self.images.get(usize::from(latency_critical.0))?.row;
        Some((row, self.images.get(usize::from(best_effort.0))?.column?))
    }

    /// Returns an upper bound of the headroom that a best-effort image takes from a
    /// latency-critical one with a share of the worker.
    pub fn interference_bound(
        &self,
        latency_critical: ImageNo,
        best_effort: ImageNo,
        share: f32,
    ) -> f32 {
        let Some((row, column)) = self.pair(latency_critical, best_effort) else {
            let has_free_column = self.columns < MAX_BEST_EFFORT_IMAGES;
            return if has_free_column {
                BOUND_STANDARD_ERRORS * PRIOR_SPREAD * share
            } else {
                0.0
            };
        };
        (row.weight(column) + BOUND_STANDARD_ERRORS * row.error(column)) * share
    }

    /// Returns the expected value of the same, which is 0 for a pair without samples.
    pub fn expected_interference(
        &self,
        latency_critical: ImageNo,
        best_effort: ImageNo,
        share: f32,
    ) -> f32 {
        self.pair(latency_critical, best_effort)
            .map_or(0.0, |(row, column)| row.weight(column) * share)
    }

    /// Returns the expected headroom that an exposure takes from a latency-critical image.
    pub fn total_interference(&self, latency_critical: ImageNo, exposure: &Exposure) -> f32 {
        let Some(image) = self.images.get(usize::from(latency_critical.0)) else { return 0.0 };
        image.row.total_interference(exposure)
    }

    /// Returns the standard error of [`InterferenceModel::total_interference`].
    pub fn standard_error(&self, latency_critical: ImageNo, exposure: &Exposure) -> f32 {
        let Some(image) = self.images.get(usize::from(latency_critical.0)) else { return 0.0 };
        let error = |(column, share): (usize, &f32)| (image.row.error(column) * share).powi(2);
        exposure.iter().enumerate().map(error).sum::<f32>().sqrt()
    }
}
