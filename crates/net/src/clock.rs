//! The one place where the monotonic clock is read.

use {egretlb_types::Time, std::time::Instant};

/// A process's monotonic clock, as the reducers' [`Time`].
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// The present reading.
    pub fn now(&self) -> Time {
        let micros = self.start.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
