//! Cost of following the control stream, by processes and by the size of the configuration, and
//! duration of takeovers.

use {
    crate::{
        measure::{OpTimer, Series},
        models::{Cluster, document},
        report::Report,
    },
    egretlb_config::render,
    std::time::Duration,
};

/// Virtual time for processes to settle after their start.
const WARM_UP: Duration = Duration::from_secs(60);

/// Measured virtual time.
const MEASURED_TIME: Duration = Duration::from_secs(600);

/// Maximum time to wait for a takeover.
const MAX_TAKEOVER_TIME: Duration = Duration::from_secs(120);

/// Number of schedulers, and of entries, at the target size.
const SCHEDULERS: usize = 17;

/// Number of measured takeovers at the target size.
const TAKEOVERS: u64 = 30;

/// Number of measured configuration changes.
const CHANGES: u32 = 20;

/// Configuration changes per second at the target of 1,000 per day.
const CHANGES_PER_S: f64 = 1_000.0 / 86_400.0;

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("control", seed);
    idle_processes(seed, &mut report);
    changes(seed, &mut report);
    takeovers(seed, &mut report);
    report
}

/// Measures idle processes: heartbeats and empty reads.
fn idle_processes(seed: u64, report: &mut Report) {
    let mut cpu =
        Series::new("processor time of a process, idle", "processes", "permille of a core");
    let mut heartbeats = Series::new("heartbeats sent by a process", "processes", "1/s");
    let mut bytes = Series::new("heartbeat bytes sent by a process", "processes", "B/s");
    let mut reads = Series::new("reads of a process", "processes", "1/s");
    let mut state = Series::new("fold of the control stream, encoded", "processes", "B");
    for schedulers in [2, 9, SCHEDULERS, 34] {
        let mut cluster = Cluster::new(schedulers, seed);
        cluster.run(WARM_UP);
        cluster.reset();
        cluster.run(MEASURED_TIME);
        let nodes = 2 * schedulers;
        let per_process = |total: f64| total / nodes as f64 / MEASURED_TIME.as_secs_f64();
        let traffic = cluster.traffic();
        cpu.push(nodes as f64, per_process(cluster.cpu().as_secs_f64()) * 1e3);
        heartbeats.push(nodes as f64, per_process(traffic.heartbeats as f64));
        bytes.push(nodes as f64, per_process(traffic.heartbeat_bytes as f64));
        reads.push(nodes as f64, per_process(traffic.reads as f64));
        state.push(nodes as f64, cluster.state_bytes() as f64);
        if schedulers == SCHEDULERS {
            for (kind, count) in cluster.records_by_kind() {
                report.fact(record_fact(kind), count as f64, "in 600 s");
            }
            report.fact("largest heartbeat, 17 + 17", traffic.heartbeat_max as f64, "B");
        }
    }
    report.series.extend([cpu, heartbeats, bytes, reads, state]);
}

/// Returns the name of the figure for records of a kind.
fn record_fact(kind: &str) -> &'static str {
    match kind {
        "join" => "join records, idle, 17 + 17",
        "claim" => "claim records, idle, 17 + 17",
        "settled" => "settled records, idle, 17 + 17",
        "release" => "release records, idle, 17 + 17",
        "doubt" => "doubt records, idle, 17 + 17",
        "snapshot" => "snapshot records, idle, 17 + 17",
        _ => "other records, idle, 17 + 17",
    }
}

/// Measures configuration changes; each process reads each document once.
fn changes(seed: u64, report: &mut Report) {
    let mut size = Series::new("document", "classes", "B");
    let mut read = Series::new("bytes read by a process for a change", "classes", "B");
    let mut cost = Series::new("processor time of a process for a change", "classes", "us");
    let mut delay = Series::new("until in force in all processes, worst", "classes", "ms");
    for classes in [10, 100, 400, 1_000] {
        let mut cluster = Cluster::new(SCHEDULERS, seed);
        cluster.run(WARM_UP);
        // The cost of idle processes over the same time is subtracted.
        cluster.reset();
        cluster.run(Duration::from_secs(5) * CHANGES);
        let idle = cluster.cpu();
        cluster.reset();
        let mut worst = Duration::ZERO;
        for change in 0..CHANGES {
            let text = render(&document(classes + change as usize % 2, 25));
            let before = cluster.lowest_version();
            cluster.propose(change as usize % SCHEDULERS, u64::from(change), text);
            let limit = Duration::from_secs(5);
            let elapsed = cluster.run_until(limit, |c| c.lowest_version() > before);
            worst = worst.max(elapsed);
            cluster.run(limit - elapsed);
        }
        let reads_of_changes = f64::from(CHANGES) * 2.0 * SCHEDULERS as f64;
        let cpu = cluster.cpu().saturating_sub(idle);
        size.push(classes as f64, render(&document(classes, 25)).len() as f64);
        read.push(classes as f64, cluster.traffic().read_bytes as f64 / reads_of_changes);
        cost.push(classes as f64, cpu.as_secs_f64() * 1e6 / reads_of_changes);
        delay.push(classes as f64, worst.as_secs_f64() * 1e3);
    }
    if let Some(line) = read.line() {
        let bytes = line.start + line.slope * 100.0;
        report.fact("bytes of 1000 changes a day, 100 classes", bytes * CHANGES_PER_S, "B/s");
    }
    report.series.extend([size, read, cost, delay]);
}

/// Measures takeovers after a kill and after a graceful shutdown of a scheduler.
fn takeovers(seed: u64, report: &mut Report) {
    let mut killed = Series::new("until all shards are owned after a kill", "processes", "s");
    let mut released = Series::new("until all shards are owned after a release", "processes", "s");
    let mut appends = Series::new("control appends in the 30 s after a kill", "processes", "");
    let mut times = OpTimer::new();
    for seed in (0..TAKEOVERS).map(|n| seed.wrapping_mul(1_000).wrapping_add(n)) {
        let mut cluster = Cluster::new(SCHEDULERS, seed);
        cluster.run(WARM_UP);
        cluster.kill(1);
        times.add(cluster.run_until(MAX_TAKEOVER_TIME, |c| c.all_owned_without(Some(1))));
    }
    report.spreads.push(times.spread("takeover after a kill, model time", 34.0));
    for schedulers in [2, 9, SCHEDULERS, 34] {
        let nodes = 2.0 * schedulers as f64;
        let settled_cluster = || {
            let mut cluster = Cluster::new(schedulers, seed);
            cluster.run(WARM_UP);
            cluster.reset();
            cluster
        };
        let mut cluster = settled_cluster();
        cluster.kill(1);
        let elapsed = cluster.run_until(MAX_TAKEOVER_TIME, |c| c.all_owned_without(Some(1)));
        killed.push(nodes, elapsed.as_secs_f64());
        cluster.run(Duration::from_secs(30).saturating_sub(elapsed));
        appends.push(nodes, cluster.traffic().appends as f64);
        let mut cluster = settled_cluster();
        cluster.shut_down(1);
        let elapsed = cluster.run_until(MAX_TAKEOVER_TIME, |c| c.all_owned_without(Some(1)));
        released.push(nodes, elapsed.as_secs_f64());
    }
    let mut cluster = Cluster::new(SCHEDULERS, seed);
    let start = cluster.run_until(MAX_TAKEOVER_TIME, |c| c.all_owned_without(None));
    report.fact("until all shards are owned after all 34 start", start.as_secs_f64(), "s");
    report.series.extend([killed, released, appends]);
}
