//! What following the control stream costs a process, as processes and the configuration grow, and
//! how long a takeover takes.

use {
    crate::{
        measure::{OpTimer, Series},
        models::{Cluster, document},
        report::Report,
    },
    egretlb_config::render,
    std::time::Duration,
};

/// Model time that processes get to settle after their start.
const WARM_UP: Duration = Duration::from_secs(60);

/// Model time that is measured.
const RUN: Duration = Duration::from_secs(600);

/// The longest a takeover is waited for.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(120);

/// Schedulers at the target size; as many entries.
const SCHEDULERS: usize = 17;

/// Kills whose takeovers are measured at the target size.
const TAKEOVERS: u64 = 30;

/// Changes of the configuration that are measured.
const CHANGES: u32 = 20;

/// The target's changes a day, as changes a second.
const CHANGES_PER_S: f64 = 1_000.0 / 86_400.0;

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("control", seed);
    steady(seed, &mut report);
    changes(seed, &mut report);
    takeovers(seed, &mut report);
    report
}

/// Nothing happens: heartbeats and reads that find nothing.
fn steady(seed: u64, report: &mut Report) {
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
        cluster.run(RUN);
        let nodes = 2 * schedulers;
        let each = |total: f64| total / nodes as f64 / RUN.as_secs_f64();
        let traffic = cluster.traffic();
        cpu.push(nodes as f64, each(cluster.cpu().as_secs_f64()) * 1e3);
        heartbeats.push(nodes as f64, each(traffic.heartbeats as f64));
        bytes.push(nodes as f64, each(traffic.heartbeat_bytes as f64));
        reads.push(nodes as f64, each(traffic.reads as f64));
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

/// The name of the fact that counts records of a kind.
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

/// The configuration changes; every process reads each whole document once.
fn changes(seed: u64, report: &mut Report) {
    let mut size = Series::new("document", "classes", "B");
    let mut read = Series::new("bytes read by a process for a change", "classes", "B");
    let mut cost = Series::new("processor time of a process for a change", "classes", "us");
    let mut late = Series::new("until in force in all processes, worst", "classes", "ms");
    for classes in [10, 100, 400, 1_000] {
        let mut cluster = Cluster::new(SCHEDULERS, seed);
        cluster.run(WARM_UP);
        // What idle processes cost over the same span is taken off.
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
            let took = cluster.run_until(limit, |c| c.lowest_version() > before);
            worst = worst.max(took);
            cluster.run(limit - took);
        }
        let shares = f64::from(CHANGES) * 2.0 * SCHEDULERS as f64;
        let cpu = cluster.cpu().saturating_sub(idle);
        size.push(classes as f64, render(&document(classes, 25)).len() as f64);
        read.push(classes as f64, cluster.traffic().read_bytes as f64 / shares);
        cost.push(classes as f64, cpu.as_secs_f64() * 1e6 / shares);
        late.push(classes as f64, worst.as_secs_f64() * 1e3);
    }
    if let Some(line) = read.line() {
        let bytes = line.start + line.slope * 100.0;
        report.fact("bytes of 1000 changes a day, 100 classes", bytes * CHANGES_PER_S, "B/s");
    }
    report.series.extend([size, read, cost, late]);
}

/// A scheduler dies, or leaves in an orderly way; others take its shards over.
fn takeovers(seed: u64, report: &mut Report) {
    let mut killed = Series::new("until all shards are owned after a kill", "processes", "s");
    let mut left = Series::new("until all shards are owned after a release", "processes", "s");
    let mut appends = Series::new("control appends in the 30 s after a kill", "processes", "");
    let mut times = OpTimer::new();
    for seed in (0..TAKEOVERS).map(|n| seed.wrapping_mul(1_000).wrapping_add(n)) {
        let mut cluster = Cluster::new(SCHEDULERS, seed);
        cluster.run(WARM_UP);
        cluster.kill(1);
        times.add(cluster.run_until(TAKEOVER_LIMIT, |c| c.all_owned_without(Some(1))));
    }
    report.spreads.push(times.spread("takeover after a kill, model time", 34.0));
    for schedulers in [2, 9, SCHEDULERS, 34] {
        let nodes = 2.0 * schedulers as f64;
        let settled = || {
            let mut cluster = Cluster::new(schedulers, seed);
            cluster.run(WARM_UP);
            cluster.reset();
            cluster
        };
        let mut cluster = settled();
        cluster.kill(1);
        let took = cluster.run_until(TAKEOVER_LIMIT, |c| c.all_owned_without(Some(1)));
        killed.push(nodes, took.as_secs_f64());
        cluster.run(Duration::from_secs(30).saturating_sub(took));
        appends.push(nodes, cluster.traffic().appends as f64);
        let mut cluster = settled();
        cluster.shut_down(1);
        let took = cluster.run_until(TAKEOVER_LIMIT, |c| c.all_owned_without(Some(1)));
        left.push(nodes, took.as_secs_f64());
    }
    let mut cluster = Cluster::new(SCHEDULERS, seed);
    let start = cluster.run_until(TAKEOVER_LIMIT, |c| c.all_owned_without(None));
    report.fact("until all shards are owned after all 34 start", start.as_secs_f64(), "s");
    report.series.extend([killed, left, appends]);
}
