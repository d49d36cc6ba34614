//! The clocks; nothing else reads them.

use {
    egretlb_types::Time,
    rustix::time::{ClockId, clock_gettime},
    std::time::{SystemTime, UNIX_EPOCH},
};

/// The clock for leases, leadership authority and deadlines.
///
/// It reads the boot-time clock, which includes time in suspend. With the monotonic clock of
/// [`std::time::Instant`], a leader resumed after a suspension would rely on an expired lease, and a task could
/// run twice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Microseconds since the VM started.
    pub fn now(self) -> Time {
        let boot_time = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(boot_time.tv_sec).unwrap_or(0);
        let micros = u64::try_from(boot_time.tv_nsec / 1_000).unwrap_or(0);
        Time::from_micros(secs * 1_000_000 + micros)
    }

    /// Wall-clock time in milliseconds since the Unix epoch; it may jump.
    pub fn wall_ms(self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
