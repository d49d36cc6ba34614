//! One row of the interference model: the weights of all best-effort images for one latency-critical
//! image, fitted to differences between workers.

use {
    super::model::{Exposure, Sample},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::time::Duration,
};

/// Standard deviation of the prior of a weight. A weight is the headroom that a best-effort image
/// takes if it uses a whole worker: 5 to 16 for interfering pairs, 0 to 2 for others.
pub(super) const PRIOR_SPREAD: f32 = 8.0;

/// Precision of the prior.
const PRIOR_PRECISION: f32 = 1.0 / (PRIOR_SPREAD * PRIOR_SPREAD);

/// Relative noise of a sample. Half of the samples are within 5%, three quarters within 12%;
/// successive samples of a worker are correlated.
const RELATIVE_NOISE: f32 = 0.15;

/// Lower bound of the expected headroom in the noise estimate.
const MIN_EXPECTED_HEADROOM: f32 = 0.6;

/// Deviation from the expected headroom, in multiples of the noise, beyond which a sample's weight is
/// reduced (Huber).
const OUTLIER_THRESHOLD: f32 = 1.5;

/// Time constant of the exponential decay of old samples.
const DECAY_SPAN: Duration = Duration::from_secs(30);

/// Number of passes over all weights per update; each update starts from the previous weights.
const SWEEPS: usize = 4;

/// Weights for one latency-critical image, and the sums they are fitted to.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Row {
    weights: Vec<f32>,
    /// Weighted sums of products of two exposures, as a row-major matrix.
    moments: Vec<f32>,
    /// Weighted sums of products of exposure and lost headroom.
    products: Vec<f32>,
}

fn share_at(exposure: &Exposure, column: usize) -> f32 {
    exposure.get(column).copied().unwrap_or(0.0)
}

impl Row {
    pub(super) fn weight(&self, column: usize) -> f32 {
        self.weights.get(column).copied().unwrap_or(0.0)
    }

    /// Returns the standard error of a weight if the others are exact.
    pub(super) fn standard_error(&self, column: usize) -> f32 {
        let index = column * self.weights.len() + column;
        let moment = if column < self.weights.len() { self.moments[index] } else { 0.0 };
        1.0 / (moment + PRIOR_PRECISION).sqrt()
    }

    /// Returns the expected headroom that an exposure takes.
    pub(super) fn total_interference(&self, exposure: &Exposure) -> f32 {
        exposure.iter().enumerate().map(|(column, share)| self.weight(column) * share).sum()
    }

    /// Grows the weights and sums to `size` columns.
    pub(super) fn grow(&mut self, size: usize) {
        let old = self.weights.len();
        if old >= size {
            return;
        }
        let mut moments = vec![0.0; size * size];
        for row in 0..old {
            moments[row * size..row * size + old]
                .copy_from_slice(&self.moments[row * old..(row + 1) * old]);
        }
        self.moments = moments;
        self.products.resize(size, 0.0);
        self.weights.resize(size, 0.0);
    }

    /// Returns the weight of a sample: lower with more noise and for outliers. `own_headroom` is the
    /// estimated headroom without best-effort tasks.
    fn sample_weight(&self, own_headroom: f32, sample: &Sample) -> f32 {
        let expected = own_headroom - self.total_interference(&sample.exposure);
        let noise = RELATIVE_NOISE * expected.max(MIN_EXPECTED_HEADROOM) / sample.count.sqrt();
        let deviation = (sample.headroom - expected).abs() / noise;
        OUTLIER_THRESHOLD / deviation.max(OUTLIER_THRESHOLD) / (noise * noise)
    }

    /// Adds the differences of simultaneous samples from their weighted mean.
    pub(super) fn add_differences(&mut self, own_headroom: f32, samples: &[&Sample]) {
        let size = self.weights.len();
        let weights: SmallVec<[f32; 8]> =
            samples.iter().map(|sample| self.sample_weight(own_headroom, sample)).collect();
        let total_weight: f32 = weights.iter().sum();
        let mean = |value: &dyn Fn(&Sample) -> f32| -> f32 {
            samples.iter().zip(&weights).map(|(sample, weight)| value(sample) * weight).sum::<f32>()
                / total_weight
        };
        let mean_headroom = mean(&|sample| sample.headroom);
        let mean_exposure: SmallVec<[f32; 24]> =
            (0..size).map(|column| mean(&|sample| share_at(&sample.exposure, column))).collect();
        for (sample, weight) in samples.iter().zip(&weights) {
            let exposure_diff: SmallVec<[f32; 24]> = (0..size)
                .map(|column| share_at(&sample.exposure, column) - mean_exposure[column])
                .collect();
            let headroom_lost = mean_headroom - sample.headroom;
            for row in 0..size {
                self.products[row] += weight * exposure_diff[row] * headroom_lost;
                for column in 0..size {
                    self.moments[row * size + column] +=
                        weight * exposure_diff[row] * exposure_diff[column];
                }
            }
        }
    }

    /// Decays the sums and fits non-negative weights by coordinate descent.
    pub(super) fn solve(&mut self, elapsed: Duration) {
        let decay = (-elapsed.as_secs_f32() / DECAY_SPAN.as_secs_f32()).exp();
        for sum in self.moments.iter_mut().chain(&mut self.products) {
            *sum *= decay;
        }
        let size = self.weights.len();
        for row in (0..size).cycle().take(size * SWEEPS) {
            let moments = &self.moments[row * size..(row + 1) * size];
            let predicted: f32 =
                moments.iter().zip(&self.weights).map(|(moment, weight)| moment * weight).sum();
            let predicted_by_others = predicted - moments[row] * self.weights[row];
            self.weights[row] = ((self.products[row] - predicted_by_others)
                / (moments[row] + PRIOR_PRECISION))
                .max(0.0);
        }
    }
}
