//! The callers.

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

/// Digits kept of each time.
const DIGITS: u8 = 3;

/// The longest time that is told apart, in microseconds: ten minutes.
const MICROS_MAX: u64 = 600_000_000;

/// What the callers saw.
#[derive(Debug)]
pub struct Seen {
    /// Whole answers that the request got from its service.
    pub answered: u64,
    /// Refusals that say the request wasn't run.
    pub refused: u64,
    /// Errors that say it may have run.
    pub unknown: u64,
    /// No whole answer at all.
    pub broken: u64,
    /// Times of answers, in microseconds.
    pub latency: Histogram<u64>,
    /// Times of refusals, in microseconds.
    pub refusal: Histogram<u64>,
    /// How long the whole load took.
    pub took: Duration,
    /// Processor time that the measured processes used meanwhile.
    pub cpu: Duration,
}

impl Seen {
    fn new() -> Self {
        let empty = || Histogram::new_with_max(MICROS_MAX, DIGITS).expect("valid bounds");
        Seen {
            answered: 0,
            refused: 0,
            unknown: 0,
            broken: 0,
            latency: empty(),
            refusal: empty(),
            took: Duration::ZERO,
            cpu: Duration::ZERO,
        }
    }

    fn count(&mut self, answer: &Result<HttpAnswer, CallFailure>, took: Duration) {
        let micros = took.as_micros() as u64;
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
            // Straight from a backend server: its own refusal.
            (Ok(_), _) => self.refused += 1,
        }
    }

    fn add(&mut self, other: &Seen) {
        self.answered += other.answered;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.broken += other.broken;
        let same_digits = "histograms of one kind";
        self.latency.add(&other.latency).expect(same_digits);
        self.refusal.add(&other.refusal).expect(same_digits);
    }
}

/// Sends the load and waits for its end.
pub fn run(load: &Load) -> Seen {
    let next = AtomicU32::new(0);
    let cpu_before = processor_time(&load.pids);
    let start = Instant::now();
    let mut all = Seen::new();
    thread::scope(|scope| {
        let callers: Vec<_> =
            (0..load.callers).map(|_| scope.spawn(|| one_caller(load, &next, start))).collect();
        for caller in callers {
            all.add(&caller.join().expect("a caller doesn't panic"));
        }
    });
    all.took = start.elapsed();
    all.cpu = processor_time(&load.pids).saturating_sub(cpu_before);
    all
}

fn one_caller(load: &Load, next: &AtomicU32, start: Instant) -> Seen {
    let mut seen = Seen::new();
    loop {
        let n = next.fetch_add(1, Ordering::Relaxed);
        if n >= load.requests {
            return seen;
        }
        let due = match load.rate {
            Some(rate) => start + Duration::from_secs(1) * n / rate,
            None => Instant::now(),
        };
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let answer = send(load, n);
        seen.count(&answer, due.elapsed());
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

/// User and system time of the processes so far, from their entries under `/proc`.
fn processor_time(pids: &[u32]) -> Duration {
    /// Ticks a second of these entries on Linux.
    const TICKS: u64 = 100;
    let ticks = |pid: &u32| -> Option<u64> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The name in parentheses may hold blanks; user and system time are the 12th and 13th
        // fields behind it.
        let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
        let user: u64 = fields.next()?.parse().ok()?;
        let system: u64 = fields.next()?.parse().ok()?;
        Some(user + system)
    };
    let sum: u64 = pids.iter().filter_map(ticks).sum();
    Duration::from_millis(sum * 1_000 / TICKS)
}
