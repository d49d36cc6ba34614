//! Distributions of measured times.

use {
    hdrhistogram::Histogram,
    serde::Serialize,
    std::time::{Duration, Instant},
};

/// Significant decimal digits of recorded times.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Maximum recorded time; longer ones are recorded as this.
const MAX_DURATION: Duration = Duration::from_secs(3_600);

/// Summary of a distribution.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// What is measured.
    pub name: &'static str,
    /// The size of the measured system.
    pub size: f64,
    /// The unit of the values.
    pub unit: &'static str,
    /// Number of values.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// The maximum.
    pub max: f64,
}

/// Collects durations of single operations, in wall clock or virtual time.
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
    /// Creates an empty collection.
    pub fn new() -> Self {
        let nanos =
            Histogram::new_with_bounds(1, MAX_DURATION.as_nanos() as u64, SIGNIFICANT_DIGITS)
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

    /// Adds a duration.
    pub fn add(&mut self, time: Duration) {
        self.nanos.saturating_record(time.as_nanos() as u64);
    }

    /// Returns the distribution in microseconds.
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
