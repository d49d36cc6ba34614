//! Latency of a class's requests at the backend servers.

use std::time::Duration;

/// Four buckets per octave, from 64 µs to over a minute.
const BUCKET_COUNT: usize = 80;

/// Start of the first bucket, which also holds shorter latencies.
const FIRST_BUCKET_MICROS: u64 = 64;

/// After this many samples all counts are halved, so that old ones decay.
const DECAY_SAMPLES: u32 = 1_024;

/// Minimum number of samples for a quantile.
const MIN_SAMPLES: u32 = 20;

/// Weight of one sample in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;

/// A decaying histogram of latencies.
#[derive(Clone, Debug)]
pub(super) struct LatencyHistogram {
    counts: [u32; BUCKET_COUNT],
    total: u32,
    mean_micros: f64,
}

impl LatencyHistogram {
    /// Creates an empty histogram with `initial_mean` as its mean until the first sample.
    pub(super) fn new(initial_mean: Duration) -> Self {
        LatencyHistogram {
            counts: [0; BUCKET_COUNT],
            total: 0,
            mean_micros: initial_mean.as_micros() as f64,
        }
    }

    pub(super) fn record(&mut self, latency: Duration) {
        let micros = latency.as_micros() as u64;
        let weight = if self.total == 0 { 1.0 } else { MEAN_WEIGHT };
        self.mean_micros += (micros as f64 - self.mean_micros) * weight;
        self.counts[bucket(micros)] += 1;
        self.total += 1;
        if self.total >= DECAY_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    pub(super) fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_micros as u64)
    }

    /// Upper bound of the `permille` quantile, or `None` with too few samples.
    pub(super) fn quantile(&self, permille: u32) -> Option<Duration> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let rank = (u64::from(self.total) * u64::from(permille)).div_ceil(1_000);
        let mut cumulative = 0;
        for (i, count) in self.counts.iter().enumerate() {
            cumulative += u64::from(*count);
            if cumulative >= rank {
                return Some(Duration::from_micros(bucket_end_micros(i)));
            }
        }
        None
    }
}

fn bucket(micros: u64) -> usize {
    let scaled = micros.max(FIRST_BUCKET_MICROS) * 4 / FIRST_BUCKET_MICROS;
    let octave = scaled.ilog2() - 2;
    let quarter = (scaled >> octave) & 3;
    (octave as usize * 4 + quarter as usize).min(BUCKET_COUNT - 1)
}

/// Upper bound of a bucket.
fn bucket_end_micros(bucket: usize) -> u64 {
    let (octave, quarter) = (bucket / 4, bucket as u64 % 4);
    ((quarter + 5) << octave) * FIRST_BUCKET_MICROS / 4
}
