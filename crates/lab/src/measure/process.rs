//! What the kernel says of this process.

use std::{fs, time::Duration};

/// Measures the processor time of the calling thread.
#[derive(Clone, Copy, Debug)]
pub struct CpuClock {
    start: Duration,
}

impl CpuClock {
    /// Starts measuring.
    pub fn start() -> Self {
        CpuClock { start: thread_time() }
    }

    /// The processor time since the start.
    pub fn elapsed(&self) -> Duration {
        thread_time().saturating_sub(self.start)
    }

    /// The processor time since the start for each of `count` operations, in microseconds.
    pub fn micros_each(&self, count: usize) -> f64 {
        self.elapsed().as_secs_f64() * 1e6 / count.max(1) as f64
    }
}

/// The first number of the scheduler's statistics: nanoseconds on a processor. Zero on a kernel
/// without them, which shows as costs of zero in the report.
fn thread_time() -> Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split_whitespace().next().and_then(|word| word.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}

/// The memory that this process has resident, in bytes; zero where the kernel doesn't tell.
pub fn resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) * 1024.0
}
