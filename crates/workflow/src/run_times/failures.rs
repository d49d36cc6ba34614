//! Whether the failures of runs on a worker are explained by chance.

use {
    compact_str::CompactString, egretlb_types::Time, std::collections::BTreeMap,
    std::time::Duration,
};

/// Share of runs that fail, before anything is known of a route.
const PRIOR_RATE: f32 = 0.02;

/// Weight of [`PRIOR_RATE`], in runs.
const PRIOR_RUNS: f32 = 50.0;

/// Time in which the weight of a run falls to 1/e.
const AGED_AFTER: Duration = Duration::from_secs(30);

/// Share of runs that fail on a faulty worker.
const FAULTY_RATE: f32 = 0.9;

/// Rates between which a failure counts. A route that fails more often than the upper bound says nothing about its workers;
/// below the lower one, two failures in a row are enough.
const RATE_RANGE: (f32, f32) = (0.005, 0.8);

/// Logarithm of the odds at which a worker is faulty: 10,000 to 1. A service completes hundreds of runs a second, so odds of
/// 1,000 to 1 are reached by chance every few seconds.
const FAULTY_EVIDENCE: f32 = 9.2;

/// Maximum number of routes.
const MAX_ROUTES: usize = 1_024;

#[derive(Clone, Copy, Debug, Default)]
struct Ends {
    failed: f32,
    all: f32,
    at: Time,
}

/// Shares of runs that fail, by route.
#[derive(Debug, Default)]
pub(crate) struct FailureRates {
    routes: BTreeMap<CompactString, Ends>,
}

impl FailureRates {
    /// Adds the end of a run.
    pub(crate) fn add(&mut self, now: Time, route: &CompactString, failed: bool) {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            self.routes.retain(|_, ends| now.since(ends.at) < AGED_AFTER);
            if self.routes.len() >= MAX_ROUTES {
                return;
            }
        }
        let ends = self.routes.entry(route.clone()).or_default();
        let share = (-now.since(ends.at).as_secs_f32() / AGED_AFTER.as_secs_f32()).exp();
        ends.failed = ends.failed * share + f32::from(u8::from(failed));
        ends.all = ends.all * share + 1.0;
        ends.at = now;
    }

    /// The share of a route's runs that usually fail.
    pub(crate) fn rate(&self, route: &CompactString) -> f32 {
        let Ends { failed, all, .. } = self.routes.get(route).copied().unwrap_or_default();
        (failed + PRIOR_RATE * PRIOR_RUNS) / (all + PRIOR_RUNS)
    }
}

/// Evidence that a worker is faulty, as a logarithm of odds; never below 0, so that a worker that becomes faulty is found
/// as soon as a new one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureScore {
    evidence: f32,
}

impl FailureScore {
    /// Whether the last run that counted succeeded.
    pub(crate) fn is_clear(&self) -> bool {
        self.evidence <= 0.0
    }

    /// Adds the end of a run of a route with this usual failure rate.
    pub(crate) fn add(&mut self, failed: bool, rate: f32) {
        let rate = rate.clamp(RATE_RANGE.0, RATE_RANGE.1);
        let odds = if failed { FAULTY_RATE / rate } else { (1.0 - FAULTY_RATE) / (1.0 - rate) };
        self.evidence = (self.evidence + odds.ln()).max(0.0);
    }

    /// Whether chance doesn't explain the failures.
    pub(crate) fn is_faulty(&self) -> bool {
        self.evidence >= FAULTY_EVIDENCE
    }

    /// The odds that it is faulty.
    pub(crate) fn odds(&self) -> f32 {
        self.evidence.exp()
    }
}

#[cfg(test)]
#[path = "tests/failures.rs"]
mod tests;
