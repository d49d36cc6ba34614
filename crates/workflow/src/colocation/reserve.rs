//! The headroom kept below the target: a quantile of the errors of the expected headroom.

use {
    super::forecast::{ForecastMethod, HeadroomForecast},
    crate::WorkflowId,
};

/// Share of the samples that the reserve is to cover. A sample over the target costs several times what the CPU time of
/// best-effort tasks is worth, while a higher quantile rests on few samples.
const QUANTILE: f32 = 0.85;

/// Step of the estimate per sample. A workflow's workers give some 20 samples a second.
const QUANTILE_STEP: f32 = 0.02;

/// Bounds of the reserve, as a share of the expected headroom. Half of the samples are off by 5% or more.
const MIN_RESERVE: f32 = 0.03;
const MAX_RESERVE: f32 = 0.25;

/// Reserve without samples.
const INITIAL_RESERVE: f32 = 0.1;

/// The forecast of a workflow's own headroom, and how far its workers' samples fall short of what is expected.
#[derive(Clone, Debug)]
pub(super) struct WorkflowLoad {
    pub(super) forecast: HeadroomForecast,
    /// [`QUANTILE`] of the shortfalls, as a share of the expected headroom.
    shortfall: f32,
    /// The method of the last log line.
    logged_method: ForecastMethod,
}

impl WorkflowLoad {
    pub(super) fn new(forecast: HeadroomForecast) -> WorkflowLoad {
        WorkflowLoad { forecast, shortfall: INITIAL_RESERVE, logged_method: ForecastMethod::Trend }
    }

    /// Logs the method of the forecast if it has changed since the last line. Returns whether it has.
    pub(super) fn log_method(&mut self, workflow: WorkflowId) -> bool {
        let method = self.forecast.method();
        if method == self.logged_method {
            return false;
        }
        self.logged_method = method;
        let period_ms = self.forecast.period().map_or(0, |period| period.as_millis() as u64);
        let (error, reserve) = (self.forecast.pace_error(), self.reserve());
        log::info!(workflow:%, method:?, period_ms, error, reserve; "load_forecast_changed");
        true
    }

    /// Adds how far a sample falls short of the expected headroom, as a share of it.
    pub(super) fn add_shortfall(&mut self, shortfall: f32) {
        let step = if shortfall > self.shortfall { QUANTILE } else { QUANTILE - 1.0 };
        self.shortfall = (self.shortfall + QUANTILE_STEP * step).clamp(MIN_RESERVE, MAX_RESERVE);
    }

    /// Returns the headroom to keep above 1, for errors of the samples' model and of the forecast together.
    pub(super) fn reserve(&self) -> f32 {
        self.shortfall.hypot(self.forecast.pace_error()).clamp(MIN_RESERVE, MAX_RESERVE)
    }
}
