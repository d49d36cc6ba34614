//! Measurements of one class: drain rate of its queue, demand and reported load.

use {
    egretlb_types::{ClassLoad, Time},
    std::time::Duration,
};

/// Weight of one gap in the mean gap.
const GAP_WEIGHT: f64 = 1.0 / 32.0;

/// How often a class's load is reported to its owner.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Measures the gap between two sends of a class while requests wait.
#[derive(Clone, Copy, Debug)]
pub(super) struct DrainMeter {
    mean_gap_micros: f64,
    last_sent_at: Option<Time>,
}

impl DrainMeter {
    /// Without measurements the estimated wait is zero, so that nothing is refused on a guess.
    pub(super) fn new() -> Self {
        DrainMeter { mean_gap_micros: 0.0, last_sent_at: None }
    }

    /// Records a send; `backlogged` if more requests wait.
    pub(super) fn sent(&mut self, now: Time, backlogged: bool) {
        if let Some(last) = self.last_sent_at {
            let gap = now.since(last).as_micros() as f64;
            self.mean_gap_micros += (gap - self.mean_gap_micros) * GAP_WEIGHT;
        }
        // Without a backlog the gap depends on arrivals, not on how fast requests can be served.
        self.last_sent_at = backlogged.then_some(now);
    }

    /// The queue is empty: the time until the next request arrives isn't a gap.
    pub(super) fn queue_emptied(&mut self) {
        self.last_sent_at = None;
    }

    /// Estimated wait behind `ahead` requests. For a queue that has stopped draining, at least the
    /// time since its last send.
    pub(super) fn estimated_wait(&self, now: Time, ahead: usize) -> Duration {
        let since_last_micros =
            self.last_sent_at.map_or(0.0, |last| now.since(last).as_micros() as f64);
        Duration::from_micros((self.mean_gap_micros * ahead as f64).max(since_last_micros) as u64)
    }
}

/// Load of one class in the current period.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadMeter {
    period_start: Time,
    load: ClassLoad,
    /// Sum of the times that requests were open.
    open_micros: u128,
    /// When `open` was set last.
    open_changed_at: Time,
    open: u32,
    /// Maximum number of open and waiting requests in this period.
    peak_need: u32,
    previous_peak_need: u32,
    /// Arrivals per second in the previous period.
    previous_rate: f64,
}

impl LoadMeter {
    pub(super) fn arrived(&mut self) {
        self.load.arrived += 1;
    }

    pub(super) fn refused(&mut self) {
        self.load.refused += 1;
    }

    pub(super) fn record_answered(&mut self, within_target: bool) {
        if within_target {
            self.load.within_target += 1;
        } else {
            self.load.late += 1;
        }
    }

    pub(super) fn set_open(&mut self, now: Time, open: u32) {
        self.open_micros += u128::from(self.open) * now.since(self.open_changed_at).as_micros();
        self.open_changed_at = now;
        self.open = open;
    }

    /// Records how many requests are open or waiting.
    pub(super) fn record_need(&mut self, need: u32) {
        self.peak_need = self.peak_need.max(need);
    }

    /// Maximum need in this period and the previous one.
    pub(super) fn peak_need(&self) -> u32 {
        self.peak_need.max(self.previous_peak_need)
    }

    /// Number of requests that would be open if every arrival were sent at once and took `mean`.
    ///
    /// Counts refused requests too: otherwise an entry with a small share would refuse requests,
    /// appear to need less, and get less still.
    pub(super) fn offered_concurrency(&self, mean: Duration) -> u32 {
        (self.previous_rate * mean.as_secs_f64()).ceil() as u32
    }

    /// Returns the load of the period if it has ended and there was any.
    pub(super) fn take_report(&mut self, now: Time) -> Option<ClassLoad> {
        let period = now.since(self.period_start);
        if period < REPORT_PERIOD {
            return None;
        }
        self.set_open(now, self.open);
        let mut load = std::mem::take(&mut self.load);
        load.period = period;
        load.open_permille = (self.open_micros * 1_000 / period.as_micros()) as u32;
        self.open_micros = 0;
        self.period_start = now;
        self.previous_rate = f64::from(load.arrived) / period.as_secs_f64();
        self.previous_peak_need = std::mem::replace(&mut self.peak_need, self.open);
        let active = load.arrived > 0 || load.open_permille > 0;
        active.then_some(load)
    }
}
