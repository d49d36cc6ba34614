//! Safety factor on interference estimates, lowered while best-effort tasks wait long.

use {egretlb_types::Time, std::time::Duration};

/// Factor while no best-effort task waits. It is high because the demand of an image can triple
/// within seconds.
const MAX_FACTOR: f32 = 5.0;

/// Factor while a best-effort task has waited for [`LONG_WAIT`]. With a lower one, latency-critical
/// tasks miss their target for longer; with a higher one, no worker accepts some best-effort tasks.
const MIN_FACTOR: f32 = 1.6;

/// Wait at which the factor reaches its minimum; best-effort tasks have about a second of slack.
const LONG_WAIT: Duration = Duration::from_millis(700);

/// Maximum increase of the factor per second.
const MAX_INCREASE_PER_SECOND: f32 = 1.0;

/// The estimated interference of best-effort tasks is multiplied by this factor.
#[derive(Debug)]
pub(super) struct SafetyFactor {
    factor: f32,
    updated_at: Time,
}

impl SafetyFactor {
    pub(super) fn new(now: Time) -> SafetyFactor {
        SafetyFactor { factor: MAX_FACTOR, updated_at: now }
    }

    pub(super) fn get(&self) -> f32 {
        self.factor
    }

    /// Updates the factor with the longest current wait of a best-effort task.
    pub(super) fn update(&mut self, now: Time, longest_wait: Duration) {
        let wait_ratio = (longest_wait.as_secs_f32() / LONG_WAIT.as_secs_f32()).min(1.0);
        let target = MAX_FACTOR - (MAX_FACTOR - MIN_FACTOR) * wait_ratio;
        let max_factor =
            self.factor + MAX_INCREASE_PER_SECOND * now.since(self.updated_at).as_secs_f32();
        self.updated_at = now;
        self.factor = target.min(max_factor);
    }
}
