//! Delays between retries of a change.

use {
    egretlb_types::RetryAfter,
    std::time::{Duration, Instant},
};

/// Delay before the first retry; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum delay between retries, unless a daemon asks for a longer one.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Retry state of a command.
pub(crate) struct Retry {
    deadline: Instant,
    backoff: Duration,
}

impl Retry {
    pub(crate) fn new(now: Instant, wait: Duration) -> Self {
        Retry { deadline: now + wait, backoff: INITIAL_BACKOFF }
    }

    /// Returns the delay before the next call, or `None` after the deadline. A daemon's `retry_after`
    /// replaces the backoff. The delay never exceeds the time left.
    pub(crate) fn next(
        &mut self,
        now: Instant,
        retry_after: Option<RetryAfter>,
    ) -> Option<Duration> {
        let remaining =
            self.deadline.checked_duration_since(now).filter(|remaining| !remaining.is_zero())?;
        let retry_after = retry_after.map(|secs| Duration::from_secs(u64::from(secs.as_secs())));
        let delay = retry_after.unwrap_or(self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        Some(delay.min(remaining))
    }
}
