//! When a change is asked for again.

use {
    egretlb_types::RetryAfter,
    std::time::{Duration, Instant},
};

/// The first pause after a call without an answer; each further one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// The longest pause of its own choice. Operators watch the command; and a daemon that comes back
/// is found within this time.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Decides on the pauses of one command between its calls.
pub(crate) struct Retry {
    give_up_at: Instant,
    pause: Duration,
}

impl Retry {
    pub(crate) fn new(now: Instant, wait: Duration) -> Self {
        Retry { give_up_at: now + wait, pause: FIRST_PAUSE }
    }

    /// How long to pause before the next call; `None` if it is time to give up. A daemon that says
    /// when to come back knows better than we do, but isn't waited for past the limit.
    pub(crate) fn next(&mut self, now: Instant, told: Option<RetryAfter>) -> Option<Duration> {
        let left = self.give_up_at.checked_duration_since(now).filter(|left| !left.is_zero())?;
        let told = told.map(|secs| Duration::from_secs(u64::from(secs.as_secs())));
        let pause = told.unwrap_or(self.pause);
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        Some(pause.min(left))
    }
}
