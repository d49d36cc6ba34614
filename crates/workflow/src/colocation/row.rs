//! What fillers take from one serving image, fitted to contrasts between workers.

use {
    super::model::{Exposure, Sample},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::time::Duration,
};

/// What is believed of a weight before anything was seen: that it is about this large at most, for a whole
/// worker. Pairs that press have weights of 5 to 16, the others 0 to 2.
pub(super) const PRIOR_SPREAD: f32 = 8.0;

/// What is believed at first counts as much as sightings of this moment.
const PRIOR_PRECISION: f32 = 1.0 / (PRIOR_SPREAD * PRIOR_SPREAD);

/// How far a figure strays by itself, as a share of it. Half of the figures are within 5%, three in four
/// within 12%; those of one worker stray together for a second, which is four of them.
const RELATIVE_NOISE: f32 = 0.15;

/// A headroom below this counts as this much when its noise is reckoned.
const MIN_EXPECTED_HEADROOM: f32 = 0.6;

/// A figure that strays by more than so many times its noise counts less, so that no single one decides: a
/// twentieth of them are off by half and more.
const OUTLIER_THRESHOLD: f32 = 1.5;

/// Sightings are forgotten over this span.
const MEMORY_SPAN: Duration = Duration::from_secs(30);

/// Sweeps of the solver after each round of sightings. It begins at the weights found before, which change
/// little within a round.
const SWEEPS: usize = 4;

/// The weights of fillers beside one serving image, and the sums that they are fitted to.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Row {
    weights: Vec<f32>,
    /// The sums of products of exposures, row by row.
    moments: Vec<f32>,
    /// The sums of products of exposures and what headrooms lacked.
    products: Vec<f32>,
}

fn at(exposure: &Exposure, column: usize) -> f32 {
    exposure.get(column).copied().unwrap_or(0.0)
}

impl Row {
    pub(super) fn weight(&self, column: usize) -> f32 {
        self.weights.get(column).copied().unwrap_or(0.0)
    }

    /// The standard error of a weight, were the others known.
    pub(super) fn error(&self, column: usize) -> f32 {
        let place = column * self.weights.len() + column;
        let sample = if column < self.weights.len() { self.moments[place] } else { 0.0 };
        1.0 / (sample + PRIOR_PRECISION).sqrt()
    }

    /// What an exposure takes by the best estimate.
    pub(super) fn total_interference(&self, exposure: &Exposure) -> f32 {
        exposure.iter().enumerate().map(|(column, share)| self.weight(column) * share).sum()
    }

    /// Makes place for filler images.
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

    /// How much a sighting counts, where the workflow's own headroom is about `own`.
    fn sample_weight(&self, own: f32, sample: &Sample) -> f32 {
        let expected = own - self.total_interference(&sample.exposure);
        let noise = RELATIVE_NOISE * expected.max(MIN_EXPECTED_HEADROOM) / sample.count.sqrt();
        let strays = (sample.headroom - expected).abs() / noise;
        OUTLIER_THRESHOLD / strays.max(OUTLIER_THRESHOLD) / (noise * noise)
    }

    /// Adds what sightings of one workflow at several workers differ in from their mean.
    pub(super) fn add_contrasts(&mut self, own: f32, samples: &[&Sample]) {
        let size = self.weights.len();
        let weights: SmallVec<[f32; 8]> =
            samples.iter().map(|sample| self.sample_weight(own, sample)).collect();
        let all: f32 = weights.iter().sum();
        let mean = |of: &dyn Fn(&Sample) -> f32| -> f32 {
            samples.iter().zip(&weights).map(|(sample, weight)| of(sample) * weight).sum::<f32>()
                / all
        };
        let headroom = mean(&|sample| sample.headroom);
        let exposure: SmallVec<[f32; 24]> =
            (0..size).map(|column| mean(&|sample| at(&sample.exposure, column))).collect();
        for (sample, weight) in samples.iter().zip(&weights) {
            let more: SmallVec<[f32; 24]> =
                (0..size).map(|column| at(&sample.exposure, column) - exposure[column]).collect();
            let lacks = headroom - sample.headroom;
            for row in 0..size {
                self.products[row] += weight * more[row] * lacks;
                for column in 0..size {
                    self.moments[row * size + column] += weight * more[row] * more[column];
                }
            }
        }
    }

    /// Finds the weights that explain best what was seen, none of them below 0, by coordinate descent.
    pub(super) fn solve(&mut self, elapsed: Duration) {
        let kept = (-elapsed.as_secs_f32() / MEMORY_SPAN.as_secs_f32()).exp();
        for sum in self.moments.iter_mut().chain(&mut self.products) {
            *sum *= kept;
        }
        let size = self.weights.len();
        for row in (0..size).cycle().take(size * SWEEPS) {
            let of_row = &self.moments[row * size..(row + 1) * size];
            let explained: f32 = of_row.iter().zip(&self.weights).map(|(m, w)| m * w).sum();
            let others = explained - of_row[row] * self.weights[row];
            self.weights[row] =
                ((self.products[row] - others) / (of_row[row] + PRIOR_PRECISION)).max(0.0);
        }
    }
}
