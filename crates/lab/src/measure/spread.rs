//! Distributions.

use {
    hdrhistogram::Histogram,
    serde::Serialize,
    std::time::{Duration, Instant},
};

/// How exact a distribution is kept: significant decimal digits.
const DIGITS: u8 = 3;

/// The longest time told apart; longer ones count as this.
const LONGEST: Duration = Duration::from_secs(3_600);

/// A distribution in brief.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// What was measured.
    pub name: &'static str,
    /// The size at which it was measured.
    pub size: f64,
    /// The unit of the values.
    pub unit: &'static str,
    /// How many values.
    pub count: u64,
    /// The value that half of them don't pass.
    pub p50: f64,
    /// The value that 99 of 100 don't pass.
    pub p99: f64,
    /// The value that 999 of 1000 don't pass.
    pub p999: f64,
    /// The largest.
    pub max: f64,
}

/// Collects the times of single operations by the wall clock, or of model time.
#[derive(Debug)]
pub struct OpTimer {
    nanos: Histogram<u64>,
}

impl Default for OpTimer {
    fn default() -> Self {
        OpTimer::new()
    }
}

impl OpTimer {
    /// An empty collection.
    pub fn new() -> Self {
        let nanos = Histogram::new_with_bounds(1, LONGEST.as_nanos() as u64, DIGITS)
            .expect("the bounds and the digits are in range");
        OpTimer { nanos }
    }

    /// Runs and times one operation.
    pub fn time<T>(&mut self, op: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        let result = op();
        self.add(start.elapsed());
        result
    }

    /// Adds a time measured elsewhere.
    pub fn add(&mut self, time: Duration) {
        self.nanos.saturating_record(time.as_nanos() as u64);
    }

    /// The distribution in microseconds.
    pub fn spread(&self, name: &'static str, size: f64) -> Spread {
        let at = |quantile| self.nanos.value_at_quantile(quantile) as f64 / 1e3;
        Spread {
            name,
            size,
            unit: "us",
            count: self.nanos.len(),
            p50: at(0.5),
            p99: at(0.99),
            p999: at(0.999),
            max: self.nanos.max() as f64 / 1e3,
        }
    }
}
