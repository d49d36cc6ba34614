//! Monotonic time of the reducers.

use {
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        ops::{Add, Sub},
        time::Duration,
    },
};

/// A reading of one process's monotonic clock, in microseconds since an arbitrary start.
///
/// Readings of different processes aren't comparable; messages carry durations instead.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// The start of the clock.
    pub const ZERO: Time = Time(0);

    /// The reading `micros` microseconds after the clock's start.
    pub const fn from_micros(micros: u64) -> Self {
        Time(micros)
    }

    /// The reading `millis` milliseconds after the clock's start.
    pub const fn from_millis(millis: u64) -> Self {
        Time(millis * 1_000)
    }

    /// The reading `secs` seconds after the clock's start.
    pub const fn from_secs(secs: u64) -> Self {
        Time(secs * 1_000_000)
    }

    /// Microseconds since the clock's start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    /// The reading `duration` earlier, saturating at the clock's start.
    fn sub(self, duration: Duration) -> Time {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
