//! The headroom that a workflow's serving tasks have by themselves, followed over time.

use {egretlb_types::Time, std::time::Duration};

/// The share of an error that is taken for a change of the level; the rest is noise of figures.
const LEVEL_GAIN: f32 = 0.5;

/// And the share that is taken for a change of the slope.
const SLOPE_GAIN: f32 = 0.06;

/// Slopes beyond this are noise. A load that swings threefold within 14 to 20 s changes the headroom by 0.5
/// a second at its steepest.
const MAX_SLOPE: f32 = 0.6;

/// Figures are 400 ms old on average when they are used, and what follows from them lasts as long again.
const FORECAST_SPAN: Duration = Duration::from_millis(500);

/// Rounds that follow each other faster count as if so much had passed, and later ones as a second.
const MIN_ELAPSED: Duration = Duration::from_millis(50);
const MAX_ELAPSED: Duration = Duration::from_secs(1);

/// The own headroom of a workflow's serving tasks.
#[derive(Clone, Debug)]
pub(super) struct OwnHeadroom {
    level: f32,
    /// How it changes, each second.
    slope: f32,
    at: Time,
}

impl OwnHeadroom {
    pub(super) fn new(now: Time, measured: f32) -> OwnHeadroom {
        OwnHeadroom { level: measured, slope: 0.0, at: now }
    }

    /// Takes in what it was measured as.
    pub(super) fn update(&mut self, now: Time, measured: f32) {
        let elapsed = now.since(self.at).clamp(MIN_ELAPSED, MAX_ELAPSED).as_secs_f32();
        let expected = self.level + self.slope * elapsed;
        let error = measured - expected;
        self.level = expected + LEVEL_GAIN * error;
        self.slope = (self.slope + SLOPE_GAIN * error / elapsed).clamp(-MAX_SLOPE, MAX_SLOPE);
        self.at = now;
    }

    /// What it is expected to be soon.
    pub(super) fn outlook(&self) -> f32 {
        (self.level + self.slope * FORECAST_SPAN.as_secs_f32()).max(0.0)
    }
}
