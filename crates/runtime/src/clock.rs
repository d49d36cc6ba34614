//! The one place where the clocks are read.

use {
    egretlb_types::Time,
    rustix::time::{ClockId, clock_gettime},
    std::time::{SystemTime, UNIX_EPOCH},
};

/// The clock that leases, authority and deadlines are counted on.
///
/// It is the boot-time clock: a VM may be suspended for seconds, which the monotonic clock of
/// [`std::time::Instant`] doesn't count. A leader that slept would believe in a lease that others have
/// long waited out, and a task would run twice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Microseconds since the VM started.
    pub fn now(self) -> Time {
        let progress = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(progress.tv_sec).unwrap_or(0);
        let micros = u64::try_from(progress.tv_nsec / 1_000).unwrap_or(0);
        Time::from_micros(secs * 1_000_000 + micros)
    }

    /// The time of day, in milliseconds since 1970. It may jump.
    pub fn wall_ms(self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
