//! How long a class's requests take at the backend servers, measured.

use std::time::Duration;

/// Buckets of a quarter octave each, from 64 µs to over a minute.
const BUCKETS: usize = 80;

/// The finest latency told apart; shorter ones share the first bucket.
const FINEST_MICROS: u64 = 64;

/// After so many samples all counts are halved, so that old ones fade out.
const FADE_AFTER: u32 = 1_024;

/// With fewer samples nothing is claimed about the tail.
const ENOUGH: u32 = 20;

/// The weight of one sample in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;

/// A fading histogram of latencies.
#[derive(Clone, Debug)]
pub(super) struct Latency {
    counts: [u32; BUCKETS],
    total: u32,
    mean_micros: f64,
}

impl Latency {
    /// Nothing measured yet; `guess` stands for the mean until then.
    pub(super) fn new(guess: Duration) -> Self {
        Latency { counts: [0; BUCKETS], total: 0, mean_micros: guess.as_micros() as f64 }
    }

    pub(super) fn record(&mut self, latency: Duration) {
        let micros = latency.as_micros() as u64;
        let weight = if self.total == 0 { 1.0 } else { MEAN_WEIGHT };
        self.mean_micros += (micros as f64 - self.mean_micros) * weight;
        self.counts[bucket(micros)] += 1;
        self.total += 1;
        if self.total >= FADE_AFTER {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    pub(super) fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_micros as u64)
    }

    /// The latency that `permille` thousandths stay within, or `None` with too few samples.
    pub(super) fn quantile(&self, permille: u32) -> Option<Duration> {
        if self.total < ENOUGH {
            return None;
        }
        let rank = (u64::from(self.total) * u64::from(permille)).div_ceil(1_000);
        let mut seen = 0;
        for (i, count) in self.counts.iter().enumerate() {
            seen += u64::from(*count);
            if seen >= rank {
                return Some(Duration::from_micros(upper_micros(i)));
            }
        }
        None
    }
}

fn bucket(micros: u64) -> usize {
    let scaled = micros.max(FINEST_MICROS) * 4 / FINEST_MICROS;
    let octave = scaled.ilog2() - 2;
    let quarter = (scaled >> octave) & 3;
    (octave as usize * 4 + quarter as usize).min(BUCKETS - 1)
}

/// The end of a bucket's range.
fn upper_micros(bucket: usize) -> u64 {
    let (octave, quarter) = (bucket / 4, bucket as u64 % 4);
    ((quarter + 5) << octave) * FINEST_MICROS / 4
}
