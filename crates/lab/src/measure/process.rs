//! CPU time and memory of this process, read from `/proc`.

use std::{fs, time::Duration};

/// Measures the CPU time of the calling thread.
#[derive(Clone, Copy, Debug)]
pub struct CpuClock {
    start: Duration,
}

impl CpuClock {
    /// Starts measuring.
    pub fn start() -> Self {
        CpuClock { start: thread_time() }
    }

    /// Returns the CPU time since the start.
    pub fn elapsed(&self) -> Duration {
        thread_time().saturating_sub(self.start)
    }

    /// Returns the CPU time since the start per operation of `count`, in microseconds.
    pub fn micros_each(&self, count: usize) -> f64 {
        self.elapsed().as_secs_f64() * 1e6 / count.max(1) as f64
    }
}

/// Returns the thread's CPU time from the kernel's scheduler statistics; zero if the kernel has
/// none.
fn thread_time() -> Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split_whitespace().next().and_then(|word| word.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}

/// Returns the resident memory of this process in bytes; zero if unknown.
pub fn resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) * 1024.0
}
