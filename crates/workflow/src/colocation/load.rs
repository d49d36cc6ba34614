//! Forecasts the headroom that a workflow's latency-critical tasks have without best-effort tasks,
//! which varies with their load. Double exponential smoothing: a level and a slope are corrected by
//! a share of each prediction error.

use {egretlb_types::Time, std::time::Duration};

/// Share of a prediction error that is added to the level.
const LEVEL_GAIN: f32 = 0.5;

/// Share of a prediction error, divided by the elapsed seconds, that is added to the slope.
const SLOPE_GAIN: f32 = 0.06;

/// The same where the load swings by half over some 14 s: with [`SLOPE_GAIN`] the slope lags by 2 s.
const FAST_SLOPE_GAIN: f32 = 0.15;

/// Maximum slope per second. A load that varies threefold over 14 to 20 s changes the headroom by
/// at most 0.5 per second.
const MAX_SLOPE: f32 = 0.6;

/// How far ahead the headroom is forecast. Samples are 400 ms old on average, and decisions hold for
/// about as long.
const FORECAST_SPAN: Duration = Duration::from_millis(500);

/// Lower and upper bound of the time since the last update, as used for the slope.
const MIN_ELAPSED: Duration = Duration::from_millis(50);
const MAX_ELAPSED: Duration = Duration::from_secs(1);

/// Level and slope of a workflow's headroom without best-effort tasks.
#[derive(Clone, Debug)]
pub(super) struct OwnHeadroom {
    level: f32,
    /// Change per second.
    slope: f32,
    slope_gain: f32,
    updated_at: Time,
}

impl OwnHeadroom {
    pub(super) fn new(now: Time, measured: f32) -> OwnHeadroom {
        OwnHeadroom { level: measured, slope: 0.0, slope_gain: SLOPE_GAIN, updated_at: now }
    }

    /// One whose slope follows sooner, and is noisier.
    pub(super) fn new_fast(now: Time, measured: f32) -> OwnHeadroom {
        OwnHeadroom { slope_gain: FAST_SLOPE_GAIN, ..OwnHeadroom::new(now, measured) }
    }

    /// Updates level and slope with a new measurement.
    pub(super) fn update(&mut self, now: Time, measured: f32) {
        let elapsed = now.since(self.updated_at).clamp(MIN_ELAPSED, MAX_ELAPSED).as_secs_f32();
        let expected = self.level + self.slope * elapsed;
        let error = measured - expected;
        self.level = expected + LEVEL_GAIN * error;
        self.slope = (self.slope + self.slope_gain * error / elapsed).clamp(-MAX_SLOPE, MAX_SLOPE);
        self.updated_at = now;
    }

    /// Returns the forecast after [`FORECAST_SPAN`].
    pub(super) fn forecast(&self) -> f32 {
        self.forecast_after(FORECAST_SPAN)
    }

    /// Returns the forecast after a span.
    pub(super) fn forecast_after(&self, span: Duration) -> f32 {
        (self.level + self.slope * span.as_secs_f32()).max(0.0)
    }
}
