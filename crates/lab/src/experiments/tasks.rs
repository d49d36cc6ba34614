//! What tasks cost the nodes that own them, as workers, running tasks and starts grow together.
//!
//! At 1,300 workers the model holds the letter's target: 9,200 replicas of services and 8,000 batch
//! tasks running, 250 starts a second, a tenth of them urgent.

use {
    crate::{
        measure::Series,
        models::{Totals, World, class_name, document},
        report::Report,
    },
    compact_str::format_compact,
    egretlb_tasks::JobSpec,
    egretlb_types::ClassLoad,
    std::{sync::Arc, time::Duration},
};

/// Nodes at the target size.
const NODES: usize = 17;

/// Workers at the target size.
const WORKERS: f64 = 1_300.0;

/// Service replicas at the target size, over the classes that answer requests.
const REPLICAS: f64 = 9_200.0;

/// Batch tasks running and starts a second at the target size.
const BATCH: f64 = 8_000.0;
const STARTS_PER_S: f64 = 250.0;

/// Classes, half of them services.
const CLASSES: usize = 40;

/// Tasks of a job.
const JOB_TASKS: u32 = 25;

/// Requests open at once that make the job book want one replica, in thousandths.
const OPEN_PER_REPLICA: f64 = 4_800.0;

/// Model time to place the services, and to fill the workers with batch tasks.
const SERVICES_UP: Duration = Duration::from_secs(60);

/// Model time that is measured, idle and at the peak.
const RUN: Duration = Duration::from_secs(60);

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("tasks", seed);
    let mut found = Found::default();
    for workers in [65, 325, 650, 1_300] {
        measure(workers, seed, &mut report, &mut found);
    }
    report.series.extend(found.series());
    report
}

struct Found {
    idle_jobs: Series,
    idle_racks: Series,
    idle_peer: Series,
    idle_worker: Series,
    idle_report: Series,
    peak_jobs: Series,
    peak_racks: Series,
    peak_journal: Series,
    peak_peer: Series,
    peak_worker: Series,
    peak_appends: Series,
    append_bytes: Series,
    running: Series,
    started: Series,
}

impl Default for Found {
    fn default() -> Self {
        let series = |name, unit| Series::new(name, "workers", unit);
        Found {
            idle_jobs: series("job book of a node, nothing starts", "permille of a core"),
            idle_racks: series("rack book of a node, nothing starts", "permille of a core"),
            idle_peer: series("peer messages of a node, nothing starts", "B/s"),
            idle_worker: series("worker calls of a node, nothing starts", "B/s"),
            idle_report: series("of these, reports", "B/s"),
            peak_jobs: series("job book of a node, peak of starts", "permille of a core"),
            peak_racks: series("rack book of a node, peak of starts", "permille of a core"),
            peak_journal: series("journal of a node, peak of starts", "permille of a core"),
            peak_peer: series("peer messages of a node, peak of starts", "B/s"),
            peak_worker: series("worker calls of a node, peak of starts", "B/s"),
            peak_appends: series("journal appends of all nodes, peak of starts", "1/s"),
            append_bytes: series("journal bytes of a start and its end", "B"),
            running: series("tasks running, measured", ""),
            started: series("starts, measured", "1/s"),
        }
    }
}

impl Found {
    fn series(self) -> [Series; 14] {
        [
            self.idle_jobs,
            self.idle_racks,
            self.idle_peer,
            self.idle_worker,
            self.idle_report,
            self.peak_jobs,
            self.peak_racks,
            self.peak_journal,
            self.peak_peer,
            self.peak_worker,
            self.peak_appends,
            self.append_bytes,
            self.running,
            self.started,
        ]
    }

    fn idle(&mut self, workers: f64, t: &Totals) {
        self.idle_jobs.push(workers, permille(t.jobs_time));
        self.idle_racks.push(workers, permille(t.racks_time));
        self.idle_peer.push(workers, each(t.message_bytes));
        self.idle_worker.push(workers, each(t.worker_bytes));
        self.idle_report.push(workers, each(t.report_bytes));
    }

    fn peak(&mut self, workers: f64, t: &Totals) {
        self.peak_jobs.push(workers, permille(t.jobs_time));
        self.peak_racks.push(workers, permille(t.racks_time));
        self.peak_journal.push(workers, permille(t.journal_time));
        self.peak_peer.push(workers, each(t.message_bytes));
        self.peak_worker.push(workers, each(t.worker_bytes));
        self.peak_appends.push(workers, t.appends as f64 / RUN.as_secs_f64());
        self.append_bytes.push(workers, t.append_bytes as f64 / t.starts.max(1) as f64);
        self.started.push(workers, t.starts as f64 / RUN.as_secs_f64());
    }
}

