//! Histograms with logarithmic bins whose samples age.

use {egretlb_types::Time, std::time::Duration};

/// Time in which the weight of a sample falls to 1/e.
const AGED_AFTER: Duration = Duration::from_secs(30);

/// Interval at which weights are reduced.
const AGE_INTERVAL: Duration = Duration::from_secs(1);

/// Weights by the binary logarithm of a positive value. Values outside the range count in the outermost bins.
#[derive(Clone, Debug)]
pub(super) struct AgedHistogram {
    /// Bins per doubling.
    resolution: i16,
    /// Bin number of the first bin; bin 0 is centred on the value 1.
    first: i16,
    weights: Box<[f32]>,
    total: f32,
    aged_at: Time,
}

impl AgedHistogram {
    fn new(resolution: i16, min_exponent: i16, max_exponent: i16) -> AgedHistogram {
        let first = resolution * min_exponent;
        let count = usize::try_from(resolution * max_exponent - first + 1).unwrap_or(1);
        AgedHistogram {
            resolution,
            first,
            weights: vec![0.0; count].into(),
            total: 0.0,
            aged_at: Time::ZERO,
        }
    }

    /// A histogram of ratios of run time to estimate, with bins of 9%.
    pub(super) fn of_ratios() -> AgedHistogram {
        AgedHistogram::new(8, -6, 6)
    }

    /// A histogram of speeds relative to siblings. Two bins per doubling: progress is in whole percents, so a sample may
    /// be off by a quarter.
    pub(super) fn of_speeds() -> AgedHistogram {
        AgedHistogram::new(2, -6, 2)
    }

    fn remaining_share(&self, now: Time) -> f32 {
        (-now.since(self.aged_at).as_secs_f32() / AGED_AFTER.as_secs_f32()).exp()
    }

    /// Total weight of the samples.
    pub(super) fn weight(&self, now: Time) -> f32 {
        self.total * self.remaining_share(now)
    }

    pub(super) fn add(&mut self, now: Time, value: f32, weight: f32) {
        if now.since(self.aged_at) >= AGE_INTERVAL {
            let share = self.remaining_share(now);
            self.weights.iter_mut().for_each(|weight| *weight *= share);
            self.total = self.weights.iter().sum();
            self.aged_at = now;
        }
        let index = self.index(self.bin(value));
        self.weights[index] += weight;
        self.total += weight;
    }

    /// The number of the bin of a value; 0 for 1.
    pub(super) fn bin(&self, value: f32) -> i16 {
        let exponent = value.max(f32::MIN_POSITIVE).log2() * f32::from(self.resolution);
        exponent.round() as i16
    }

    /// All bins.
    pub(super) fn bins(&self) -> impl Iterator<Item = i16> + use<> {
        (self.first..).take(self.weights.len())
    }

    pub(super) fn index(&self, bin: i16) -> usize {
        usize::try_from(bin.saturating_sub(self.first)).unwrap_or(0).min(self.weights.len() - 1)
    }

    /// Weight of a bin.
    pub(super) fn bin_weight(&self, now: Time, bin: i16) -> f32 {
        self.weights[self.index(bin)] * self.remaining_share(now)
    }

    /// The value of the centre of the bin in which a share of the weight is reached.
    pub(super) fn quantile(&self, share: f32) -> f32 {
        let mut below = 0.0;
        let reached = self.weights.iter().position(|weight| {
            below += weight;
            below >= share * self.total
        });
        let bin = self.first + i16::try_from(reached.unwrap_or(0)).unwrap_or(0);
        (f32::from(bin) / f32::from(self.resolution)).exp2()
    }
}
