//! Cost of requests for an entry, and of shares for entries and grantors.

use {
    crate::{
        measure::{Series, resident_bytes},
        models::{Requests, document},
        report::Report,
    },
    egretlb_types::{ClassKind, ConfigDocument},
    std::{sync::Arc, time::Duration},
};

/// Number of entries at the target size.
const ENTRIES: usize = 17;

/// Number of backend servers in the runs that vary other sizes.
const SERVERS: usize = 325;

/// Virtual time until entries hold shares.
const WARM_UP: Duration = Duration::from_secs(10);

/// Measured virtual time.
const MEASURED_TIME: Duration = Duration::from_secs(20);

/// Requests per second at each entry in the measurement of shares.
const LOW_RATE_PER_S: f64 = 50.0;

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("entry", seed);
    queued_requests(seed, &mut report);
    rates(seed, &mut report);
    shares(seed, &mut report);
    report
}

fn classes() -> Arc<ConfigDocument> {
    Arc::new(document(40, 25))
}

/// Measures the cost of a request by the rate at one entry.
fn rates(seed: u64, report: &mut Report) {
    let mut cost = Series::new("entry's time of a request", "requests/s", "us");
    let mut share = Series::new("entry's reducer", "requests/s", "permille of a core");
    let mut refused = Series::new("refused", "requests/s", "permille");
    for rate in [0.0, 500.0, 2_000.0, 8_000.0] {
        let mut requests = Requests::new(1, SERVERS, classes(), seed);
        if rate > 0.0 {
            requests.set_arrival_rate(rate);
        }
        requests.run(WARM_UP);
        requests.reset();
        requests.run(MEASURED_TIME);
        let counts = requests.counts();
        share.push(rate, counts.entry_time.as_secs_f64() * 1e3 / MEASURED_TIME.as_secs_f64());
        if rate > 0.0 {
            cost.push(rate, counts.entry_time.as_secs_f64() * 1e6 / counts.arrived as f64);
            refused.push(rate, counts.refused as f64 * 1e3 / counts.arrived as f64);
        }
    }
    report.series.extend([cost, share, refused]);
}

/// Measures the traffic of shares by the number of backend servers at a low request rate.
fn shares(seed: u64, report: &mut Report) {
    let mut bytes = Series::new("asks and grants of an entry", "servers", "B/s");
    let mut share_requests = Series::new("asks of an entry", "servers", "1/s");
    let mut loads = Series::new("load reports of an entry", "servers", "B/s");
    let mut grantor =
        Series::new("grantors' time in all, 17 entries", "servers", "permille of a core");
    let mut entry =
        Series::new("entry's reducer at 50 requests/s", "servers", "permille of a core");
    for servers in [65, 325, 1_300] {
        let mut requests = Requests::new(ENTRIES, servers, classes(), seed);
        requests.set_arrival_rate(LOW_RATE_PER_S);
        requests.run(WARM_UP);
        requests.reset();
        requests.run(MEASURED_TIME);
        let counts = requests.counts();
        let per_entry = |total: f64| total / ENTRIES as f64 / MEASURED_TIME.as_secs_f64();
        let size = servers as f64;
        bytes.push(size, per_entry((counts.share_request_bytes + counts.grant_bytes) as f64));
        share_requests.push(size, per_entry(counts.share_requests as f64));
        loads.push(size, per_entry(counts.load_bytes as f64));
        grantor.push(size, counts.grantor_time.as_secs_f64() * 1e3 / MEASURED_TIME.as_secs_f64());
        entry.push(size, per_entry(counts.entry_time.as_secs_f64()) * 1e3);
    }
    report.series.extend([bytes, share_requests, loads, grantor, entry]);
}

/// Measures the memory of queued requests. A long target keeps them from being refused.
fn queued_requests(seed: u64, report: &mut Report) {
    let mut memory = Series::new("entry's memory for waiting requests", "requests", "MB");
    let mut config = document(40, 25);
    for class in &mut config.classes {
        if let ClassKind::Latency { target, .. } = &mut class.kind {
            *target = Duration::from_secs(3_600);
        }
    }
    let mut requests = Requests::new(1, 8, Arc::new(config), seed);
    requests.run(WARM_UP);
    let before = resident_bytes();
    let mut arrived = 0;
    for size in [20_000, 40_000, 80_000, 160_000] {
        while arrived < size {
            requests.add_request();
            arrived += 1;
        }
        memory.push(f64::from(size), (resident_bytes() - before) / 1e6);
    }
    report.fact("refused of the waiting requests", requests.counts().refused as f64, "");
    report.series.push(memory);
}