/// Time in thousandths of the measured span, for each node.
fn permille(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3 / RUN.as_secs_f64() / NODES as f64
}

/// A count for each second and node.
fn each(count: u64) -> f64 {
    count as f64 / RUN.as_secs_f64() / NODES as f64
}

fn measure(workers: usize, seed: u64, report: &mut Report, found: &mut Found) {
    let scale = workers as f64 / WORKERS;
    let mut load = Load { world: world(workers, seed), jobs: 0 };
    load.services(REPLICAS * scale);
    // Tasks that outlast the idle span: the workers hold them while nothing starts.
    load.fill((BATCH * scale) as u32);
    load.world.reset();
    load.run(RUN, REPLICAS * scale, 0.0);
    found.idle(workers as f64, &load.world.totals());
    found.running.push(workers as f64, load.world.running() as f64);
    load.world.reset();
    load.run(RUN, REPLICAS * scale, STARTS_PER_S * scale);
    found.peak(workers as f64, &load.world.totals());
    let urgent = class_name(URGENT);
    let delays = load.world.delays(Some(&urgent));
    report.spreads.push(delays.spread("urgent: submission to start, model time", workers as f64));
    let others = load.world.delays(None);
    report.spreads.push(others.spread("other batch: submission to start", workers as f64));
    if workers as f64 == WORKERS {
        let t = load.world.totals();
        report.fact("entries journalled for a start", t.entries as f64 / t.starts as f64, "");
        report.fact("submissions refused", t.refused as f64, "");
    }
}

fn world(workers: usize, seed: u64) -> World {
    let mut world = World::new(NODES, workers, Arc::new(document(CLASSES, 25)), seed);
    world.watch(class_name(URGENT));
    world
}

/// An urgent batch class, and one that isn't.
const URGENT: usize = 11;
const ORDINARY: usize = 13;

struct Load {
    world: World,
    jobs: u64,
}

impl Load {
    /// Tells the owners such loads that they want so many replicas in all.
    fn tell_loads(&mut self, replicas: f64) {
        let classes = CLASSES / 2;
        let open = (replicas / classes as f64 * OPEN_PER_REPLICA) as u32;
        let load = ClassLoad {
            period: Duration::from_secs(5),
            arrived: 1_000,
            within_target: 1_000,
            open_permille: open,
            ..ClassLoad::default()
        };
        for class in (0..CLASSES).step_by(2) {
            self.world.load(&class_name(class), load);
        }
    }

    fn services(&mut self, replicas: f64) {
        for _ in 0..SERVICES_UP.as_secs() / 5 {
            self.tell_loads(replicas);
            self.world.run(Duration::from_secs(5));
        }
    }

    /// Starts tasks that run for a long time, over a minute.
    fn fill(&mut self, tasks: u32) {
        let mut left = tasks;
        while left > 0 {
            let count = left.min(JOB_TASKS);
            self.submit(ORDINARY, count, "run=7200s use=800m mem=1500MB");
            left -= count;
            self.world.run(Duration::from_millis(150));
        }
        self.world.run(Duration::from_secs(20));
    }

    /// Goes on for `span` with so many starts a second, of which a tenth are urgent.
    fn run(&mut self, span: Duration, replicas: f64, starts_per_s: f64) {
        let step = Duration::from_millis(100);
        let jobs_per_step = starts_per_s * step.as_secs_f64() / f64::from(JOB_TASKS);
        let mut owed = 0.0;
        for n in 0..span.as_millis() / step.as_millis() {
            if n % 50 == 0 {
                self.tell_loads(replicas);
            }
            owed += jobs_per_step;
            while owed >= 1.0 {
                owed -= 1.0;
                let class = if self.jobs.is_multiple_of(10) { URGENT } else { ORDINARY };
                self.submit(class, JOB_TASKS, "run=10s use=800m mem=1500MB");
            }
            self.world.run(step);
        }
    }

    fn submit(&mut self, class: usize, tasks: u32, command: &str) {
        self.jobs += 1;
        self.world.submit(JobSpec {
            job: format_compact!("job-{:07}", self.jobs).parse().expect("a name"),
            class: class_name(class),
            tasks,
            command: command.into(),
            resources: None,
        });
    }
}
