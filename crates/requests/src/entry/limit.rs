//! Concurrency limit of a class, adapted to its latency.

use {egretlb_types::Time, std::time::Duration};

/// Minimum length of a window; the limit is adjusted once per window.
const MIN_WINDOW: Duration = Duration::from_millis(250);

/// Minimum length of a window in mean latencies, since requests sent before a change of the limit
/// are still answered for about one.
const WINDOW_MEAN_LATENCIES: f64 = 2.0;

/// A window of this length with too few answers is discarded.
const MAX_WINDOW: Duration = Duration::from_secs(5);

/// Minimum number of answers in a window, so that its mean is accurate enough.
const MIN_SAMPLES: u32 = 50;

/// Mean latency, as a multiple of the baseline, from which the servers count as overloaded.
const OVERLOAD_RATIO: f64 = 1.5;

/// Factor by which a cut reduces the limit.
const CUT_FACTOR: f64 = 0.85;

/// Minimum limit, so that latency is still measured.
const MIN_LIMIT: f64 = 4.0;

/// Growth of the baseline per window, for a service that has become slower for good: it doubles in
/// about 140 windows.
const BASELINE_GROWTH_PER_WINDOW: f64 = 1.005;

/// Consecutive cuts without effect after which load isn't considered the cause. Enough for every
/// entry to have cut, because one entry's cuts have little effect.
const MAX_INEFFECTIVE_CUTS: u32 = 12;

/// Fraction of the previously open requests that consecutive cuts leave at least, in case load
/// isn't the cause.
const MIN_REMAINING_FRACTION: f64 = 0.4;

/// Limits the open requests of a service that slows down under concurrency.
///
/// Slots alone don't protect such a service: they ignore what each request costs while batch tasks
/// share the VM. High latency cuts the limit by 15%, low latency raises it; cuts without effect are
/// undone.
#[derive(Clone, Debug)]
pub(super) struct ConcurrencyLimit {
    limit: f64,
    baseline_micros: f64,
    window_start: Time,
    sum_micros: f64,
    count: u32,
    peak_open: u32,
    cuts: u32,
    before_cuts_micros: f64,
    before_cuts_open: f64,
}

impl ConcurrencyLimit {
    pub(super) fn new() -> Self {
        ConcurrencyLimit {
            limit: f64::INFINITY,
            baseline_micros: f64::INFINITY,
            window_start: Time::ZERO,
            sum_micros: 0.0,
            count: 0,
            peak_open: 0,
            cuts: 0,
            before_cuts_micros: 0.0,
            before_cuts_open: 0.0,
        }
    }

    /// The limit, or `None` if there is none.
    pub(super) fn get(&self) -> Option<u32> {
        self.limit.is_finite().then_some(self.limit as u32)
    }

    /// Whether one more request may be opened.
    pub(super) fn allows(&self, open: u32) -> bool {
        f64::from(open) < self.limit
    }

    pub(super) fn opened(&mut self, open: u32) {
        self.peak_open = self.peak_open.max(open);
    }

    /// Records one answer's latency; `target` is the latency target of the class.
    pub(super) fn record(&mut self, now: Time, latency: Duration, target: Duration) {
        self.sum_micros += latency.as_micros() as f64;
        self.count += 1;
        let mean = self.sum_micros / f64::from(self.count);
        let window = MIN_WINDOW.max(Duration::from_micros((mean * WINDOW_MEAN_LATENCIES) as u64));
        let age = now.since(self.window_start);
        if age < window || (self.count < MIN_SAMPLES && age < MAX_WINDOW) {
            return;
        }
        if self.count >= MIN_SAMPLES {
            self.adjust(mean, target);
        }
        self.window_start = now;
        self.sum_micros = 0.0;
        self.count = 0;
        self.peak_open = 0;
    }

    fn adjust(&mut self, mean: f64, target: Duration) {
        self.baseline_micros = (self.baseline_micros * BASELINE_GROWTH_PER_WINDOW).min(mean);
        // A class well within its target is left alone, even if it has become slower.
        let near_target = mean > target.as_micros() as f64 / 3.0;
        if near_target && mean > self.baseline_micros * OVERLOAD_RATIO {
            self.cut(mean);
            return;
        }
        self.cuts = 0;
        if f64::from(self.peak_open) >= self.limit * 0.8 {
            self.limit += (self.limit / 10.0).max(1.0);
        }
    }

    fn cut(&mut self, mean: f64) {
        if self.cuts == 0 {
            self.before_cuts_micros = mean;
            self.before_cuts_open = f64::from(self.peak_open);
        }
        self.cuts += 1;
        if self.cuts > MAX_INEFFECTIVE_CUTS && mean > self.before_cuts_micros * 0.9 {
            self.baseline_micros = mean;
            self.limit = f64::INFINITY;
            self.cuts = 0;
            return;
        }
        let open = f64::from(self.peak_open);
        let floor = MIN_LIMIT.max(self.before_cuts_open * MIN_REMAINING_FRACTION);
        self.limit = (self.limit.min(open) * CUT_FACTOR).max(floor);
    }
}
