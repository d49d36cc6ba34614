//! What requests cost an entry, and what shares cost entries and their grantors.

use {
    crate::{
        measure::{Series, resident_bytes},
        models::{Requests, document},
        report::Report,
    },
    egretlb_types::{ClassKind, ConfigDocument},
    std::{sync::Arc, time::Duration},
};

/// Entries at the target size.
const ENTRIES: usize = 17;

/// Backend servers in the runs that vary something else.
const SERVERS: usize = 325;

/// Model time until entries hold shares.
const WARM_UP: Duration = Duration::from_secs(10);

/// Model time that is measured.
const RUN: Duration = Duration::from_secs(20);

/// Requests a second at each entry where shares are measured.
const QUIET: f64 = 50.0;

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("entry", seed);
    queued(seed, &mut report);
    rates(seed, &mut report);
    shares(seed, &mut report);
    report
}

fn classes() -> Arc<ConfigDocument> {
    Arc::new(document(40, 25))
}

/// The cost of a request by the rate at one entry.
fn rates(seed: u64, report: &mut Report) {
    let mut cost = Series::new("entry's time of a request", "requests/s", "us");
    let mut share = Series::new("entry's reducer", "requests/s", "permille of a core");
    let mut refused = Series::new("refused", "requests/s", "permille");
    for rate in [0.0, 500.0, 2_000.0, 8_000.0] {
        let mut requests = Requests::new(1, SERVERS, classes(), seed);
        if rate > 0.0 {
            requests.arrive(rate);
        }
        requests.run(WARM_UP);
        requests.reset();
        requests.run(RUN);
        let counts = requests.counts();
        share.push(rate, counts.entry_time.as_secs_f64() * 1e3 / RUN.as_secs_f64());
        if rate > 0.0 {
            cost.push(rate, counts.entry_time.as_secs_f64() * 1e6 / counts.arrived as f64);
            refused.push(rate, counts.refused as f64 * 1e3 / counts.arrived as f64);
        }
    }
    report.series.extend([cost, share, refused]);
}

/// The traffic of shares by the number of backend servers, each entry with few requests.
fn shares(seed: u64, report: &mut Report) {
    let mut bytes = Series::new("asks and grants of an entry", "servers", "B/s");
    let mut asks = Series::new("asks of an entry", "servers", "1/s");
    let mut loads = Series::new("load reports of an entry", "servers", "B/s");
    let mut grantor =
        Series::new("grantors' time in all, 17 entries", "servers", "permille of a core");
    let mut entry =
        Series::new("entry's reducer at 50 requests/s", "servers", "permille of a core");
    for servers in [65, 325, 1_300] {
        let mut requests = Requests::new(ENTRIES, servers, classes(), seed);
        requests.arrive(QUIET);
        requests.run(WARM_UP);
        requests.reset();
        requests.run(RUN);
        let counts = requests.counts();
        let each = |total: f64| total / ENTRIES as f64 / RUN.as_secs_f64();
        let size = servers as f64;
        bytes.push(size, each((counts.ask_bytes + counts.grant_bytes) as f64));
        asks.push(size, each(counts.asks as f64));
        loads.push(size, each(counts.load_bytes as f64));
        grantor.push(size, counts.grantor_time.as_secs_f64() * 1e3 / RUN.as_secs_f64());
        entry.push(size, each(counts.entry_time.as_secs_f64()) * 1e3);
    }
    report.series.extend([bytes, asks, loads, grantor, entry]);
}

/// Memory of requests that wait: more arrive at once than there are slots, with a target so late
/// that none is refused.
fn queued(seed: u64, report: &mut Report) {
    let mut memory = Series::new("entry's memory for waiting requests", "requests", "MB");
    let mut patient = document(40, 25);
    for class in &mut patient.classes {
        if let ClassKind::Latency { target, .. } = &mut class.kind {
            *target = Duration::from_secs(3_600);
        }
    }
    let mut requests = Requests::new(1, 8, Arc::new(patient), seed);
    requests.run(WARM_UP);
    let before = resident_bytes();
    let mut arrived = 0;
    for size in [20_000, 40_000, 80_000, 160_000] {
        while arrived < size {
            requests.one();
            arrived += 1;
        }
        memory.push(f64::from(size), (resident_bytes() - before) / 1e6);
    }
    report.fact("refused of the waiting requests", requests.counts().refused as f64, "");
    report.series.push(memory);
}
