//! Estimates how much best-effort images reduce the headroom of latency-critical images.
//!
//! About half of all pairs of images hardly interfere; the others use up most of a task's headroom
//! with a few cores. Latency samples are half-second averages and also vary with the task's own
//! load, so samples of a single worker don't show the effect.
//!
//! Model: tail latency grows with the inverse of the spare capacity, as in a queue. Hence headroom,
//! the inverse of the tail latency as a multiple of its target, is linear: the headroom without
//! best-effort tasks minus, for each best-effort image, a weight times its share of the worker.
//! Below 1 the target is missed.
//!
//! All tasks of a workflow have the same load at any time. So the weights are fitted only to
//! differences between workers in the same interval, which cancel the load. Exposure, the share of
//! a worker that best-effort images use, is measured CPU use, not requested CPU.

use {
    super::row::{PRIOR_SPREAD, Row},
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::time::Duration,
};

/// Maximum number of best-effort images in the model; the interference of further ones counts as 0.
/// The cost of adding a sample grows with the square of this number.
const MAX_BEST_EFFORT_IMAGES: usize = 24;

/// Number of standard errors by which the upper bound of a weight exceeds its expected value.
const BOUND_STANDARD_ERRORS: f32 = 0.7;

/// Standard error of the interference at which a sample counts half in the estimate of the headroom
/// without best-effort tasks.
const HIGH_STANDARD_ERROR: f32 = 0.15;

/// Lower bound of tail ratios (tail latency divided by target). Latencies are in whole milliseconds,
/// so the inverse of a very small ratio is inaccurate.
const MIN_TAIL_RATIO: f32 = 0.15;

/// CPU use of each best-effort image on a worker, as a share of the worker. Indexed by the image's
/// column in the model.
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
    /// Index in exposures and rows, if best-effort tasks use the image.
    column: Option<usize>,
    /// Weights of best-effort images; empty unless latency-critical tasks use the image.
    row: Row,
}

/// The learned interference weights by pair of images. The leader records them periodically, so that a new
/// leader doesn't have to learn them again.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct InterferenceModel {
    images: Vec<Image>,
    columns: usize,
}

/// Sets the share of the best-effort image in `column`, filling up missing columns with 0.
pub fn set_share(exposure: &mut Exposure, column: usize, share: f32) {
    if exposure.len() <= column {
        exposure.resize(column + 1, 0.0);
    }
    exposure[column] = share;
}

/// Converts a tail ratio (tail latency divided by target) to headroom; 1 just meets the target.
pub fn headroom_of(tail_ratio: f32) -> f32 {
    1.0 / tail_ratio.max(MIN_TAIL_RATIO)
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

    /// Returns the column of a best-effort image, assigning one if needed, or `None` if there are
    /// `MAX_BEST_EFFORT_IMAGES` others.
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
        let weighted_headroom = |sample: &&Sample| {
            let standard_error =
                self.standard_error(latency_critical, &sample.exposure) / HIGH_STANDARD_ERROR;
            let own_headroom =
                sample.headroom + self.total_interference(latency_critical, &sample.exposure);
            (own_headroom, sample.count.sqrt() / (1.0 + standard_error * standard_error))
        };
        let mut values: SmallVec<[(f32, f32); 8]> = samples.iter().map(weighted_headroom).collect();
        median(&mut values)
    }

    /// Adds simultaneous samples of one workflow from several workers. A single worker can't
    /// separate load from interference.
    pub fn observe(&mut self, latency_critical: ImageNo, samples: &[&Sample]) {
        if samples.len() < 2 {
            return;
        }
        let own_headroom = self.own_headroom(latency_critical, samples);
        let size = self.columns;
        if let Some(image) = self.images.get_mut(usize::from(latency_critical.0)) {
            image.row.grow(size);
            image.row.add_differences(own_headroom, samples);
        }
    }

    /// Decays old samples and updates the weights.
    pub fn solve(&mut self, elapsed: Duration) {
        for image in &mut self.images {
            image.row.solve(elapsed);
        }
    }

    /// Returns the row and column of a pair of images, or `None` if the model has none for it.
    fn row_and_column(
        &self,
        latency_critical: ImageNo,
        best_effort: ImageNo,
    ) -> Option<(&Row, usize)> {
        let row = &self.images.get(usize::from(latency_critical.0))?.row;
        Some((row, self.images.get(usize::from(best_effort.0))?.column?))
    }

    /// Returns an upper bound of the headroom that a best-effort image takes from a
    /// latency-critical one if it uses `share` of the worker.
    pub fn interference_bound(
        &self,
        latency_critical: ImageNo,
        best_effort: ImageNo,
        share: f32,
    ) -> f32 {
        let Some((row, column)) = self.row_and_column(latency_critical, best_effort) else {
            let has_free_column = self.columns < MAX_BEST_EFFORT_IMAGES;
            return if has_free_column {
                BOUND_STANDARD_ERRORS * PRIOR_SPREAD * share
            } else {
                0.0
            };
        };
        (row.weight(column) + BOUND_STANDARD_ERRORS * row.standard_error(column)) * share
    }

    /// Returns the expected headroom that a best-effort image takes from a latency-critical one if it
    /// uses `share` of the worker; 0 for a pair without samples.
    pub fn expected_interference(
        &self,
        latency_critical: ImageNo,
        best_effort: ImageNo,
        share: f32,
    ) -> f32 {
        self.row_and_column(latency_critical, best_effort)
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
        let squared_error =
            |(column, share): (usize, &f32)| (image.row.standard_error(column) * share).powi(2);
        exposure.iter().enumerate().map(squared_error).sum::<f32>().sqrt()
    }
}
