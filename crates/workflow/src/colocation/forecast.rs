//! Forecasts the own headroom of a workflow, which varies with its load, and the error of its own forecasts.
//!
//! Methods: the last level, level and slope with two gains of the slope, and the period of the load. The period is found by
//! autocorrelation once two periods have been measured. Of the methods but the first, the one with the smallest recent error
//! is used, so a load without a period, or whose phase jumps, is forecast by its slope.

use {
    super::load::OwnHeadroom,
    egretlb_types::Time,
    std::{collections::VecDeque, time::Duration},
};

/// Interval of the stored series.
const STEP: Duration = Duration::from_millis(250);

/// Length of the stored series: two of the longest periods, and some more.
const MAX_SAMPLES: usize = 168;

/// Range of periods that are searched, in steps: 5 to 20 s.
const MIN_PERIOD: usize = 20;
const MAX_PERIOD: usize = 80;

/// Periods that must have been measured before one is accepted.
const MIN_PERIODS: usize = 2;

/// Minimum autocorrelation at a period.
const MIN_CORRELATION: f32 = 0.5;

/// Steps between two searches for a period, which compare every lag.
const SEARCH_STEPS: usize = 4;

/// A method is used if its error is below this share of that of the methods before it, whose errors differ by chance.
const BETTER_RATIO: f32 = 0.9;

/// Share of each new error in the mean errors: a memory of about 3 s.
const ERROR_GAIN: f32 = 0.08;

/// Mean error of a method without forecasts to judge.
const INITIAL_ERROR: f32 = 0.1;

/// Horizon of a pace, which is revised with the next poll, in steps: 0.5 s.
pub(super) const PACE_STEPS: usize = 2;

/// Horizon of a start: best-effort tasks run for some 2 s, and later peaks are left to their pace. In steps.
pub(super) const START_STEPS: usize = 8;

/// How the headroom is forecast.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForecastMethod {
    /// The current level.
    LastValue,
    /// The current level and slope.
    Trend,
    /// The current level and a slope that follows sooner.
    FastTrend,
    /// What followed at the same phase of earlier periods.
    Period,
}

/// The methods that are judged by their errors. The trend comes first: it is used unless another one is clearly better.
const CANDIDATES: [ForecastMethod; 3] =
    [ForecastMethod::Trend, ForecastMethod::FastTrend, ForecastMethod::Period];

/// The errors of all candidates at one horizon.
#[derive(Clone, Debug)]
struct Errors {
    steps: usize,
    /// Earlier forecasts of each candidate that no measurement has answered yet, the oldest first.
    pending: VecDeque<[Option<f32>; CANDIDATES.len()]>,
    means: [f32; CANDIDATES.len()],
}

impl Errors {
    fn new(steps: usize) -> Errors {
        Errors { steps, pending: VecDeque::new(), means: [INITIAL_ERROR; CANDIDATES.len()] }
    }

    /// Compares the forecasts made for now with the measurement.
    fn judge(&mut self, measured: f32) {
        if self.pending.len() < self.steps {
            return;
        }
        let Some(forecasts) = self.pending.pop_front() else { return };
        let [trend, ..] = self.means;
        for (mean, forecast) in self.means.iter_mut().zip(forecasts) {
            match forecast {
                Some(forecast) => *mean += ERROR_GAIN * ((measured - forecast).abs() - *mean),
                None => *mean = trend,
            }
        }
    }

    /// Returns the index of the candidate to use.
    fn best(&self) -> usize {
        let mut best = 0;
        for candidate in 1..CANDIDATES.len() {
            if self.means[candidate] < BETTER_RATIO * self.means[best] {
                best = candidate;
            }
        }
        best
    }
}

/// The measured own headroom of a workflow and its forecasts.
#[derive(Clone, Debug)]
pub struct HeadroomForecast {
    trend: OwnHeadroom,
    fast_trend: OwnHeadroom,
    /// Measurements every [`STEP`], the oldest first.
    series: VecDeque<f32>,
    /// Start of the step after the last stored one.
    next_at: Time,
    /// Period in steps.
    period: Option<usize>,
    steps_to_search: usize,
    pace_errors: Errors,
    start_errors: Errors,
}

impl HeadroomForecast {
    /// Starts with a first measurement.
    pub fn new(now: Time, measured: f32) -> HeadroomForecast {
        HeadroomForecast {
            trend: OwnHeadroom::new(now, measured),
            fast_trend: OwnHeadroom::new_fast(now, measured),
            series: VecDeque::from([measured]),
            next_at: now + STEP,
            period: None,
            steps_to_search: 0,
            pace_errors: Errors::new(PACE_STEPS),
            start_errors: Errors::new(START_STEPS),
        }
    }

    /// Adds a measurement.
    pub fn update(&mut self, now: Time, measured: f32) {
        self.trend.update(now, measured);
        self.fast_trend.update(now, measured);
        if now < self.next_at {
            return;
        }
        let due = 1 + (now.since(self.next_at).as_millis() / STEP.as_millis()) as u32;
        if due as usize > START_STEPS {
            // After a gap this long, the phase of the load and the forecast errors are out of date.
            *self = Self::new(now, measured);
            return;
        }
        for _ in 0..due {
            self.add_step(measured);
        }
        self.next_at = self.next_at + STEP * due;
    }

