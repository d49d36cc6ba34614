//! Measurements of one class: how fast its queue drains, what it needs, what is reported.

use {
    egretlb_types::{ClassLoad, Time},
    std::time::Duration,
};

/// The weight of one gap in the mean time between two sendings from a waiting queue.
const GAP_WEIGHT: f64 = 1.0 / 32.0;

/// How often a class's load is reported to its owner.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// The time between two sendings of a class while requests wait.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    gap_micros: f64,
    last: Option<Time>,
}

impl Drain {
    /// Nothing measured: taken as draining at once, so that nobody is refused on a guess.
    pub(super) fn new() -> Self {
        Drain { gap_micros: 0.0, last: None }
    }

    /// One was sent and others wait still, if `waiting`.
    pub(super) fn sent(&mut self, now: Time, waiting: bool) {
        if let Some(last) = self.last {
            let gap = now.since(last).as_micros() as f64;
            self.gap_micros += (gap - self.gap_micros) * GAP_WEIGHT;
        }
        // Without a backlog the gap tells of arrivals, not of how fast they could be served.
        self.last = waiting.then_some(now);
    }

    /// Nobody waits any more: the time until somebody does again isn't a wait.
    pub(super) fn emptied(&mut self) {
        self.last = None;
    }

    /// How long the one behind `ahead` others will wait. A queue that has stopped draining counts
    /// the time since it last did.
    pub(super) fn wait(&self, now: Time, ahead: usize) -> Duration {
        let stalled = self.last.map_or(0.0, |last| now.since(last).as_micros() as f64);
        Duration::from_micros((self.gap_micros * ahead as f64).max(stalled) as u64)
    }
}

/// What a class's callers and backend servers saw in the period under way.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadMeter {
    start: Time,
    load: ClassLoad,
    open_micros: u128,
    changed: Time,
    open: u32,
    peak_need: u32,
    last_peak: u32,
    /// Arrivals a second in the period before this one.
    last_rate: f64,
}

impl LoadMeter {
    pub(super) fn arrived(&mut self) {
        self.load.arrived += 1;
    }

    pub(super) fn refused(&mut self) {
        self.load.refused += 1;
    }

    pub(super) fn answered(&mut self, within_target: bool) {
        if within_target {
            self.load.within_target += 1;
        } else {
            self.load.late += 1;
        }
    }

    pub(super) fn open(&mut self, now: Time, open: u32) {
        self.open_micros += u128::from(self.open) * now.since(self.changed).as_micros();
        self.changed = now;
        self.open = open;
    }

    /// Notes that so many requests were open or waiting.
    pub(super) fn needs(&mut self, need: u32) {
        self.peak_need = self.peak_need.max(need);
    }

    /// The most needed at once in this period and the one before.
    pub(super) fn peak_need(&self) -> u32 {
        self.peak_need.max(self.last_peak)
    }

    /// How many would be open at once if all that arrive were sent at once and took `mean` each.
    ///
    /// What is refused isn't open and doesn't wait: an entry with too small a share would otherwise
    /// refuse, seem to need less, and get less still.
    pub(super) fn offered(&self, mean: Duration) -> u32 {
        (self.last_rate * mean.as_secs_f64()).ceil() as u32
    }

    /// The load of a period that has ended, if anything happened in it.
    pub(super) fn take(&mut self, now: Time) -> Option<ClassLoad> {
        let period = now.since(self.start);
        if period < REPORT_PERIOD {
            return None;
        }
        self.open(now, self.open);
        let mut load = std::mem::take(&mut self.load);
        load.period = period;
        load.open_permille = (self.open_micros * 1_000 / period.as_micros()) as u32;
        self.open_micros = 0;
        self.start = now;
        self.last_rate = f64::from(load.arrived) / period.as_secs_f64();
        self.last_peak = std::mem::replace(&mut self.peak_need, self.open);
        let busy = load.arrived > 0 || load.open_permille > 0;
        busy.then_some(load)
    }
}
