//! Scales interference estimates by how long best-effort tasks wait.

use {egretlb_types::Time, std::time::Duration};

/// Factor while no best-effort task waits. It is high because the demand of an image can triple
/// within seconds.
const MAX_CAUTION: f32 = 5.0;

/// Factor once best-effort tasks have waited for [`LONG_WAIT`]. A lower value keeps
/// latency-critical tasks over target for longer; a higher one leaves best-effort tasks without a
/// worker.
const MIN_CAUTION: f32 = 1.6;

/// Wait at which the factor reaches its minimum; best-effort tasks have about a second of slack.
const LONG_WAIT: Duration = Duration::from_millis(700);

/// Maximum increase of the factor per second.
const CAUTION_GROWTH: f32 = 1.0;

/// Safety factor on the estimated interference of best-effort tasks.
#[derive(Debug)]
pub(super) struct Caution {
    factor: f32,
    updated_at: Time,
}

impl Caution {
    pub(super) fn new(now: Time) -> Caution {
        Caution { factor: MAX_CAUTION, updated_at: now }
    }

    pub(super) fn factor(&self) -> f32 {
        self.factor
    }

    /// Updates the factor with the longest current wait of a best-effort task.
    pub(super) fn adapt(&mut self, now: Time, longest: Duration) {
        let wait_ratio = (longest.as_secs_f32() / LONG_WAIT.as_secs_f32()).min(1.0);
        let target = MAX_CAUTION - (MAX_CAUTION - MIN_CAUTION) * wait_ratio;
        let max_factor = self.factor + CAUTION_GROWTH * now.since(self.updated_at).as_secs_f32();
        self.updated_at = now;
        self.factor = target.min(max_factor);
    }
}
