//! Concurrent callers that send the load.

use {
    crate::args::Load,
    egretlb_api::RAN,
    egretlb_net::http::{CallFailure, HttpAnswer, call},
    hdrhistogram::Histogram,
    oxhttp::model::{HeaderName, HeaderValue, Method},
    std::{
        fs,
        sync::atomic::{AtomicU32, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Significant digits of recorded times.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Maximum time the histograms distinguish: ten minutes.
const MAX_MICROS: u64 = 600_000_000;

/// Results of a load.
#[derive(Debug)]
pub struct LoadResult {
    /// Number of whole answers from the service.
    pub answered: u64,
    /// Number of refusals, whose request didn't run.
    pub refused: u64,
    /// Number of errors whose request may have run.
    pub unknown: u64,
    /// Number of calls without a whole answer.
    pub broken: u64,
    /// Latencies of answers, in microseconds.
    pub latency: Histogram<u64>,
    /// Latencies of refusals, in microseconds.
    pub refusal: Histogram<u64>,
    /// Duration of the whole load.
    pub elapsed_time: Duration,
    /// CPU time that the measured processes used during the load.
    pub cpu: Duration,
}

impl LoadResult {
    fn new() -> Self {
        let empty =
            || Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS).expect("valid bounds");
        LoadResult {
            answered: 0,
            refused: 0,
            unknown: 0,
            broken: 0,
            latency: empty(),
            refusal: empty(),
            elapsed_time: Duration::ZERO,
            cpu: Duration::ZERO,
        }
    }

    fn count(&mut self, answer: &Result<HttpAnswer, CallFailure>, elapsed_time: Duration) {
        let micros = elapsed_time.as_micros() as u64;
        let ran = answer.as_ref().ok().and_then(|a| a.headers.get(RAN));
        match (answer, ran.and_then(|value| value.to_str().ok())) {
            (Err(_), _) => self.broken += 1,
            (Ok(_), Some("no")) => {
                self.refused += 1;
                self.refusal.saturating_record(micros);
            }
            (Ok(_), Some("unknown")) => self.unknown += 1,
            (Ok(answer), _) if answer.status.is_success() => {
                self.answered += 1;
                self.latency.saturating_record(micros);
            }
            // A refusal by the backend server itself.
            (Ok(_), _) => self.refused += 1,
        }
    }

    fn add(&mut self, other: &LoadResult) {
        self.answered += other.answered;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.broken += other.broken;
        let same_digits = "histograms of one kind";
        self.latency.add(&other.latency).expect(same_digits);
        self.refusal.add(&other.refusal).expect(same_digits);
    }
}

/// Sends the load and waits until it completes.
pub fn run(load: &Load) -> LoadResult {
    let next = AtomicU32::new(0);
    let cpu_before = cpu_time(&load.pids);
    let start = Instant::now();
    let mut all = LoadResult::new();
    thread::scope(|scope| {
        let callers: Vec<_> =
            (0..load.callers).map(|_| scope.spawn(|| run_caller(load, &next, start))).collect();
        for caller in callers {
            all.add(&caller.join().expect("a caller doesn't panic"));
        }
    });
    all.elapsed_time = start.elapsed();
    all.cpu = cpu_time(&load.pids).saturating_sub(cpu_before);
    all
}

fn run_caller(load: &Load, next: &AtomicU32, start: Instant) -> LoadResult {
    let mut result = LoadResult::new();
    loop {
        let n = next.fetch_add(1, Ordering::Relaxed);
        if n >= load.requests {
            return result;
        }
        let due = match load.rate {
            Some(rate) => start + Duration::from_secs(1) * n / rate,
            None => Instant::now(),
        };
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let answer = send(load, n);
        result.count(&answer, due.elapsed());
    }
}

fn send(load: &Load, n: u32) -> Result<HttpAnswer, CallFailure> {
    let mut headers = vec![(HeaderName::from_static("x-request-id"), HeaderValue::from(n))];
    if let Some(millis) = load.service_ms {
        headers.push((HeaderName::from_static("x-service-ms"), HeaderValue::from(millis)));
    }
    let url = format!("http://{}/serve/{}/load", load.to, load.class);
    let body = vec![b'x'; load.body as usize];
    call(Method::POST, url, headers, body, load.timeout)
}

/// Returns the total user and system time of the processes, read from `/proc`.
fn cpu_time(pids: &[u32]) -> Duration {
    /// Clock ticks per second in `/proc` on Linux.
    const TICKS: u64 = 100;
    let ticks = |pid: &u32| -> Option<u64> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The name in parentheses may contain spaces; user and system time are the 12th and 13th
        // fields after it.
        let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
        let user: u64 = fields.next()?.parse().ok()?;
        let system: u64 = fields.next()?.parse().ok()?;
        Some(user + system)
    };
    let sum: u64 = pids.iter().filter_map(ticks).sum();
    Duration::from_millis(sum * 1_000 / TICKS)
}
