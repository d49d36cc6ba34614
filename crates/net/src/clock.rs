//! The only reader of the monotonic clock.

use {egretlb_types::Time, std::time::Instant};

/// A process's monotonic clock; gives the reducers' [`Time`].
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// Returns the current reading.
    pub fn now(&self) -> Time {
        let micros = self.start.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