    /// Adds a measurement for forecasts by trend alone.
    pub(super) fn update_trend(&mut self, now: Time, measured: f32) {
        self.trend.update(now, measured);
    }

    fn add_step(&mut self, measured: f32) {
        self.series.push_back(measured);
        if self.series.len() > MAX_SAMPLES {
            self.series.pop_front();
        }
        if self.steps_to_search == 0 {
            self.period = self.find_period();
            self.steps_to_search = SEARCH_STEPS;
        }
        self.steps_to_search -= 1;
        self.pace_errors.judge(measured);
        self.start_errors.judge(measured);
        let forecasts = |steps| CANDIDATES.map(|method| self.forecast_by(method, steps));
        let (for_pace, for_start) = (forecasts(PACE_STEPS), forecasts(START_STEPS));
        self.pace_errors.pending.push_back(for_pace);
        self.start_errors.pending.push_back(for_start);
    }

    /// Returns the forecast `steps` steps of 250 ms ahead by one method; `None` by a period that isn't known.
    pub fn forecast_by(&self, method: ForecastMethod, steps: usize) -> Option<f32> {
        match method {
            ForecastMethod::LastValue => Some(self.level()),
            ForecastMethod::Trend => Some(self.trend.forecast_after(STEP * steps as u32)),
            ForecastMethod::FastTrend => Some(self.fast_trend.forecast_after(STEP * steps as u32)),
            ForecastMethod::Period => self.forecast_by_period(steps),
        }
    }

    /// Returns the current level.
    pub(super) fn level(&self) -> f32 {
        self.fast_trend.forecast_after(Duration::ZERO)
    }

    /// Returns the forecast by trend alone.
    pub(super) fn by_trend(&self) -> f32 {
        self.trend.forecast()
    }

    /// Returns the forecast `steps` steps of 250 ms ahead, by the method with the smaller error at that horizon.
    pub fn forecast(&self, steps: usize) -> f32 {
        let errors = if steps <= PACE_STEPS { &self.pace_errors } else { &self.start_errors };
        let best = self.forecast_by(CANDIDATES[errors.best()], steps);
        best.unwrap_or_else(|| self.trend.forecast_after(STEP * steps as u32))
    }

    /// Returns the lowest forecast of the next `steps` steps.
    pub(super) fn lowest_until(&self, steps: usize) -> f32 {
        let forecasts = (PACE_STEPS..=steps).step_by(PACE_STEPS).map(|steps| self.forecast(steps));
        forecasts.fold(f32::INFINITY, f32::min)
    }

    /// Returns a high quantile of the error of paces' forecasts: 1.5 times the mean error, which seven of eight errors
    /// of a normal distribution don't exceed.
    pub(super) fn pace_error(&self) -> f32 {
        1.5 * self.pace_errors.means[self.pace_errors.best()]
    }

    /// Returns the method by which paces are set.
    pub fn method(&self) -> ForecastMethod {
        CANDIDATES[self.pace_errors.best()]
    }

    /// Returns the period, once it is known.
    pub fn period(&self) -> Option<Duration> {
        self.period.map(|steps| STEP * steps as u32)
    }

    /// The change since the same phase of the earlier periods, added to the current level.
    fn forecast_by_period(&self, steps: usize) -> Option<f32> {
        let period = self.period?;
        let last = self.series.len() - 1;
        let (mut change, mut periods) = (0.0, 0);
        let mut back = period;
        while back <= last {
            let ahead = steps.min(back);
            change += self.smoothed(last - back + ahead) - self.smoothed(last - back);
            periods += 1;
            back += period;
        }
        (periods > 0).then(|| (self.level() + change / periods as f32).max(0.0))
    }

    /// Mean of a step and its neighbours, since single measurements are noisy.
    fn smoothed(&self, index: usize) -> f32 {
        let range = index.saturating_sub(1)..(index + 2).min(self.series.len());
        let count = range.len() as f32;
        range.map(|at| self.series[at]).sum::<f32>() / count
    }

    /// Returns the lag with the highest autocorrelation, if it is a maximum inside the range and high enough.
    fn find_period(&self) -> Option<usize> {
        let len = self.series.len();
        let longest = (len / MIN_PERIODS).min(MAX_PERIOD);
        if longest <= MIN_PERIOD {
            return None;
        }
        let mean = self.series.iter().sum::<f32>() / len as f32;
        let deviations: Vec<f32> = self.series.iter().map(|value| value - mean).collect();
        let correlation = |lag: usize| {
            let (early, late) = (&deviations[..len - lag], &deviations[lag..]);
            let product: f32 = early.iter().zip(late).map(|(early, late)| early * late).sum();
            let squares = |part: &[f32]| part.iter().map(|value| value * value).sum::<f32>();
            product / (squares(early) * squares(late)).sqrt().max(f32::MIN_POSITIVE)
        };
        let correlations: Vec<f32> = (MIN_PERIOD..=longest).map(correlation).collect();
        let best = (1..correlations.len().saturating_sub(1))
            .filter(|index| correlations[*index] >= MIN_CORRELATION)
            .filter(|index| {
                correlations[*index] >= correlations[index - 1]
                    && correlations[*index] >= correlations[index + 1]
            })
            .max_by(|left, right| correlations[*left].total_cmp(&correlations[*right]))?;
        Some(MIN_PERIOD + best)
    }
}
