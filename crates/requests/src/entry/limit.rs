//! How many requests of a class may be open at once, learned from latency.

use {egretlb_types::Time, std::time::Duration};

/// How long is measured at least before the limit is changed; short against a burst of seconds.
const WINDOW: Duration = Duration::from_millis(250);

/// A window lasts for so many mean latencies too: what was sent before a change is still answered
/// for one of them.
const WINDOW_LATENCIES: f64 = 2.0;

/// A class with too few answers in this time is left alone.
const WINDOW_MAX: Duration = Duration::from_secs(5);

/// Fewer answers than this in a window prove nothing: their mean is off by more than the slowdown
/// looked for.
const ENOUGH: u32 = 50;

/// Answers slower than this many times those at light load show that the servers are overloaded.
const SLOWDOWN: f64 = 1.5;

/// What is left of the limit after a cut.
const CUT: f64 = 0.85;

/// The limit is never cut below this, so that something is measured.
const LEAST: f64 = 4.0;

/// How fast the notion of light load follows a service that has become slower for good: double in
/// some 140 windows, half a minute or more.
const BASELINE_GROWTH: f64 = 1.005;

/// So many cuts in a row without effect show that load isn't what makes the answers slow. Enough
/// for every entry to have cut too: one entry's cuts alone change little.
const FUTILE_CUTS: u32 = 12;

/// Cuts in a row leave this part of what was open before them. Should load not be the reason, no
/// more is lost until the cuts are taken back.
const LEAST_LEFT: f64 = 0.4;

/// A limit on open requests, for services that slow down when much is open.
///
/// Slots alone don't protect such a service: they count requests, not what each takes while batch
/// tasks share the VM. Slow answers at the limit cut it by 15%, fast ones raise it; cuts that don't
/// help are taken back, since they would only refuse work that the service could have done.
#[derive(Clone, Debug)]
pub(super) struct Limit {
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

impl Limit {
    pub(super) fn new() -> Self {
        Limit {
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

    /// The limit, if there is one.
    pub(super) fn get(&self) -> Option<u32> {
        self.limit.is_finite().then_some(self.limit as u32)
    }

    /// Whether one more may be opened.
    pub(super) fn allows(&self, open: u32) -> bool {
        f64::from(open) < self.limit
    }

    pub(super) fn opened(&mut self, open: u32) {
        self.peak_open = self.peak_open.max(open);
    }

    /// Takes one answer's latency; `target` is the class's.
    pub(super) fn record(&mut self, now: Time, latency: Duration, target: Duration) {
        self.sum_micros += latency.as_micros() as f64;
        self.count += 1;
        let mean = self.sum_micros / f64::from(self.count);
        let window = WINDOW.max(Duration::from_micros((mean * WINDOW_LATENCIES) as u64));
        let age = now.since(self.window_start);
        if age < window || (self.count < ENOUGH && age < WINDOW_MAX) {
            return;
        }
        if self.count >= ENOUGH {
            self.adjust(mean, target);
        }
        self.window_start = now;
        self.sum_micros = 0.0;
        self.count = 0;
        self.peak_open = 0;
    }

    fn adjust(&mut self, mean: f64, target: Duration) {
        self.baseline_micros = (self.baseline_micros * BASELINE_GROWTH).min(mean);
        // A class that meets its target with room to spare is left alone, however much slower it
        // has become.
        let threatens = mean > target.as_micros() as f64 / 3.0;
        if threatens && mean > self.baseline_micros * SLOWDOWN {
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
        if self.cuts > FUTILE_CUTS && mean > self.before_cuts_micros * 0.9 {
            self.baseline_micros = mean;
            self.limit = f64::INFINITY;
            self.cuts = 0;
            return;
        }
        let open = f64::from(self.peak_open);
        let least = LEAST.max(self.before_cuts_open * LEAST_LEFT);
        self.limit = (self.limit.min(open) * CUT).max(least);
    }
}
