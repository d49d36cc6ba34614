//! Statistics of callers' latencies and refusals.

use std::time::Duration;

/// Result of one request.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    pub class: usize,
    pub arrived_ms: u64,
    /// Time from arrival to the answer or refusal.
    pub took: Duration,
    pub answered: bool,
    pub sends: u32,
}

/// Statistics of a set of requests.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub requests: usize,
    pub p50: Duration,
    pub p99: Duration,
    pub p999: Duration,
    /// Fraction of all requests that were answered within the target.
    pub within: f64,
    /// Number of requests that were answered within the target.
    pub good: usize,
    /// Fraction of all requests that were refused or failed.
    pub refused: f64,
    pub refusal_p99: Duration,
    /// Attempts beyond the first, as a fraction of first attempts.
    pub extra: f64,
}

pub fn outcome(samples: impl Iterator<Item = Sample>, target: Duration) -> Outcome {
    let samples: Vec<Sample> = samples.collect();
    let mut answered: Vec<Duration> =
        samples.iter().filter(|sample| sample.answered).map(|sample| sample.took).collect();
    let mut refused: Vec<Duration> =
        samples.iter().filter(|sample| !sample.answered).map(|sample| sample.took).collect();
    answered.sort_unstable();
    refused.sort_unstable();
    let good = answered.partition_point(|took| *took <= target);
    let count = samples.len().max(1) as f64;
    let firsts = samples.iter().filter(|sample| sample.sends > 0).count().max(1) as f64;
    let extra: u32 = samples.iter().map(|sample| sample.sends.saturating_sub(1)).sum();
    Outcome {
        requests: samples.len(),
        p50: quantile(&answered, 500),
        p99: quantile(&answered, 990),
        p999: quantile(&answered, 999),
        within: good as f64 / count,
        good,
        refused: refused.len() as f64 / count,
        refusal_p99: quantile(&refused, 990),
        extra: f64::from(extra) / firsts,
    }
}

fn quantile(sorted: &[Duration], permille: usize) -> Duration {
    let rank = (sorted.len() * permille).div_ceil(1_000).max(1) - 1;
    sorted.get(rank).copied().unwrap_or_default()
}

pub const HEADER: &str = "| run | who | requests | p50 ms | p99 ms | p99.9 ms | in target | \
refused | refusal p99 ms | extra sends |\n|---|---|---|---|---|---|---|---|---|---|";

impl Outcome {
    pub fn row(&self, run: &str, who: &str) -> String {
        let ms = |span: Duration| span.as_secs_f64() * 1_000.0;
        format!(
            "| {run} | {who} | {} | {:.1} | {:.1} | {:.1} | {:.1}% | {:.1}% | {:.1} | {:.1}% |",
            self.requests,
            ms(self.p50),
            ms(self.p99),
            ms(self.p999),
            self.within * 100.0,
            self.refused * 100.0,
            ms(self.refusal_p99),
            self.extra * 100.0,
        )
    }
}
